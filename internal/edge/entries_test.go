package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func host(id string, zone tier.Zone, cores, mbits float64) spread.Host {
	return spread.Host{ID: tier.NodeID(id), Zone: zone, Region: "r", Callers: id, Ready: true, Cores: cores, Mbits: mbits}
}

// TestWeakHostsAreLeftOut checks which addresses callers get, for one fleet of strong and weak
// hosts and one whose hosts differ by less than a factor of two.
func TestWeakHostsAreLeftOut(t *testing.T) {
	mixed := []spread.Host{host("a1", "a", 0.5, 70), host("a2", "a", 0.5, 70), host("a3", "a", 0.2, 14), host("a4", "a", 0.2, 14), host("b1", "b", 0.5, 70)}
	similar := []spread.Host{host("a1", "a", 0.72, 1000), host("a2", "a", 0.4, 1000), host("b1", "b", 0.72, 1000)}
	down := append([]spread.Host(nil), mixed...)
	down[0].State = spread.HostDown
	leaving := append([]spread.Host(nil), similar...)
	leaving[1].State = spread.HostLeaving
	starting := append([]spread.Host(nil), similar...)
	starting[0].Ready = false
	unproven := append([]spread.Host(nil), similar...)
	unproven[0].Ready, unproven[0].Unproven = false, true
	allUnproven := append([]spread.Host(nil), unproven...)
	allUnproven[1].Ready, allUnproven[2].Ready, allUnproven[2].Unproven = false, false, true
	for _, c := range []struct {
		name  string
		hosts []spread.Host
		zone  tier.Zone
		want  []string
	}{
		{"only the strong hosts of the zone", mixed, "a", []string{"a1", "a2"}},
		{"one strong host in the zone is not enough: strong hosts of the region", down, "a", []string{"a2", "b1"}},
		{"one strong host in the region: weak hosts too", down[:4], "a", []string{"a2", "a3", "a4"}},
		{"a zone with one host: strong hosts of the region", mixed, "b", []string{"a1", "a2", "b1"}},
		{"hosts of half the strength are not weak", similar, "a", []string{"a1", "a2"}},
		{"a leaving host is not listed, and the zone has too few others", leaving, "a", []string{"a1", "b1"}},
		{"a host that is not ready is not listed", starting, "a", []string{"a2", "b1"}},
		{"a host without a proof is not listed", unproven, "a", []string{"a2", "b1"}},
		{"no host has a proof: the others do not serve either", allUnproven, "a", []string{"a1", "b1"}},
		{"another region", similar, "a", []string{"a1", "a2"}},
		{"an unknown zone", similar, "x", []string{"a1", "a2", "b1"}},
		{"no hosts", nil, "a", []string{}},
	} {
		require.Equal(t, c.want, pickEntries(c.hosts, c.zone, "r"), c.name)
	}
}
