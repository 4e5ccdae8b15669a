package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestCutHostsAreLeftOut: neither callers nor other hosts are sent to a host that does not reach the servers, unless none
// does; then callers still get a list.
func TestCutHostsAreLeftOut(t *testing.T) {
	host := func(id tier.NodeID, zone tier.Zone, cut bool) spread.Host {
		return spread.Host{ID: id, Zone: zone, Region: "r", Callers: string(id), Ready: true, Cut: cut}
	}
	for _, c := range []struct {
		name    string
		hosts   []spread.Host
		entries []string
		relays  []tier.NodeID
	}{
		{"none is cut off", []spread.Host{host("a", "z", false), host("b", "z", false), host("c", "y", false)}, []string{"a", "b"}, []tier.NodeID{"b", "c"}},
		{"one of the zone", []spread.Host{host("a", "z", false), host("b", "z", true), host("c", "y", false)}, []string{"a", "c"}, []tier.NodeID{"c"}},
		{"the zone", []spread.Host{host("a", "z", true), host("b", "z", true), host("c", "y", false)}, []string{"c"}, []tier.NodeID{"c"}},
		{"the region", []spread.Host{host("a", "z", true), host("b", "z", true), {ID: "d", Zone: "x", Region: "s", Callers: "d", Ready: true}}, []string{"d"}, []tier.NodeID{"d"}},
		{"all", []spread.Host{host("a", "z", true), host("b", "z", true), host("c", "y", true)}, []string{"a", "b"}, nil},
	} {
		require.Equal(t, c.entries, pickEntries(c.hosts, "z", "r"), c.name)
		require.Equal(t, c.relays, pickRelayPeers("a", c.hosts), c.name)
	}
}

func TestProbesGrowWhileTheySucceed(t *testing.T) {
	for _, c := range []struct{ last, accepted, want int }{
		{minProbes, 0, minProbes},
		{minProbes, 1, minProbes * probeGrowth},
		{maxProbes, maxProbes, maxProbes},
		{maxProbes, 0, minProbes},
	} {
		require.Equal(t, c.want, nextProbes(c.last, c.accepted))
	}
}
