package score

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

var three = []tier.Candidate{{Server: "a", Zone: "z"}, {Server: "b", Zone: "z"}, {Server: "c", Zone: "z"}}

func newBoard(choices bool) *Board {
	b := &Board{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)), Choices: func(tier.Service) bool { return choices }, Share: func(tier.Service) int64 { return 340 }}
	b.Start()
	return b
}

// count picks n times and returns how often each server was chosen.
func count(b *Board, now time.Duration, n int) map[tier.ServerID]int {
	out := map[tier.ServerID]int{}
	for range n {
		out[three[b.Pick(now, "s", 0, three)].Server]++
	}
	return out
}

func TestSlowServerGetsLess(t *testing.T) {
	b := newBoard(true)
	for _, id := range []tier.ServerID{"a", "b"} {
		b.Succeeded(0, id, time.Millisecond, 0)
	}
	b.Succeeded(0, "c", 50*time.Millisecond, 0)
	n := count(b, time.Second, 900)
	require.Less(t, n["c"], 200)
	require.Positive(t, n["c"], "it is still asked, so that a better time is noticed")
}

func TestRoundRobinIgnoresWhatIsKnown(t *testing.T) {
	b := newBoard(false)
	b.Succeeded(0, "c", time.Second, 0)
	n := count(b, 0, 900)
	require.Equal(t, 300, n["c"])
}

func TestAvoiding(t *testing.T) {
	b := newBoard(true)
	for range failLimit {
		b.Sent("a")
		b.Failed(0, "a")
	}
	require.True(t, b.Avoided(0, "a"))
	require.Zero(t, count(b, 0, 100)["a"])
	require.False(t, b.Avoided(avoidFirst, "a"), "after a while it is tried again")
	b.Lost(avoidFirst, "a")
	require.True(t, b.Avoided(2*avoidFirst, "a"), "the second time it is avoided longer")
	b.Succeeded(avoidFirst, "a", time.Millisecond, 0)
	require.False(t, b.Avoided(avoidFirst, "a"))
}

func TestAWrongSignalCannotEmptyAGroup(t *testing.T) {
	b := newBoard(true)
	b.Lost(0, "a")
	b.Lost(0, "b")
	require.Len(t, count(b, 0, 300), 3, "more than the allowed share is avoided: all are used")
}

func TestLostHedgesInARow(t *testing.T) {
	b := newBoard(true)
	for range beatenLimit - 1 {
		b.Beaten(0, "a")
	}
	require.False(t, b.Avoided(0, "a"))
	b.Succeeded(0, "a", time.Millisecond, 0)
	b.Beaten(0, "a")
	require.False(t, b.Avoided(0, "a"), "an answer in between starts the count anew")
}

func TestNewInstanceIsForgivenEverything(t *testing.T) {
	b := newBoard(true)
	b.Keep("a", 1, true)
	b.Lost(0, "a")
	b.Keep("a", 1, true)
	require.True(t, b.Avoided(0, "a"))
	b.Keep("a", 2, true)
	require.False(t, b.Avoided(0, "a"))
}
