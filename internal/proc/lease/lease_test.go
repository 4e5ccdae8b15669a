package lease

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func validAnnouncement() tier.Announcement {
	return tier.Announcement{
		Server: "s1", Instance: 1, Service: "fitter-app", Zone: "zg-a", Address: "127.0.0.1:1", Slots: 5, Conns: 40, LeaseMs: 2000,
		Holdings: []tier.Holding{{Snapshot: tier.Snapshot{Version: 1, Shards: 10}, Shard: 9}},
	}
}

func TestCheck(t *testing.T) {
	require.NoError(t, Check(validAnnouncement()))
	long := strings.Repeat("x", tier.MaxNameBytes+1)
	holding := func(shards, shard tier.Shard) func(*tier.Announcement) {
		return func(a *tier.Announcement) {
			a.Holdings[0] = tier.Holding{Snapshot: tier.Snapshot{Version: 1, Shards: shards}, Shard: shard}
		}
	}
	for _, c := range []struct {
		name   string
		change func(*tier.Announcement)
		want   string
	}{
		{"no server", func(a *tier.Announcement) { a.Server = "" }, "server"},
		{"long server", func(a *tier.Announcement) { a.Server = tier.ServerID(long) }, "server"},
		{"no instance", func(a *tier.Announcement) { a.Instance = 0 }, "instance"},
		{"no service", func(a *tier.Announcement) { a.Service = "" }, "service"},
		{"long zone", func(a *tier.Announcement) { a.Zone = tier.Zone(long) }, "zone"},
		{"no address", func(a *tier.Announcement) { a.Address = "" }, "address"},
		{"no slots", func(a *tier.Announcement) { a.Slots = 0 }, "slots"},
		{"no connections", func(a *tier.Announcement) { a.Conns = 0 }, "connections"},
		{"short lease", func(a *tier.Announcement) { a.LeaseMs = MinLease - 1 }, "lease_ms"},
		{"long lease", func(a *tier.Announcement) { a.LeaseMs = MaxLease + 1 }, "lease_ms"},
		{"too many holdings", func(a *tier.Announcement) { a.Holdings = make([]tier.Holding, MaxHoldings+1) }, "holdings"},
		{"no shards", holding(0, 0), "holdings[0]"},
		{"shard out of range", holding(10, 10), "holdings[0]"},
		{"too many shards for the nodes' memory", holding(60000, 1), "at most 10000 shards"},
	} {
		a := validAnnouncement()
		c.change(&a)
		require.ErrorContains(t, Check(a), c.want, c.name)
	}
}
