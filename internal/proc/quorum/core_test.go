package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum/group"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	testHeartbeat = group.Heartbeat
	testElection  = group.ElectionTimeout
	step          = group.Step
)

// testGroup is a simulated control group that is checked for safety violations after every run.
type testGroup struct {
	group.Driver
	t require.TestingT
}

func newGroup(t require.TestingT, seed uint64, n int) *testGroup {
	g := &testGroup{group.Driver{Rand: rand.New(rand.NewPCG(seed, 1))}, t}
	g.Start(n)
	return g
}

// run advances the time by d and checks that no two replicas applied different entries at one index, that none left out
// an entry, and that no term had two leaders.
func (g *testGroup) run(d time.Duration) {
	g.Run(d)
	require.Empty(g.t, g.Conflicts, "different entries were applied at one index")
	require.Empty(g.t, g.Gaps, "an entry was left out")
	require.Empty(g.t, g.DualLeaderTerms, "a term had two leaders")
}

func (g *testGroup) awaitLeader() tier.ReplicaID {
	for range 200 {
		if id := g.Leader(); id != "" {
			return id
		}
		g.run(100 * time.Millisecond)
	}
	require.Fail(g.t, "no leader was elected")
	return ""
}

// propose proposes data at the given replica, which must accept it, and returns the entry's index.
func (g *testGroup) propose(id tier.ReplicaID, data string) tier.Index {
	i, err := g.Propose(id, data)
	require.NoError(g.t, err)
	return i
}

func (g *testGroup) isCommitted(i tier.Index, data string) bool {
	e, ok := g.History[i]
	return ok && string(e.Data) == data
}

func TestElectsAndReplicates(t *testing.T) {
	g := newGroup(t, 1, 3)
	lead := g.awaitLeader()
	i := g.propose(lead, "a")
	g.run(time.Second)
	require.True(t, g.isCommitted(i, "a"))
	for _, r := range g.Replicas {
		require.Equal(t, "a", string(r.Applied[len(r.Applied)-1].Data))
	}
}

func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	for _, n := range []int{3, 5} {
		g := newGroup(t, 2, n)
		old := g.awaitLeader()
		g.Isolated[old.Node()] = true
		i := g.propose(old, "lost")
		g.run(testElection + 5*testHeartbeat)
		require.NotEqual(t, quorum.Leader, g.Replicas[old].Core.Role(), "an isolated leader must step down")
		require.ErrorIs(t, g.Replicas[old].Core.Read(g.Now, 1), tier.ErrNotLeader)
		next := g.awaitLeader()
		require.NotEqual(t, old, next)
		j := g.propose(next, "kept")
		g.run(time.Minute)
		delete(g.Isolated, old.Node())
		g.run(5 * time.Second)
		require.True(t, g.isCommitted(j, "kept"))
		require.False(t, g.isCommitted(i, "lost"))
		require.Equal(t, "kept", string(g.Replicas[old].Applied[j-1].Data))
	}
}

func TestLeaderWithoutCheckQuorumKeepsLeading(t *testing.T) {
	g := newGroup(t, 2, 3)
	old := g.awaitLeader()
	g.Replicas[old].Core.Unsafe.NoCheckQuorum = true
	g.Isolated[old.Node()] = true
	g.run(10 * testElection)
	require.Equal(t, quorum.Leader, g.Replicas[old].Core.Role(), "without check-quorum the isolated leader must keep leading")
}

func TestIsolatedReplicaDoesNotDisturb(t *testing.T) {
	g := newGroup(t, 3, 3)
	lead := g.awaitLeader()
	term := g.Replicas[lead].Core.Term()
	var other tier.ReplicaID
	for _, id := range g.IDs() {
		if id != lead {
			other = id
		}
	}
	g.Isolated[other.Node()] = true
	g.run(time.Minute)
	delete(g.Isolated, other.Node())
	g.run(5 * time.Second)
	require.Equal(t, lead, g.Leader())
	require.Equal(t, term, g.Replicas[lead].Core.Term(), "pre-vote must keep an isolated replica from raising the term")
}

