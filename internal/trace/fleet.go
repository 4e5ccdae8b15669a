package trace

import (
	"encoding/json"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/fleet"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// fleetMachine replays how one node handles membership and configuration updates.
type fleetMachine struct {
	fleet *fleet.Fleet
	now   time.Duration
	seq   roster.Seq
}

// Now returns the time of the current step; the machine is the clock of its fleet.
func (m *fleetMachine) Now() time.Duration { return m.now }

type fleetEvent struct {
	// Nodes and Servers are new membership records; with Beat they arrive in
	// the answer to a heartbeat that is sent now.
	Nodes   []roster.Node   `json:"nodes"`
	Servers []roster.Server `json:"servers"`
	Beat    bool            `json:"beat"`
	// Config delivers a configuration with this version.
	Config tier.ConfigVersion `json:"config"`
	// Peers is the result of a query to the node's peers: "few" answered, "most"
	// answered, or most answered and none can reach control either ("no control").
	Peers string `json:"peers"`
}

type fleetObserved struct {
	Version   tier.ConfigVersion `json:"version"`
	Refusing  tier.Reason        `json:"refusing"`
	Addresses []string           `json:"addresses"`
	Snapshot  tier.Snapshot      `json:"snapshot"`
	Complete  bool               `json:"complete"`
	Servers   []tier.ServerID    `json:"candidates"`
	MaySend   []tier.ServerID    `json:"may_send"`
}

func newFleetMachine(_ json.RawMessage, without string) (machine, error) {
	m := &fleetMachine{}
	m.fleet = &fleet.Fleet{Self: "n1", Zone: "a", Clock: m}
	u := &m.fleet.Unsafe
	switch without {
	case "":
	case "forward_only":
		u.AcceptOlderConfig = true
	case "lease":
		u.IgnoreLease = true
	case "draining":
		u.KeepDraining = true
	case "complete_pin":
		u.PinNewest = true
	default:
		return nil, unknownMechanism(without)
	}
	m.fleet.Start()
	return m, nil
}

func (m *fleetMachine) do(at tier.Millis, raw json.RawMessage) (any, error) {
	var e fleetEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	m.now = at.Duration()
	d := roster.HubMessage{Nodes: e.Nodes, Servers: e.Servers}
	if e.Beat {
		d.Beat = m.fleet.NextBeat()
	}
	if e.Beat || len(e.Nodes)+len(e.Servers) > 0 {
		m.seq++
		d.Stamp = roster.Stamp{Epoch: 1, Seq: m.seq}
		d.Settled = d.Stamp
		m.fleet.Apply(d)
	}
	if e.Config > 0 {
		m.fleet.SetConfig(&vers.Config{Version: e.Config})
	}
	if e.Peers != "" {
		m.fleet.SetPeerStatus(e.Peers != "few", e.Peers != "no control")
	}
	return m.observe(), nil
}

func (m *fleetMachine) observe() fleetObserved {
	o := fleetObserved{Version: m.fleet.Config().Version, Refusing: m.fleet.RefusalReason(), Addresses: m.fleet.Addresses(16)}
	sort.Strings(o.Addresses)
	for id := range m.fleet.Table().Servers {
		if m.fleet.MaySend(id) {
			o.MaySend = append(o.MaySend, id)
		}
	}
	l := m.fleet.Pin("fitter-app")
	if l == nil {
		return o
	}
	o.Snapshot, o.Complete = l.Snapshot, l.Complete()
	for _, s := range l.Shards {
		for _, c := range s {
			o.Servers = append(o.Servers, c.Server)
		}
	}
	return o
}
