package edge

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// loggedState is the state that was logged last, so that each change of hosts or of the
// reachability of the control leader is logged once.
type loggedState struct {
	mu             sync.Mutex
	hosts          map[tier.NodeID]spread.Host
	controlReached bool
	controlKnown   bool
}

// hostsChanged logs hosts that joined, left or restarted, or whose readiness changed.
func (n *Node) hostsChanged(list []spread.Host) {
	n.logged.mu.Lock()
	defer n.logged.mu.Unlock()
	if n.logged.hosts == nil {
		n.logged.hosts = map[tier.NodeID]spread.Host{}
	}
	for _, h := range list {
		old, known := n.logged.hosts[h.ID]
		n.logged.hosts[h.ID] = h
		if known && old.State == h.State && old.Boot == h.Boot && old.Ready == h.Ready {
			continue
		}
		event.HostChanged.Log(n.Log, nil, logrus.Fields{"host": h.ID, "state": hostState(h.State), "boot": h.Boot, "seq": h.Seq, "ready": h.Ready})
	}
}

func hostState(s spread.HostState) string {
	names := [...]string{"up", "leaving", "down"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// serversChanged logs servers whose lease at this node has ended.
func (n *Node) serversChanged(list []spread.Server) {
	for i := range list {
		if r := &list[i]; r.State == spread.ServerLost && r.Home == n.Settings.ID {
			event.ServerLeaseEnded.Log(n.Log, nil, logrus.Fields{"server": r.ID, "service": r.Service, "born": r.Born, "seq": r.Seq})
		}
	}
}

// withoutOdd returns a list of changed records in which those that name no server to use count as lost. Earlier builds
// accepted them from other writers, and all hosts keep them so that their digests agree.
func (n *Node) withoutOdd(list []spread.Server) []spread.Server {
	var out []spread.Server
	for i := range list {
		r := &list[i]
		err := r.Check()
		if err == nil || !r.Live() {
			continue
		}
		if out == nil {
			out = slices.Clone(list)
		}
		out[i].State = spread.ServerLost
		n.Stats.Count("records_ignored", "odd")
		if n.oddLog.Allow(n.Clock.Now()) {
			event.RecordIgnored.Log(n.Log, err, logrus.Fields{"source": r.Home, "server": r.ID.Short(), "records": 1})
		}
	}
	if out == nil {
		return list
	}
	return out
}

// logIgnoredSeeds logs entries of the list of seeds that name no node.
func (n *Node) logIgnoredSeeds(list []string) {
	for _, s := range list {
		event.SeedIgnored.Log(n.Log, nil, logrus.Fields{"seed": s})
	}
}

// recordsDropped logs records of a packet or a file that cannot be decoded. With an error, nothing of it can be.
func (n *Node) recordsDropped(source string, dropped int, err error) {
	n.Stats.Count("records_ignored", "unreadable")
	if n.oddLog.Allow(n.Clock.Now()) {
		event.RecordIgnored.Log(n.Log, err, logrus.Fields{"source": source, "records": dropped})
	}
}

// controlReached logs when the leader of the control group becomes unreachable or reachable again.
func (n *Node) controlReached(reached bool, leader tier.NodeID, err error) {
	n.logged.mu.Lock()
	defer n.logged.mu.Unlock()
	if n.logged.controlKnown && n.logged.controlReached == reached {
		return
	}
	n.logged.controlKnown, n.logged.controlReached = true, reached
	if reached {
		event.LeaderReached.Log(n.Log, nil, logrus.Fields{"leader": leader})
		return
	}
	event.LeaderUnreachable.Log(n.Log, err, nil)
}