// TestWipedDiskThenSecondFailure fails the leader just after a replica with a wiped disk was repaired. Committed
// entries must survive, and the two remaining replicas must elect a leader.
func TestWipedDiskThenSecondFailure(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, 3)
		lead := g.awaitLeader()
		i := g.propose(lead, "accepted")
		g.run(time.Second)
		require.True(t, g.isCommitted(i, "accepted"))
		var victim tier.ReplicaID
		for _, id := range g.IDs() {
			if id != lead {
				victim = id
			}
		}
		fresh := g.Wipe(victim)
		g.repair(lead, fresh)
		require.True(t, g.Replicas[lead].Core.Membership().IsVoter(fresh))
		g.Replicas[lead].Up = false
		next := g.awaitLeader()
		j := g.propose(next, "after")
		g.run(2 * time.Second)
		require.True(t, g.isCommitted(j, "after"))
		require.True(t, g.isCommitted(i, "accepted"))
	}
}

// repair proposes the membership changes at lead that make fresh a voter in place of its former incarnation.
func (g *testGroup) repair(lead, fresh tier.ReplicaID) {
	for range 100 {
		next, s := quorum.RepairStep(g.Replicas[lead].Core.Membership(), fresh)
		if s == "" {
			return
		}
		_, _ = g.Replicas[lead].Core.ChangeMembers(g.Now, next)
		g.HandleEffects(lead)
		g.run(200 * time.Millisecond)
	}
	require.Fail(g.t, "repair did not finish")
}

// TestEarlyLearnerIsRefused checks that a learner that has not caught up cannot be promoted: its vote could help to
// elect a leader that lacks committed entries. Without the check the promotion is accepted.
func TestEarlyLearnerIsRefused(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		g := newGroup(t, 5, 3)
		lead := g.awaitLeader()
		i := g.propose(lead, "accepted")
		g.run(time.Second)
		require.True(t, g.isCommitted(i, "accepted"))
		victim := g.IDs()[0]
		if victim == lead {
			victim = g.IDs()[1]
		}
		fresh := g.Wipe(victim)
		g.Isolated[fresh.Node()] = true
		c := &g.Replicas[lead].Core
		c.Unsafe.EarlyLearner = unsafe
		next, _ := quorum.RepairStep(c.Membership(), fresh)
		_, err := c.ChangeMembers(g.Now, next)
		require.NoError(t, err)
		g.HandleEffects(lead)
		g.run(time.Second)
		next, s := quorum.RepairStep(c.Membership(), fresh)
		require.Equal(t, "promote", s)
		_, err = c.ChangeMembers(g.Now, next)
		if unsafe {
			require.NoError(t, err, "without the check an empty replica must be accepted as a voter")
			continue
		}
		require.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	}
}

func TestMessageToFormerIncarnationIsDropped(t *testing.T) {
	g := newGroup(t, 7, 3)
	lead := g.awaitLeader()
	var victim tier.ReplicaID
	for _, id := range g.IDs() {
		if id != lead {
			victim = id
		}
	}
	fresh := g.Wipe(victim)
	c := &g.Replicas[fresh].Core
	c.Step(g.Now, quorum.Msg{Kind: quorum.MsgVote, From: lead, To: victim, Term: 99})
	require.Empty(t, c.TakeEffects().Messages, "a message to the former incarnation must be dropped")
	require.Zero(t, c.Term())
}

func TestTransferLeadership(t *testing.T) {
	g := newGroup(t, 8, 3)
	lead := g.awaitLeader()
	g.run(time.Second)
	g.Replicas[lead].Core.TransferLeadership(g.Now)
	g.HandleEffects(lead)
	g.run(200 * time.Millisecond)
	next := g.Leader()
	require.NotEmpty(t, next, "another replica must become leader without waiting for an election timeout")
	require.NotEqual(t, lead, next)
}

