package reqst

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestRequestThatKillsServersIsHeld replays a request that comes again and
// again, and an innocent one beside it.
func TestRequestThatKillsServersIsHeld(t *testing.T) {
	var s Suspects
	const killer, innocent = tier.Fingerprint(1), tier.Fingerprint(2)
	for i, id := range []tier.ServerID{"a", "b"} {
		now := time.Duration(i) * time.Second
		require.True(t, s.Blame(now, killer, id))
		require.True(t, s.Blame(now, innocent, id))
		require.False(t, s.Blame(now, killer, id), "every node tells of the same death")
		require.Zero(t, s.Held(now, killer))
	}
	s.Clear(innocent)
	s.Blame(3*time.Second, killer, "c")
	s.Blame(3*time.Second, innocent, "c")
	require.Equal(t, deathMemory, s.Held(3*time.Second, killer))
	require.Zero(t, s.Held(3*time.Second, innocent))
	require.Zero(t, s.Held(3*time.Second+deathMemory, killer), "it may be tried again")
}

func TestNumberOfSuspectsIsBounded(t *testing.T) {
	var s Suspects
	for i := range mostSuspects + 10 {
		s.Blame(0, tier.Fingerprint(i), "a")
	}
	require.Len(t, s.deaths, mostSuspects)
	require.True(t, s.Blame(2*deathMemory, 999999, "a"), "old ones make room")
}
