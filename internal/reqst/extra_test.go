package reqst

import (
	"bytes"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestExtrasOfAllNodesStayWithinTheFleetsBudget lets nodes spend whenever they
// may, and counts in every sliding window what a service would get.
func TestExtrasOfAllNodesStayWithinTheFleetsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, fixed = 10 * time.Second, 0.2, 60.0
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		list := make([]Extra, nodes)
		for i := range list {
			list[i] = Extra{Window: window, Ratio: ratio}
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		var firsts, extras []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += 20 * time.Millisecond {
			x := &list[r.IntN(nodes)]
			x.First(now)
			firsts = append(firsts, now)
			for range r.IntN(burst) {
				if x.Spend(now, fixed/float64(nodes)) {
					extras = append(extras, now)
				}
			}
		}
		in := func(list []time.Duration, from time.Duration) int {
			at := func(d time.Duration) int { return sort.Search(len(list), func(i int) bool { return list[i] >= d }) }
			return at(from+window) - at(from)
		}
		for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
			requests := max(in(firsts, from), in(firsts, from-window), in(firsts, from-window/2))
			require.LessOrEqual(t, float64(in(extras, from)), ratio*float64(requests)+fixed)
		}
	})
}

func TestFillFallsFromOneToNone(t *testing.T) {
	x := &Extra{Window: time.Second, Ratio: 0.1}
	require.Zero(t, x.Fill(0, 0))
	require.InDelta(t, 1, x.Fill(0, 10), 1e-9)
	for x.Spend(0, 10) {
	}
	require.Less(t, x.Fill(0, 10), 0.01)
	require.InDelta(t, 1, x.Fill(3*time.Second, 10), 1e-9, "the window has passed")
}

func TestMergeTakesTheGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 30).Draw(t, "k")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 200), 0, 8).Draw(t, "parts")
		var all [][]byte
		for _, p := range parts {
			for i := 0; i+recordBytes <= len(p); i += recordBytes {
				all = append(all, p[i:i+recordBytes])
			}
		}
		sort.SliceStable(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
		want := []byte{}
		for _, r := range all[:min(k, len(all))] {
			want = append(want, r...)
		}
		require.Equal(t, want, mergeTop(parts, k))
	})
}

// TestHedgesGoByWhatIsLeft replays the loads that the decision answers.
func TestHedgesGoByWhatIsLeft(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		h    hedging
		due  bool
	}{
		{"an answer that is not late yet", hedging{Base: 30 * ms, Waited: 50 * ms, Left: 150 * ms, Fill: 1}, false},
		{"a few slow servers: early", hedging{Base: 30 * ms, Waited: 55 * ms, Left: 145 * ms, Fill: 0.9}, true},
		{"many slow servers: requests with time wait", hedging{Base: 30 * ms, Waited: 55 * ms, Left: 145 * ms, Fill: 0.2}, false},
		{"many slow servers: the last moment for the target", hedging{Base: 30 * ms, Waited: 155 * ms, Left: 45 * ms, Fill: 0.2}, true},
		{"the target has passed, much is left", hedging{Base: 30 * ms, Waited: 300 * ms, Left: -100 * ms, Fill: 0.8}, true},
		{"the target has passed, little is left", hedging{Base: 30 * ms, Waited: 300 * ms, Left: -100 * ms, Fill: 0.4}, false},
	} {
		require.Equal(t, c.due, c.h.due(), c.name)
	}
}
