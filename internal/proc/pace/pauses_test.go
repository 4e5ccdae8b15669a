package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// pausingServer answers in work, and stands still for length in each period.
type pausingServer struct {
	id                    tier.ServerID
	phase, period, length time.Duration
}

// answerAt returns when a request that arrives at a time is answered.
func (s *pausingServer) answerAt(at, work time.Duration) time.Duration {
	end := at + work
	if s.length == 0 {
		return end
	}
	if since := (at - s.phase + 100*s.period) % s.period; since < s.length {
		return at + s.length - since + work
	}
	if since := (end - s.phase + 100*s.period) % s.period; since < work && since < s.length {
		return end + s.length
	}
	return end
}

// pauseRun sends requests to shards of three servers in one zone each, hedges late ones and returns
// the share of first sub-requests that met a pause, from a time on.
type pauseRun struct {
	rand      *rand.Rand
	board     *Board
	predict   bool
	work      time.Duration
	shards    [][]pausingServer
	from      time.Duration
	sent, met int
}

func newPauseRun(seed uint64, predict bool, shards int, period, length time.Duration) *pauseRun {
	r := &pauseRun{rand: rand.New(rand.NewPCG(seed, 7)), board: &Board{Zone: "none"}, predict: predict, work: 12 * ms}
	r.board.Start()
	for i := range shards {
		var list []pausingServer
		for k := range 3 {
			list = append(list, pausingServer{tier.ServerID(fmt.Sprintf("s%d-%d", i, k)), time.Duration(r.rand.Int64N(int64(period))), period, length})
		}
		r.shards = append(r.shards, list)
	}
	return r
}

// search sends one request to each shard at a time.
func (r *pauseRun) search(now time.Duration) {
	k := Timing{Base: r.work, Quick: r.work, Target: 80 * ms}
	for _, list := range r.shards {
		var candidates []tier.Candidate
		for i := range list {
			candidates = append(candidates, tier.Candidate{Server: list[i].id, Zone: tier.Zone(fmt.Sprint("z", i))})
		}
		r.rand.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
			list[i], list[j] = list[j], list[i]
		})
		at := r.board.Pick(now, k, candidates)
		work := r.work/2 + time.Duration(r.rand.Int64N(int64(r.work)))
		end := list[at].answerAt(now, work)
		if now >= r.from {
			r.sent++
			if end-now > work+minStall {
				r.met++
			}
		}
		answered := true
		// A hedge answers after twice the usual time, and the loser runs on for four times.
		if limit := now + 7*r.work; end > limit && r.rand.IntN(2) == 0 {
			end, answered = limit, false
		}
		if r.predict {
			r.board.RecordDuration(list[at].id, now, end, r.work, answered)
		}
	}
}

func (r *pauseRun) run(length time.Duration, rate float64) float64 {
	for now := time.Duration(0); now < length; now += time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second)) {
		r.search(now)
	}
	return float64(r.met) / float64(r.sent)
}

// TestRegularPausesAreAvoided replays the servers of 90 shards that stand still for 250 ms in every
// 6 s: after three periods at least half of the sub-requests that would have met a pause go to
// another server.
func TestRegularPausesAreAvoided(t *testing.T) {
	for _, c := range []struct{ period, length time.Duration }{
		{6 * time.Second, 250 * ms}, {2 * time.Second, 150 * ms}, {10 * time.Second, 300 * ms},
	} {
		for seed := range uint64(3) {
			share := func(predict bool) float64 {
				r := newPauseRun(seed, predict, 90, c.period, c.length)
				r.from = 3 * c.period
				return r.run(10*c.period, 16)
			}
			without, with := share(false), share(true)
			t.Logf("%v of %v, seed %d: %.4f of the sub-requests met a pause, %.4f with prediction", c.length, c.period, seed, without, with)
			require.Less(t, with, without/2)
		}
	}
}

// TestIrregularStallsPredictNothing has servers stand still at random times.
func TestIrregularStallsPredictNothing(t *testing.T) {
	b := newBoard()
	random := rand.New(rand.NewPCG(1, 2))
	predicted, asked := 0, 0
	for now := time.Duration(0); now < 2*time.Minute; now += 20 * ms {
		id := tier.ServerID(fmt.Sprint("s", random.IntN(90)))
		if random.IntN(10) == 0 {
			b.RecordDuration(id, now, now+100*ms+time.Duration(random.Int64N(int64(200*ms))), 12*ms, true)
		}
		asked++
		if b.pauses.remaining(now, id, 12*ms) > 0 {
			predicted++
		}
	}
	require.Less(t, float64(predicted)/float64(asked), 0.01)
}

// TestPauseIsRelearnedAtAnotherTime has the pauses of all servers move, as after a restart.
func TestPauseIsRelearnedAtAnotherTime(t *testing.T) {
	const period = 4 * time.Second
	r := newPauseRun(3, true, 60, period, 250*ms)
	r.run(8*period, 16)
	for _, list := range r.shards {
		for i := range list {
			list[i].phase += period / 2
		}
	}
	r.sent, r.met = 0, 0
	before := newPauseRun(3, false, 60, period, 250*ms).run(8*period, 16)
	after := 0.0
	for now := 8 * period; now < 20*period; now += time.Duration(r.rand.ExpFloat64() / 16 * float64(time.Second)) {
		if now > 16*period && r.from == 0 {
			r.from, r.sent, r.met = now, 0, 0
		}
		r.search(now)
	}
	after = float64(r.met) / float64(r.sent)
	require.Less(t, after, before/2)
}

// TestForgottenServerHasNoPauses drops a server that has left.
func TestForgottenServerHasNoPauses(t *testing.T) {
	b := newBoard()
	b.RecordDuration("near", 0, 200*ms, 12*ms, true)
	require.Len(t, b.pauses.windows, 1)
	b.Forget(func(tier.ServerID) bool { return false })
	require.Empty(t, b.pauses.windows)
}
