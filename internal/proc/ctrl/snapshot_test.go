package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// sentMessages keeps the messages that a replica sends.
type sentMessages struct {
	t    *testing.T
	list []quorum.Msg
}

func (s *sentMessages) Send(_ tier.NodeID, b []byte) {
	var m quorum.Msg
	require.NoError(s.t, frame.Unmarshal(b, &m))
	s.list = append(s.list, m)
}

// take returns the messages of a kind that were sent to a replica since the last call.
func (s *sentMessages) take(kind quorum.MsgKind, to tier.ReplicaID) (out []quorum.Msg) {
	for _, m := range s.list {
		if m.Kind == kind && m.To == to {
			out = append(out, m)
		}
	}
	s.list = nil
	return out
}

// steppedReplica is a replica without its event loop: the test passes in the messages of two other voters.
type steppedReplica struct {
	*Replica
	t     *testing.T
	clock *manualClock
	sent  *sentMessages
}

const (
	currentVoter tier.ReplicaID = "n2#a"
	laggingVoter tier.ReplicaID = "n3#a"
)

// startStepped starts a replica from a log that sets the members and then applies the given tables.
func startStepped(t *testing.T, tables int) *steppedReplica {
	path := t.TempDir()
	f := &disk.Folder{Path: path}
	_, err := f.Open()
	require.NoError(t, err)
	members := quorum.Members{Voters: []tier.ReplicaID{f.ID(), currentVoter, laggingVoter}}
	es := []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: &members}}
	for i := range tables {
		b, err := frame.Marshal(tableCommand(i))
		require.NoError(t, err)
		es = append(es, quorum.Entry{Index: tier.Index(i + 2), Term: 1, Kind: quorum.EntryCommand, Data: b})
	}
	require.NoError(t, f.Save(&quorum.HardState{Term: 1}, es))
	require.NoError(t, f.Close())
	s := &steppedReplica{t: t, clock: &manualClock{}, sent: &sentMessages{t: t}}
	s.Replica = &Replica{Folder: &disk.Folder{Path: path}, Clock: s.clock, Sender: s.sent}
	s.Init()
	require.NoError(t, s.load())
	t.Cleanup(func() { require.NoError(t, s.Folder.Close()) })
	return s
}

func (s *steppedReplica) step(from tier.ReplicaID, m quorum.Msg) {
	m.From, m.To = from, s.core.ID
	if m.Term == 0 {
		m.Term = s.core.Term()
	}
	s.core.Step(s.clock.now, m)
}

// lead makes the replica the leader by the votes of currentVoter, which then acknowledges the whole log.
func (s *steppedReplica) lead() {
	s.clock.now += 2 * electionTimeout
	s.core.Tick(s.clock.now)
	s.step(currentVoter, quorum.Msg{Kind: quorum.MsgPreVoteResp, Term: s.core.Term() + 1})
	s.step(currentVoter, quorum.Msg{Kind: quorum.MsgVoteResp})
	require.Equal(s.t, quorum.Leader, s.core.Role())
	require.NoError(s.t, s.process())
	s.acknowledge()
	require.NoError(s.t, s.process())
}

// acknowledge passes in currentVoter's response to all entries.
func (s *steppedReplica) acknowledge() {
	s.step(currentVoter, quorum.Msg{Kind: quorum.MsgAppendResp, Match: s.core.LastIndex()})
}

func (s *steppedReplica) propose(tables ...int) {
	for _, i := range tables {
		s.Replica.propose(proposal{cmd: tableCommand(i), done: make(chan proposalResult, 1)})
	}
	s.core.Flush()
	require.NoError(s.t, s.process())
}

// TestSentSnapshotHoldsTheEntriesUpToItsIndex: guards against an acknowledged routing table that is read back as an older
// one. A leader sent a snapshot in the batch that committed a table; its index covered the table, its data did not, so that
// the replica that installed it never got the table and served the older one once it led.
func TestSentSnapshotHoldsTheEntriesUpToItsIndex(t *testing.T) {
	for _, c := range []struct {
		name string
		// batch runs between the proposal of two tables and the effects of the batch.
		batch func(s *steppedReplica)
	}{
		{"nothing committed in the batch", func(s *steppedReplica) {
			s.acknowledge()
			require.NoError(t, s.process())
			s.step(laggingVoter, quorum.Msg{Kind: quorum.MsgAppendResp, Reject: true})
		}},
		{"committed in the batch, before the snapshot", func(s *steppedReplica) {
			s.acknowledge()
			s.step(laggingVoter, quorum.Msg{Kind: quorum.MsgAppendResp, Reject: true})
		}},
		{"committed in the batch, after the snapshot", func(s *steppedReplica) {
			s.step(laggingVoter, quorum.Msg{Kind: quorum.MsgAppendResp, Reject: true})
			s.acknowledge()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startStepped(t, 5)
			s.lead()
			log := s.core.EntriesAfter(0)
			s.CompactAfter = 1
			require.NoError(t, s.compact())
			s.CompactAfter = DefaultCompactAfter
			s.propose(5, 6)
			s.sent.list = nil
			c.batch(s)
			require.NoError(t, s.process())
			snaps := s.sent.take(quorum.MsgSnap, laggingVoter)
			require.Len(t, snaps, 1)
			snap := snaps[0].Snap
			held, err := store.Load(snap.Data)
			require.NoError(t, err)
			log = append(log, s.core.EntriesAfter(log[len(log)-1].Index)...)
			require.Equal(t, versionIn(t, log, snap.Index), held.Routes().Version)
		})
	}
}

// versionIn returns the version of the routing table that a log sets up to an index.
func versionIn(t *testing.T, log []quorum.Entry, i tier.Index) (v vers.RoutesVersion) {
	for _, e := range log {
		var c store.Command
		if e.Index <= i && e.Kind == quorum.EntryCommand {
			require.NoError(t, frame.Unmarshal(e.Data, &c))
			v = c.Routes.Version
		}
	}
	return v
}
