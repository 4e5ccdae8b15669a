package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// order applies an order as the leader does: it derives the next set from the one that a replica holds.
func order(t *testing.T, s *Store, zone string, restore bool) Result {
	t.Helper()
	held := s.Evacuations()
	next, changed := held.With(evac.Order{Zone: tier.Zone(zone), Restore: restore}, 1)
	if !changed {
		return Result{}
	}
	return s.Apply(Command{Evacuations: &next})
}

// TestResentOrdersChangeNothing guards against an order that is carried out twice, is undone by a resent copy of an older set, or is
// lost with a snapshot.
func TestResentOrdersChangeNothing(t *testing.T) {
	s := New()
	first, _ := new(evac.Set).With(evac.Order{Zone: "a"}, 1)
	for i := range 3 {
		require.Equal(t, i == 0, s.Apply(Command{Evacuations: &first}).Evacuations.Accepted)
		s = reload(t, s)
	}
	require.Nil(t, order(t, s, "a", false).Evacuations, "a zone that is evacuated needs no new set")
	require.True(t, order(t, s, "b", false).Evacuations.Accepted)
	require.False(t, s.Apply(Command{Evacuations: &first}).Evacuations.Accepted, "an older set does not come back")
	held := s.Evacuations()
	require.Equal(t, []tier.Zone{"a", "b"}, held.Names())
	require.True(t, order(t, s, "a", true).Evacuations.Accepted)
	require.Nil(t, order(t, s, "a", true).Evacuations)
	s = reload(t, s)
	held = s.Evacuations()
	require.Equal(t, []tier.Zone{"b"}, held.Names())
	require.Equal(t, evac.Version(3), held.Version)
}

// TestRacingOrdersOneWins guards against the loss of one of two orders that were derived from the same set: the second must be told
// that it was not accepted, so that it is derived again.
func TestRacingOrdersOneWins(t *testing.T) {
	s := New()
	a, _ := new(evac.Set).With(evac.Order{Zone: "a"}, 1)
	b, _ := new(evac.Set).With(evac.Order{Zone: "b"}, 1)
	require.True(t, s.Apply(Command{Evacuations: &a}).Evacuations.Accepted)
	r := s.Apply(Command{Evacuations: &b}).Evacuations
	require.False(t, r.Accepted)
	require.Equal(t, evac.Version(1), r.Version)
}

// earlierCommand and earlierSnapshot are the encodings of a build that does not know evacuations.
type earlierCommand struct {
	NowMs  int64      `cbor:"1,keyasint"`
	Sweep  *Sweep     `cbor:"7,keyasint,omitempty"`
	Routes *RoutesDoc `cbor:"8,keyasint,omitempty"`
}

// TestEvacuationsBesideEarlierBuilds guards against a command that an earlier build cannot decode, against a snapshot of a fleet without
// orders that differs from an earlier one, and against a replica whose state came from an earlier build and stays wrong.
func TestEvacuationsBesideEarlierBuilds(t *testing.T) {
	set := evac.Set{Version: 1, Zones: []evac.Entry{{Zone: "a"}}}
	b, err := frame.Marshal(Command{NowMs: 5, Evacuations: &set})
	require.NoError(t, err)
	var c earlierCommand
	require.NoError(t, frame.Unmarshal(b, &c))
	require.Equal(t, earlierCommand{NowMs: 5}, c, "it applies nothing")

	s := New()
	plain, err := s.Save()
	require.NoError(t, err)
	var keys map[int]any
	require.NoError(t, frame.Unmarshal(plain, &keys))
	require.NotContains(t, keys, 10)

	// This replica has lost the first set with a snapshot of an earlier build; the next set is complete.
	next, _ := set.With(evac.Order{Zone: "b"}, 1)
	require.True(t, s.Apply(Command{Evacuations: &next}).Evacuations.Accepted)
	held := s.Evacuations()
	require.Equal(t, []tier.Zone{"a", "b"}, held.Names())
}
