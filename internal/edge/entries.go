package edge

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// leastEntries is the number of addresses below which callers are sent beyond
// their zone: with one alone they would have no other when it fails.
const leastEntries = 2

// Entries returns the addresses that a caller of a zone should use, and for
// how long: the ready nodes of its zone, or of its region, or all.
func (n *Node) Entries(zone tier.Zone, region tier.Region) ([]string, time.Duration) {
	return pickEntries(n.gossip.list(), zone, region), n.Settings.AnswerTTL
}

func pickEntries(hosts []spread.Host, zone tier.Zone, region tier.Region) []string {
	near := func(h *spread.Host) bool { return h.Zone == zone }
	same := func(h *spread.Host) bool { return h.Region == region }
	all := func(*spread.Host) bool { return true }
	for _, take := range []func(*spread.Host) bool{near, same} {
		if list := addresses(hosts, take); len(list) >= leastEntries {
			return list
		}
	}
	return addresses(hosts, all)
}

func addresses(hosts []spread.Host, take func(*spread.Host) bool) []string {
	var out []string
	for i := range hosts {
		h := &hosts[i]
		if h.State == spread.HostUp && h.Ready && h.Callers != "" && take(h) {
			out = append(out, h.Callers)
		}
	}
	return out
}
