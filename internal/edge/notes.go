package edge

import (
	"sync"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// notes tells the log once of each change in what the node believes.
type notes struct {
	mu      sync.Mutex
	hosts   map[tier.NodeID]spread.Host
	control bool
	asked   bool
}

// hostsChanged logs hosts that came, went or started again.
func (n *Node) hostsChanged(list []spread.Host) {
	n.notes.mu.Lock()
	defer n.notes.mu.Unlock()
	if n.notes.hosts == nil {
		n.notes.hosts = map[tier.NodeID]spread.Host{}
	}
	for _, h := range list {
		old, known := n.notes.hosts[h.ID]
		n.notes.hosts[h.ID] = h
		if known && old.State == h.State && old.Boot == h.Boot && old.Ready == h.Ready {
			continue
		}
		event.HostChanged.Log(n.Log, nil, logrus.Fields{"host": h.ID, "state": hostState(h.State), "boot": h.Boot, "seq": h.Seq, "ready": h.Ready})
	}
}

func hostState(s spread.HostState) string {
	return [...]string{"up", "leaving", "down"}[s]
}

// serversChanged logs servers whose lease ended here.
func (n *Node) serversChanged(list []spread.Server) {
	for i := range list {
		if r := &list[i]; r.State == spread.ServerLost && r.Home == n.Settings.ID {
			event.ServerGone.Log(n.Log, nil, logrus.Fields{"server": r.ID, "service": r.Service, "born": r.Born, "seq": r.Seq})
		}
	}
}

// controlReached logs when the leader of the control group was lost or found again.
func (n *Node) controlReached(reached bool, leader tier.NodeID, err error) {
	n.notes.mu.Lock()
	defer n.notes.mu.Unlock()
	if n.notes.asked && n.notes.control == reached {
		return
	}
	n.notes.asked, n.notes.control = true, reached
	if reached {
		event.LeaderReached.Log(n.Log, nil, logrus.Fields{"leader": leader})
		return
	}
	event.LeaderMissed.Log(n.Log, err, nil)
}
