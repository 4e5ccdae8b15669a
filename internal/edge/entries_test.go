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

// TestWeakHostsAreLeftOut gives the hosts of the installations and who of them callers are told.
func TestWeakHostsAreLeftOut(t *testing.T) {
	grown := []spread.Host{host("a1", "a", 0.5, 70), host("a2", "a", 0.5, 70), host("a3", "a", 0.2, 14), host("a4", "a", 0.2, 14), host("b1", "b", 0.5, 70)}
	today := []spread.Host{host("a1", "a", 0.72, 1000), host("a2", "a", 0.4, 1000), host("b1", "b", 0.72, 1000)}
	down := append([]spread.Host(nil), grown...)
	down[0].State = spread.HostDown
	leaving := append([]spread.Host(nil), today...)
	leaving[1].State = spread.HostLeaving
	starting := append([]spread.Host(nil), today...)
	starting[0].Ready = false
	for _, c := range []struct {
		name  string
		hosts []spread.Host
		zone  tier.Zone
		want  []string
	}{
		{"the strong hosts of the zone", grown, "a", []string{"a1", "a2"}},
		{"one strong host alone does not do: those of the region", down, "a", []string{"a2", "b1"}},
		{"no other strong host: the weak ones too", down[:4], "a", []string{"a2", "a3", "a4"}},
		{"a zone with one host: those of the region", grown, "b", []string{"a1", "a2", "b1"}},
		{"hosts of half the strength are not weak", today, "a", []string{"a1", "a2"}},
		{"a leaving host is off the list, and the zone too small", leaving, "a", []string{"a1", "b1"}},
		{"a host that is not ready too", starting, "a", []string{"a2", "b1"}},
		{"another region", today, "a", []string{"a1", "a2"}},
		{"an unknown zone", today, "x", []string{"a1", "a2", "b1"}},
		{"no hosts", nil, "a", []string{}},
	} {
		require.Equal(t, c.want, pickEntries(c.hosts, c.zone, "r"), c.name)
	}
}
