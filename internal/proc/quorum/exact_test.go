package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestSnapshotOfAnEarlierBuildIsAcceptedOnceRepeated: guards against a machine that takes a snapshot from a leader of an
// earlier build and lacks the entries that this leader was committing, while machines are replaced one after the other.
func TestSnapshotOfAnEarlierBuildIsAcceptedOnceRepeated(t *testing.T) {
	type received struct {
		at    time.Duration
		from  tier.ReplicaID
		term  tier.Term
		index tier.Index
		exact bool
		taken bool
	}
	const a, b tier.ReplicaID = "a#1", "b#1"
	for _, c := range []struct {
		name string
		list []received
	}{
		{"exact", []received{{0, a, 2, 9, true, true}}},
		{"repeated", []received{{0, a, 2, 9, false, false}, {time.Second, a, 2, 9, false, true}}},
		{"delivered twice", []received{{0, a, 2, 9, false, false}, {100 * time.Millisecond, a, 2, 9, false, false}}},
		{"committing all the time", []received{{0, a, 2, 9, false, false}, {time.Second, a, 2, 10, false, false}, {2 * time.Second, a, 2, 11, false, false}}},
		{"calm after a change", []received{{0, a, 2, 9, false, false}, {time.Second, a, 2, 10, false, false}, {2 * time.Second, a, 2, 10, false, true}}},
		{"another leader", []received{{0, a, 2, 9, false, false}, {time.Second, b, 3, 9, false, false}, {2 * time.Second, b, 3, 9, false, true}}},
		{"the same leader in a later term", []received{{0, a, 2, 9, false, false}, {time.Second, a, 3, 9, false, false}}},
		{"a later build leads", []received{{0, a, 2, 9, false, false}, {time.Second, b, 3, 10, true, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := quorum.Core{ID: "n#1", Heartbeat: testHeartbeat, Election: testElection, Rand: rand.New(rand.NewPCG(1, 1))}
			core.Start(0, quorum.HardState{}, quorum.Snap{}, nil)
			for _, r := range c.list {
				members := quorum.Members{Voters: []tier.ReplicaID{a, b}, Learners: []tier.ReplicaID{core.ID}}
				snap := quorum.Snap{Index: r.index, Term: r.term, Members: members, Exact: r.exact}
				core.Step(r.at, quorum.Msg{Kind: quorum.MsgSnap, From: r.from, To: core.ID, Term: r.term, Snap: &snap})
				eff := core.TakeEffects()
				require.Equal(t, r.taken, eff.Install != nil, "at %v", r.at)
				answer := eff.Messages[len(eff.Messages)-1]
				require.Equal(t, quorum.MsgAppendResp, answer.Kind, "the leader must see that the replica is alive")
				if r.taken {
					require.True(t, eff.Install.Exact)
					require.Equal(t, r.index, answer.Match)
				} else {
					require.Zero(t, answer.Match)
				}
			}
		})
	}
}

// TestDelayedSnapshotKeepsAcknowledgedEntries: guards against the loss of entries that a replica has acknowledged and the
// leader has committed with its vote, when a snapshot from before arrives late.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	const lead tier.ReplicaID = "a#1"
	entries := func(term tier.Term, from, to tier.Index) (out []quorum.Entry) {
		for i := from; i <= to; i++ {
			out = append(out, quorum.Entry{Index: i, Term: term})
		}
		return out
	}
	for _, c := range []struct {
		name  string
		snap  quorum.Snap
		last  tier.Index
		after []quorum.Entry
	}{
		{"within the log", quorum.Snap{Index: 8, Term: 1}, 12, entries(1, 9, 12)},
		{"at its end", quorum.Snap{Index: 12, Term: 1}, 12, nil},
		{"beyond its end", quorum.Snap{Index: 20, Term: 2}, 20, nil},
		{"another log", quorum.Snap{Index: 8, Term: 2}, 8, nil},
		{"already committed", quorum.Snap{Index: 4, Term: 1}, 12, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := quorum.Core{ID: "n#1", Heartbeat: testHeartbeat, Election: testElection, Rand: rand.New(rand.NewPCG(1, 1))}
			members := quorum.Members{Voters: []tier.ReplicaID{lead, core.ID}}
			core.Start(0, quorum.HardState{Term: 1}, quorum.Snap{Index: 2, Term: 1, Members: members}, nil)
			core.Step(0, quorum.Msg{Kind: quorum.MsgAppend, From: lead, To: core.ID, Term: 1, PrevIndex: 2, PrevTerm: 1, Entries: entries(1, 3, 12), Commit: 5})
			core.TakeEffects()
			c.snap.Members, c.snap.Exact = members, true
			core.Step(0, quorum.Msg{Kind: quorum.MsgSnap, From: lead, To: core.ID, Term: 2, Snap: &c.snap})
			eff := core.TakeEffects()
			require.Equal(t, c.last, core.LastIndex())
			require.Equal(t, c.after, eff.Entries, "what the log on disk holds after the snapshot")
			require.Equal(t, max(5, c.snap.Index), core.Applied())
		})
	}
}

// TestSnapshotsLeaveNoGap runs groups in which some replicas are of an earlier build, with random proposals, snapshots,
// crashes and lost messages. No replica may leave out an entry, and all catch up in the end.
func TestSnapshotsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Uint64().Draw(t, "seed"), 3)
		g.Batch = true
		g.EarlyIndex = map[tier.NodeID]bool{}
		for i := range 3 {
			g.EarlyIndex[tier.NodeID(fmt.Sprint("c", i))] = rapid.Bool().Draw(t, "earlier")
		}
		g.awaitLeader()
		n := 0
		propose := func() {
			if id := g.Leader(); id != "" {
				n++
				g.propose(id, fmt.Sprint(n))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) { propose() },
			"storm": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					propose()
					g.run(step)
				}
			},
			"run":  func(t *rapid.T) { g.run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) },
			"loss": func(t *rapid.T) { g.LossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss") },
			"compact": func(*rapid.T) {
				if id := g.Leader(); id != "" {
					g.Compact(id)
				}
			},
			"crash": func(t *rapid.T) {
				id := rapid.SampledFrom(g.IDs()).Draw(t, "replica")
				if g.Replicas[id].Up {
					g.Crash(id)
				} else {
					g.StartReplica(id)
				}
			},
		})
		g.LossRate = 0
		for _, id := range g.IDs() {
			if !g.Replicas[id].Up {
				g.StartReplica(id)
			}
		}
		lead := g.settle()
		for _, id := range g.IDs() {
			require.Equal(t, g.Replicas[lead].Core.Applied(), g.Replicas[id].Core.Applied(), "%s", id)
		}
	})
}