func TestSnapshotToLaggingReplica(t *testing.T) {
	g := newGroup(t, 9, 3)
	lead := g.awaitLeader()
	var other tier.ReplicaID
	for _, id := range g.IDs() {
		if id != lead {
			other = id
		}
	}
	g.Replicas[other].Up = false
	for k := range 100 {
		g.propose(lead, fmt.Sprint(k))
		g.run(step)
	}
	g.run(time.Second)
	i := g.Compact(lead)
	g.StartReplica(other)
	g.run(3 * time.Second)
	require.Equal(t, i, g.Replicas[other].Snap.Index)
	last := g.propose(lead, "last")
	g.run(time.Second)
	require.Equal(t, last, g.Replicas[other].Core.Applied())
}

// TestReplicatedLogProperties runs random crashes, restarts, isolations, message losses, disk wipes and proposals. No
// two replicas may apply different entries at one index, no term may have two leaders, and no committed entry may be
// lost.
func TestReplicatedLogProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, rapid.Uint64().Draw(t, "seed"), 3)
		g.awaitLeader()
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) {
				if id := g.Leader(); id != "" {
					n++
					g.propose(id, fmt.Sprint(n))
				}
			},
			"run":  func(t *rapid.T) { g.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"loss": func(t *rapid.T) { g.LossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss") },
			"cut": func(t *rapid.T) {
				id := rapid.SampledFrom(g.IDs()).Draw(t, "replica")
				g.Isolated[id.Node()] = !g.Isolated[id.Node()]
			},
			"crash": func(t *rapid.T) {
				id := rapid.SampledFrom(g.IDs()).Draw(t, "replica")
				if g.Replicas[id].Up {
					g.Replicas[id].Up = false
				} else {
					g.StartReplica(id)
				}
			},
			"wipe": func(*rapid.T) { g.wipeAndRepair() },
		})
		g.LossRate, g.Isolated = 0, map[tier.NodeID]bool{}
		for _, id := range g.IDs() {
			if !g.Replicas[id].Up {
				g.StartReplica(id)
			}
		}
		lead := g.settle()
		c := &g.Replicas[lead].Core
		for at, e := range g.History {
			require.Equal(t, e.Term, c.TermAt(at), "the committed entry at index %d was lost", at)
		}
	})
}

// settle proposes at the leader until a proposal is committed, and returns that leader. A leader that has had no
// response from a quorum for nearly an election timeout may still step down after the proposal, so that it is not
// committed. At most three proposals are made.
func (g *testGroup) settle() tier.ReplicaID {
	for n := range 3 {
		lead := g.awaitLeader()
		end := fmt.Sprint("end", n)
		i := g.propose(lead, end)
		g.run(5 * time.Second)
		if g.isCommitted(i, end) {
			require.Equal(g.t, lead, g.Leader())
			return lead
		}
	}
	require.Fail(g.t, "a healthy group committed none of three proposals")
	return ""
}

// wipeAndRepair wipes one follower's disk and repairs the group. It does nothing unless all three voters are running,
// connected and without message loss.
func (g *testGroup) wipeAndRepair() {
	lead := g.Leader()
	if lead == "" {
		return
	}
	members := g.Replicas[lead].Core.Membership()
	if len(members.Voters) != 3 || len(members.Learners) > 0 {
		return
	}
	for _, id := range members.Voters {
		if r := g.Replicas[id]; r == nil || !r.Up || g.Isolated[id.Node()] {
			return
		}
	}
	victim := members.Voters[0]
	if victim == lead {
		victim = members.Voters[1]
	}
	g.run(time.Second)
	if g.Leader() != lead || g.LossRate > 0 {
		return
	}
	g.repair(lead, g.Wipe(victim))
}
