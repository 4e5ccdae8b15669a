package trace

import (
	"encoding/json"
	"sort"

	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// ownersMachine replays the membership hub and the nodes' views of it.
type ownersMachine struct {
	hub   *roster.Hub
	views map[tier.NodeID]*roster.View
}

type ownersSetup struct {
	Nodes   []tier.NodeID   `json:"nodes"`
	Servers []tier.ServerID `json:"servers"`
}

type ownersEvent struct {
	// Drain and Undrain change a node's record at the hub.
	Drain   tier.NodeID `json:"drain"`
	Undrain tier.NodeID `json:"undrain"`
	// Deliver updates the views of nodes to the hub's state; Acknowledge
	// confirms the state of their views to the hub.
	Deliver     []tier.NodeID `json:"deliver"`
	Acknowledge []tier.NodeID `json:"acknowledge"`
	// Gone ends a server's lease.
	Gone tier.ServerID `json:"gone"`
}

type ownersObserved struct {
	// MaySend lists, for each server, the nodes that may send to it now.
	MaySend map[tier.ServerID][]tier.NodeID `json:"may_send"`
	// Most is the largest number of nodes that may send to one server.
	Most    int             `json:"most"`
	Nodes   []tier.NodeID   `json:"nodes"`
	Servers []tier.ServerID `json:"servers"`
}

func newOwnersMachine(raw json.RawMessage, without string) (machine, error) {
	var s ownersSetup
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	m := &ownersMachine{hub: &roster.Hub{Epoch: 1}, views: map[tier.NodeID]*roster.View{}}
	switch without {
	case "":
	case "settling":
		m.hub.DisableSettling = true
	default:
		return nil, unknownMechanism(without)
	}
	m.hub.Start(0)
	m.hub.Tick(0)
	for _, id := range s.Nodes {
		m.record(0, id, false)
		v := &roster.View{Self: id}
		v.Start()
		m.views[id] = v
	}
	var list []roster.Server
	for _, id := range s.Servers {
		list = append(list, roster.Server{Server: id, Instance: 1, Service: "fitter-app", Zone: "a", LeaseMs: 2000})
	}
	m.hub.Receive(0, s.Nodes[0], roster.NodeMessage{Servers: list})
	return m, nil
}

func (m *ownersMachine) record(at tier.Millis, id tier.NodeID, draining bool) {
	n := roster.Node{ID: id, Instance: 1, Zone: "a", Entry: true, Draining: draining}
	up := roster.NodeMessage{Node: &n}
	if v := m.views[id]; v != nil {
		up.Have = v.Table().Stamp
	}
	m.hub.Receive(at.Duration(), id, up)
}

func (m *ownersMachine) do(at tier.Millis, raw json.RawMessage) (any, error) {
	var e ownersEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	now := at.Duration()
	switch {
	case e.Drain != "":
		m.record(at, e.Drain, true)
	case e.Undrain != "":
		m.record(at, e.Undrain, false)
	case e.Gone != "":
		for id := range m.views {
			m.hub.Receive(now, id, roster.NodeMessage{Have: m.views[id].Table().Stamp, Gone: []roster.Gone{{Server: e.Gone, Instance: 1}}})
		}
	}
	for _, id := range e.Acknowledge {
		m.hub.Receive(now, id, roster.NodeMessage{Have: m.views[id].Table().Stamp})
	}
	m.hub.Tick(now)
	for _, id := range e.Deliver {
		v := m.views[id]
		d, ok := m.hub.Since(v.Table().Stamp.Seq)
		if !ok || !v.HasTable() {
			d = m.hub.Resync(v.Table().Digests())
		}
		v.Receive(d)
	}
	return m.observe(), nil
}

func (m *ownersMachine) observe() ownersObserved {
	o := ownersObserved{MaySend: map[tier.ServerID][]tier.NodeID{}, Nodes: []tier.NodeID{}, Servers: []tier.ServerID{}}
	t := m.hub.Table()
	for id := range t.Nodes {
		o.Nodes = append(o.Nodes, id)
	}
	for s := range t.Servers {
		o.Servers = append(o.Servers, s)
		list := []tier.NodeID{}
		for id, v := range m.views {
			if v.MaySend(s) {
				list = append(list, id)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		o.MaySend[s] = list
		o.Most = max(o.Most, len(list))
	}
	sort.Slice(o.Nodes, func(i, j int) bool { return o.Nodes[i] < o.Nodes[j] })
	sort.Slice(o.Servers, func(i, j int) bool { return o.Servers[i] < o.Servers[j] })
	return o
}
