package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestLimitSharesAddUpToOne: whatever hosts there are, their shares of a server's limit do not exceed it, for servers of
// each zone, also while a host is cut off and counts all others as down.
func TestLimitSharesAddUpToOne(t *testing.T) {
	for _, c := range []struct {
		name         string
		hosts, busy  int
		zones        int
		sum, minimum float64
	}{
		{"one host", 1, 1, 1, 1, 1},
		{"all busy", 9, 9, 3, 1, 0.05},
		{"none busy", 9, 0, 3, 1, 0.05},
		{"callers use eight of 70", 70, 8, 3, 1, 0.001},
		{"a zone without hosts", 9, 9, 4, 1, 0.05},
	} {
		list := make([]spread.Host, c.hosts)
		for i := range list {
			list[i] = spread.Host{ID: tier.NodeID(fmt.Sprint(i)), Zone: tier.Zone(fmt.Sprint("z", i%min(3, c.zones))), Active: i < c.busy}
		}
		for z := range c.zones {
			sum := 0.0
			for i := range list {
				shares := (&shareTracker{}).update(0, list[i].ID, list)
				own := shares.share(tier.Zone(fmt.Sprint("z", z)))
				require.GreaterOrEqual(t, own, c.minimum, "%s, host %d", c.name, i)
				sum += own
			}
			require.InDelta(t, c.sum, sum, 1e-9, "%s, zone %d", c.name, z)
		}
	}
}

// TestHostThatIsCutOffKeepsItsShare: a host that counts the others as down may be the one that is cut off.
func TestHostThatIsCutOffKeepsItsShare(t *testing.T) {
	list := []spread.Host{{ID: "a", Active: true}, {ID: "b", Active: true}}
	var r shareTracker
	shares := r.update(0, "a", list)
	require.InDelta(t, 0.5, shares.share(""), 1e-9)
	list[1].State = spread.HostDown
	shares = r.update(time.Second, "a", list)
	require.InDelta(t, 0.5, shares.share(""), 1e-9)
	shares = r.update(2*downShareHold, "a", list)
	require.InDelta(t, 1, shares.share(""), 1e-9)
}
