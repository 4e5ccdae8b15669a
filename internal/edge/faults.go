package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// serverDied reports to the fleet that a server died while it processed a request.
func (n *Node) serverDied(d reqst.Death) {
	event.ServerDied.Log(n.Log, nil, logrus.Fields{"server": d.Server, "born": d.Born, "fingerprint": d.Fingerprint, "answered": d.Answered})
	n.serverRestarts(d.Server, 0)
	f := spread.Fault{Fingerprint: d.Fingerprint, Server: d.Server, Born: d.Born, Answered: d.Answered}
	n.workers.Go(func() {
		n.gossip.withState(func(now time.Duration, s *spread.State) { s.ReportFault(now, f) })
	})
}

// watchServers tells the forwarder of servers that start or leave, as requests that they had may have ended with them.
// Nothing follows from the end of a lease: the server may be cut off.
func (n *Node) watchServers(list []spread.Server) {
	for i := range list {
		switch r := &list[i]; r.State {
		case spread.ServerReady:
			n.forwarder.ServerStarted(r.Address, r.ID, r.Born)
		case spread.ServerDraining, spread.ServerGone:
			n.forwarder.ServerLeft(r.ID, r.Born)
		case spread.ServerLost:
		}
	}
}

// learnFault records a fault that another host reported.
func (n *Node) learnFault(f spread.Fault) {
	n.forwarder.Blame(reqst.Death{Fingerprint: f.Fingerprint, Server: f.Server, Born: f.Born, Age: f.AgeMs.Duration(), Answered: f.Answered})
	n.serverRestarts(f.Server, f.AgeMs.Duration())
}

// trialEnded reports to the fleet how a trial ended, or that a suspected request was answered.
func (n *Node) trialEnded(t reqst.Trial) {
	n.workers.Go(func() {
		n.gossip.withState(func(now time.Duration, s *spread.State) {
			s.ReportTrial(now, spread.Trial{Fingerprint: t.Fingerprint, ID: t.ID, Answered: t.Answered})
		})
	})
}

// knownFaults returns the deaths under requests that hosts must know which missed their reports.
func (n *Node) knownFaults() (out []spread.Fault) {
	deaths, _ := n.forwarder.Suspicions(spread.MaxKnownFaults)
	for _, d := range deaths {
		out = append(out, spread.Fault{Fingerprint: d.Fingerprint, Server: d.Server, Born: d.Born, AgeMs: tier.ToMillis(d.Age), Answered: d.Answered})
	}
	return out
}

// knownTrials returns the trials that hosts must know which missed their reports.
func (n *Node) knownTrials() (out []spread.Trial) {
	_, trials := n.forwarder.Suspicions(spread.MaxKnownFaults)
	for _, t := range trials {
		out = append(out, spread.Trial{Fingerprint: t.Fingerprint, ID: t.ID, AgeMs: tier.ToMillis(t.Age), Answered: t.Answered})
	}
	return out
}

// trialNode returns the host that sends the trials of a suspected request, or "" if this host may not know of trials that
// took place: it has just started, was suspended, or hears of no other host. Where a partition leaves more than one host on a
// side, each side has a host that sends trials.
func (n *Node) trialNode(f tier.Fingerprint) tier.NodeID {
	if !n.gossip.current() || !n.routesRecent() {
		return ""
	}
	return pickTrialNode(f, n.gossip.list())
}

// pickTrialNode returns the ready host with the highest hash of its id and the fingerprint, or "" if none is ready: hosts that
// know the same hosts pick the same, and different requests have different ones.
func pickTrialNode(f tier.Fingerprint, hosts []spread.Host) (id tier.NodeID) {
	var best uint64
	for _, h := range reachingHosts(readyHosts(hosts, func(*spread.Host) bool { return true })) {
		if score := xxhash.Sum64String(string(h.ID)) * (uint64(f) | 1); id == "" || score > best {
			id, best = h.ID, score
		}
	}
	return id
}
