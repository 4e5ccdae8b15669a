package evac

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestOrders guards against orders that lose a zone, evacuate one twice or raise the version without a change.
func TestOrders(t *testing.T) {
	var s Set
	for i, c := range []struct {
		order   Order
		changed bool
		zones   string
	}{
		{Order{Zone: "b", Author: "ana"}, true, "b"},
		{Order{Zone: "b", Author: "eva"}, false, "b"},
		{Order{Zone: "a"}, true, "a b"},
		{Order{Zone: "c"}, true, "a b c"},
		{Order{Zone: "x", Restore: true}, false, "a b c"},
		{Order{Zone: "a", Restore: true}, true, "b c"},
		{Order{Zone: "a", Restore: true}, false, "b c"},
	} {
		next, changed := s.With(c.order, int64(i))
		require.Equal(t, c.changed, changed, i)
		require.Equal(t, changed, next.Version == s.Version+1, i)
		var names []string
		for _, z := range next.Names() {
			names = append(names, string(z))
		}
		require.Equal(t, c.zones, strings.Join(names, " "), i)
		s = next
	}
	require.Equal(t, Entry{Zone: "b", Author: "ana"}, s.Zones[0], "the first author is kept")
	require.True(t, s.Has("c"))
	require.False(t, s.Has("a"))
}

// TestOddOrders guards against a set that grows without bound and against names that cannot be a zone.
func TestOddOrders(t *testing.T) {
	var s Set
	for i := range MaxZones {
		s, _ = s.With(Order{Zone: tier.Zone(fmt.Sprint("z", i))}, 0)
	}
	require.NotEmpty(t, s.Refusal(Order{Zone: "one more"}))
	require.Empty(t, s.Refusal(Order{Zone: "z7"}), "a resent order needs no room")
	for _, z := range []tier.Zone{"", tier.Zone(strings.Repeat("z", 1000))} {
		require.Error(t, (&Order{Zone: z}).Check())
	}
}
