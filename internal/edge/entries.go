package edge

import (
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// minEntries is the number of addresses below which callers also get nodes outside their zone: with
// a single address they would have no alternative when that node fails.
const minEntries = 2

// weakThreshold is the fraction of the strongest host's CPU or link capacity below which a host
// counts as weak. Callers choose at random, and a host of half the strength can still carry the
// same load as the others.
const weakThreshold = 0.5

// Entries returns the addresses that a caller in a zone should use, and for how long: the strong
// nodes of its zone, else of its region, else of the whole fleet. Only ready nodes are returned, or, if there are none, those
// that lack only a currency proof.
func (n *Node) Entries(zone tier.Zone, region tier.Region) ([]string, time.Duration) {
	return pickEntries(n.gossip.list(), zone, region), n.Settings.AnswerTTL
}

func pickEntries(hosts []spread.Host, zone tier.Zone, region tier.Region) []string {
	list := strongHosts(usableHosts(hosts, region))
	var sameZone []*spread.Host
	for _, h := range list {
		if h.Zone == zone {
			sameZone = append(sameZone, h)
		}
	}
	if len(sameZone) >= minEntries {
		return addresses(sameZone)
	}
	return addresses(list)
}

// usableHosts returns the ready hosts of a region that reach the servers, else those of the whole fleet, else the ready hosts of
// the region, else all.
func usableHosts(hosts []spread.Host, region tier.Region) []*spread.Host {
	all := readyHosts(hosts, func(*spread.Host) bool { return true })
	if len(all) == 0 {
		hosts = unprovenAsReady(hosts)
		all = readyHosts(hosts, func(*spread.Host) bool { return true })
	}
	own := readyHosts(hosts, func(h *spread.Host) bool { return h.Region == region })
	for _, list := range [][]*spread.Host{reachingHosts(own), reachingHosts(all), own} {
		if len(list) > 0 {
			return list
		}
	}
	return all
}

// unprovenAsReady returns the hosts with those as ready that lack only a currency proof: they serve public routes, and all
// requests as soon as the control group is back.
func unprovenAsReady(hosts []spread.Host) []spread.Host {
	out := slices.Clone(hosts)
	for i := range out {
		out[i].Ready = out[i].Ready || out[i].Unproven
	}
	return out
}

// reachingHosts leaves out the hosts that are cut off from the servers.
func reachingHosts(list []*spread.Host) []*spread.Host {
	var out []*spread.Host
	for _, h := range list {
		if !h.Cut {
			out = append(out, h)
		}
	}
	return out
}

func readyHosts(hosts []spread.Host, match func(*spread.Host) bool) []*spread.Host {
	var out []*spread.Host
	for i := range hosts {
		h := &hosts[i]
		if h.State == spread.HostUp && h.Ready && h.Callers != "" && match(h) {
			out = append(out, h)
		}
	}
	return out
}

// strongHosts leaves out hosts that are much weaker than the strongest, because a search's whole
// response passes through one host's link and CPU. It leaves none out if fewer than minEntries
// would remain.
func strongHosts(list []*spread.Host) []*spread.Host {
	cores, mbits := 0.0, 0.0
	for _, h := range list {
		cores, mbits = max(cores, h.Cores), max(mbits, h.Mbits)
	}
	var out []*spread.Host
	for _, h := range list {
		if h.Cores >= weakThreshold*cores && h.Mbits >= weakThreshold*mbits {
			out = append(out, h)
		}
	}
	if len(out) < minEntries {
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
