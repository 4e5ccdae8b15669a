package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	replayStep   = 10 * time.Millisecond
	replayShards = 36
	// serverRate is the number of searches per second for which the replayed servers have room.
	serverRate = 400.0
	// slotsPerShard is the number of slots of the servers of one shard.
	slotsPerShard = 12.0
	replayTarget  = 0.3
)

// replay passes a load through a gate and a model of the servers: each shard has one queue, which grows by what is admitted
// beyond the room and delays answers. It calls check at each step with the time, the share of searches that was admitted in the
// step and the delay of answers in seconds.
func replay(g *Gate, length time.Duration, load func(now time.Duration) (perSecond, room float64), check func(now time.Duration, admitted, delay float64)) {
	queue, pending := 0.0, 0.0
	for now := time.Duration(0); now < length; now += replayStep {
		perSecond, room := load(now)
		admitted, asked := 0, 0
		for pending += perSecond * replayStep.Seconds(); pending >= 1; pending-- {
			asked++
			if g.Admit(now, Request{Spare: 1}) {
				admitted++
			}
		}
		queue = max(0, queue+float64(admitted)-room*replayStep.Seconds())
		delay := queue / room
		for shard := range replayShards {
			g.Queue(now, shard, queue/slotsPerShard)
		}
		for range admitted {
			g.Finished(now, 1, (delay+0.05)/replayTarget)
		}
		if asked > 0 {
			check(now, float64(admitted)/float64(asked), delay)
		}
	}
}

// TestOverloadIsShed replays a burst of three times the usual load that has more searches than the servers have room for:
// guards against queues in which all searches are late, and against refusals after the burst.
func TestOverloadIsShed(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst float64
		room  float64
	}{
		{"twice the room", 800, serverRate},
		{"a little more than the room", 450, serverRate},
		{"a third of the servers is slow", 400, serverRate / 2},
	} {
		g := &Gate{}
		g.Start(0, replayShards)
		served, refusedLate := 0.0, 0.0
		load := func(now time.Duration) (float64, float64) {
			if now >= 2*time.Second && now < 12*time.Second {
				return c.burst, c.room
			}
			return 200, serverRate
		}
		replay(g, 15*time.Second, load, func(now time.Duration, admitted, delay float64) {
			switch {
			case now < 2*time.Second:
				require.InDelta(t, 1, admitted, 0, "%s: no refusal before the burst", c.name)
			case now >= 4*time.Second && now < 12*time.Second && delay < replayTarget:
				served += admitted * c.burst * replayStep.Seconds()
			case now >= 13*time.Second+500*time.Millisecond:
				refusedLate += 1 - admitted
			}
		})
		require.Greater(t, served, 0.8*8*c.room, "%s: searches that are served in time", c.name)
		require.Zero(t, refusedLate, "%s: refusals a second after the queues are gone", c.name)
	}
}

// TestQueuesThatDelayNobodyRefuseNobody: guards against refusals because of a few slow servers, or of queues in which searches
// are in time.
func TestQueuesThatDelayNobodyRefuseNobody(t *testing.T) {
	for _, c := range []struct {
		name     string
		full     int
		spare    int
		time     float64
		refusals bool
	}{
		{"one full shard that the answer may lack", 1, 1, 0.2, false},
		{"full shards beside searches in time", 9, 1, 0.2, false},
		{"late searches without a queue", 0, 1, 1.2, false},
		{"more full shards than the answer may lack, and late searches", 2, 1, 1.2, true},
	} {
		g := &Gate{}
		g.Start(0, replayShards)
		refused := false
		for now := time.Duration(0); now < 2*time.Second; now += replayStep {
			for shard := range replayShards {
				if shard < c.full {
					g.Refused(now, shard)
				} else {
					g.Queue(now, shard, 0)
				}
			}
			g.Finished(now, c.spare, c.time)
			refused = refused || !g.Admit(now, Request{Spare: c.spare})
		}
		require.Equal(t, c.refusals, refused, c.name)
	}
}

// TestUrgentSearchesGoFirst: guards against urgent searches that are refused while less urgent ones, or ones that can only be
// late, are served.
func TestUrgentSearchesGoFirst(t *testing.T) {
	g := &Gate{}
	g.Start(0, replayShards)
	urgent, other, late := Request{Rank: 1, Spare: 1}, Request{Rank: 2, Spare: 5}, Request{Rank: 1, Spare: 1, Late: true}
	admitted := map[Request]int{}
	for now := time.Duration(0); now < 3*time.Second; now += replayStep {
		for shard := range replayShards {
			g.Queue(now, shard, 0.6)
		}
		g.Finished(now, urgent.Spare, 1)
		for _, r := range []Request{urgent, other, late} {
			if g.Admit(now, r) {
				admitted[r]++
			}
		}
	}
	require.Greater(t, admitted[urgent], admitted[other])
	require.Greater(t, admitted[other], admitted[late])
	require.Greater(t, g.RetryAfter(3*time.Second, urgent.Spare), g.RetryAfter(5*time.Second, urgent.Spare), "callers come back later while more is refused")
}
