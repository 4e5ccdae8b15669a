package edge

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// leastEntries is the number of addresses below which callers are sent beyond
// their zone: with one alone they would have no other when it fails.
const leastEntries = 2

// weakShare is the share of the strongest host's processor or link below which
// a host is weak: callers choose at random, and a host of half the strength
// still bears the same load as the others.
const weakShare = 0.5

// Entries returns the addresses that a caller of a zone should use, and for
// how long: the strong nodes of its zone, or of its region, or all that are ready.
func (n *Node) Entries(zone tier.Zone, region tier.Region) ([]string, time.Duration) {
	return pickEntries(n.gossip.list(), zone, region), n.Settings.AnswerTTL
}

func pickEntries(hosts []spread.Host, zone tier.Zone, region tier.Region) []string {
	list := ready(hosts, func(h *spread.Host) bool { return h.Region == region })
	if len(list) == 0 {
		list = ready(hosts, func(*spread.Host) bool { return true })
	}
	list = strong(list)
	var near []*spread.Host
	for _, h := range list {
		if h.Zone == zone {
			near = append(near, h)
		}
	}
	if len(near) >= leastEntries {
		return addresses(near)
	}
	return addresses(list)
}

func ready(hosts []spread.Host, take func(*spread.Host) bool) []*spread.Host {
	var out []*spread.Host
	for i := range hosts {
		h := &hosts[i]
		if h.State == spread.HostUp && h.Ready && h.Callers != "" && take(h) {
			out = append(out, h)
		}
	}
	return out
}

// strong leaves out hosts that are much weaker than the strongest: the answer
// of a search comes over one host's link and processor. It keeps them while
// fewer than leastEntries would be left.
func strong(list []*spread.Host) []*spread.Host {
	cores, mbits := 0.0, 0.0
	for _, h := range list {
		cores, mbits = max(cores, h.Cores), max(mbits, h.Mbits)
	}
	var out []*spread.Host
	for _, h := range list {
		if h.Cores >= weakShare*cores && h.Mbits >= weakShare*mbits {
			out = append(out, h)
		}
	}
	if len(out) < leastEntries {
		return list
	}
	return out
}

func addresses(list []*spread.Host) []string {
	out := make([]string, 0, len(list))
	for _, h := range list {
		out = append(out, h.Callers)
	}
	return out
}
