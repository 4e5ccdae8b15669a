package quorum

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MaxAppendEntries is the maximum number of entries in one append message.
const MaxAppendEntries = 256

// Errors returned by ChangeMembers.
var (
	// ErrMembershipChangePending is returned while an earlier membership change is uncommitted.
	ErrMembershipChangePending = errors.New("a membership change is under way")
	// ErrNotCaughtUp is returned when a learner cannot be promoted because it lacks committed entries or has
	// not answered within the election timeout.
	ErrNotCaughtUp = errors.New("learner has not caught up")
)

// progress is a leader's record of one member's replication state.
type progress struct {
	next        tier.Index
	match       tier.Index
	round       uint64
	lastContact time.Duration
}

type pendingRead struct {
	id    uint64
	index tier.Index
	round uint64
}

// Core is the state machine of one replica. Set the exported fields, then call Start.
// Times are monotonic: durations since an arbitrary origin.
type Core struct {
	// ID is this incarnation of the replica.
	ID tier.ReplicaID
	// Heartbeat is the interval at which a leader sends appends, empty ones included.
	Heartbeat time.Duration
	// Election is the minimum election timeout. Each timeout is drawn at random between it and twice its value.
	Election time.Duration
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
	// Unsafe disables individual safety mechanisms, for tests that show which failure each one prevents.
	Unsafe Unsafe

	hard         HardState
	role         Role
	leader       tier.ReplicaID
	members      Members
	membersIndex tier.Index
	snapMembers  Members
	log          memLog
	commit       tier.Index
	applied      tier.Index

	lastContact     time.Duration
	electionTimeout time.Duration
	lastBroadcast   time.Duration
	leaderSince     time.Duration
	votes           map[tier.ReplicaID]bool
	peers           map[tier.ReplicaID]*progress
	round           uint64
	reads           []pendingRead
	transfer        tier.ReplicaID
	unverified      unverifiedSnap

	effects Effects
}

// Unsafe lists the safety mechanisms that a test can disable.
type Unsafe struct {
	// EarlyLearner promotes learners that have not caught up.
	EarlyLearner bool
	// NoCheckQuorum lets a leader keep leading without responses from a quorum.
	NoCheckQuorum bool
}

// Start initializes the replica as a follower from the durable state read from disk.
func (c *Core) Start(now time.Duration, hard HardState, snap Snap, entries []Entry) {
	c.hard = hard
	c.log.reset(snap.Index, snap.Term)
	c.log.append(entries...)
	c.snapMembers = snap.Members
	c.commit, c.applied = snap.Index, snap.Index
	c.reloadMembers()
	c.becomeFollower(now, hard.Term, "")
}

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() tier.Term { return c.hard.Term }

// LeaderID returns the known leader of the current term, or "".
func (c *Core) LeaderID() tier.ReplicaID { return c.leader }

// Applied returns the index of the last entry returned in Effects.Committed or covered by a snapshot.
func (c *Core) Applied() tier.Index { return c.applied }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() tier.Index { return c.log.last() }

// LogLen returns the number of entries after the newest snapshot.
func (c *Core) LogLen() int { return len(c.log.entries) }

// Match returns the highest index up to which id's log is known to match the leader's.
func (c *Core) Match(id tier.ReplicaID) tier.Index {
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Serving reports whether the replica is the leader and has committed an entry of its own term. Its applied
// state then includes every entry that was ever committed.
func (c *Core) Serving() bool {
	if c.role != Leader {
		return false
	}
	t, ok := c.log.term(c.commit)
	return ok && t == c.hard.Term
}

// TakeEffects returns and clears the effects accumulated since the last call.
func (c *Core) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

func (c *Core) becomeFollower(now time.Duration, term tier.Term, leader tier.ReplicaID) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
	}
	c.role = Follower
	c.leader = leader
	c.transfer = ""
	c.failReads()
	c.resetTimer(now)
}

func (c *Core) resetTimer(now time.Duration) {
	c.lastContact = now
	c.electionTimeout = c.Election + time.Duration(c.Rand.Int64N(int64(c.Election)))
}

func (c *Core) setHard(h HardState) {
	c.hard = h
	saved := h
	c.effects.Hard = &saved
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.effects.Reads = append(c.effects.Reads, ReadDone{ID: r.id, Failed: true})
	}
	c.reads = nil
}

func (c *Core) send(m Msg) {
	m.From = c.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

// Tick advances the time to now: a leader sends heartbeats and checks its quorum, and any other voter
// campaigns once its election timeout has elapsed.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now-c.lastContact >= c.electionTimeout && c.members.IsVoter(c.ID) {
		c.campaign(now, PreCandidate)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.Unsafe.NoCheckQuorum && !c.quorumActive(now) {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if now-c.lastBroadcast >= c.Heartbeat {
		c.broadcast(now)
	}
}

func (c *Core) appendLocal(e Entry) tier.Index {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append(e)
	c.effects.Entries = append(c.effects.Entries, e)
	return e.Index
}

// Persisted records that the leader's own entries up to i are synced to disk, so that they count towards
// the commit quorum. It does nothing on other replicas.
func (c *Core) Persisted(i tier.Index) {
	if c.role != Leader {
		return
	}
	if p := c.peers[c.ID]; p != nil && i > p.match && i <= c.log.last() {
		p.match = i
		c.advanceCommit()
	}
}

// Propose appends a command to the leader's log and returns the entry's index and term.
func (c *Core) Propose(data []byte) (tier.Index, tier.Term, error) {
	if c.role != Leader || c.transfer != "" {
		return 0, 0, tier.ErrNotLeader
	}
	i := c.appendLocal(Entry{Kind: EntryCommand, Data: data})
	return i, c.hard.Term, nil
}

// Flush sends newly proposed entries to the peers without waiting for a heartbeat.
func (c *Core) Flush() {
	if c.role != Leader {
		return
	}
	for _, id := range c.members.All() {
		if id != c.ID && c.peers[id].next <= c.log.last() {
			c.sendAppend(id)
		}
	}
}

// Read starts a linearizable read: it asks a quorum to confirm that this replica is still the leader. The
// result is a ReadDone with the given id in a later Effects.
func (c *Core) Read(now time.Duration, id uint64) error {
	if !c.Serving() {
		return tier.ErrNotLeader
	}
	c.round++
	c.reads = append(c.reads, pendingRead{id: id, index: c.commit, round: c.round})
	c.broadcast(now)
	c.finishReads()
	return nil
}

// Compact drops the log entries up to i after a snapshot that covers them has been made durable.
func (c *Core) Compact(i tier.Index) {
	if i > c.applied {
		return
	}
	c.snapMembers = c.MembersAt(i)
	c.log.compact(i)
}

func (c *Core) broadcast(now time.Duration) {
	c.lastBroadcast = now
	for _, id := range c.members.All() {
		if id != c.ID {
			c.sendAppend(id)
		}
	}
}

func (c *Core) sendAppend(id tier.ReplicaID) {
	p := c.peers[id]
	prev := p.next - 1
	t, ok := c.log.term(prev)
	if !ok {
		c.send(Msg{Kind: MsgSnap, To: id, Round: c.round, Commit: c.log.snapIndex})
		return
	}
	es := c.log.slice(p.next, MaxAppendEntries)
	c.send(Msg{Kind: MsgAppend, To: id, PrevIndex: prev, PrevTerm: t, Entries: es, Commit: c.commit, Round: c.round})
	p.next += tier.Index(len(es))
}

func (c *Core) advanceCommit() {
	matches := make([]tier.Index, 0, len(c.members.Voters))
	for _, id := range c.members.Voters {
		matches = append(matches, c.peers[id].match)
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	i := matches[c.members.Quorum()-1]
	if i <= c.commit {
		return
	}
	if t, _ := c.log.term(i); t != c.hard.Term {
		return
	}
	c.setCommit(i)
}

func (c *Core) setCommit(i tier.Index) {
	if i > c.log.last() {
		i = c.log.last()
	}
	if i <= c.commit {
		return
	}
	c.commit = i
	es := c.log.slice(c.applied+1, int(i-c.applied))
	c.effects.Committed = append(c.effects.Committed, es...)
	c.applied = i
	if c.role == Leader && c.membersIndex <= i && !c.members.IsVoter(c.ID) {
		c.role = Follower
		c.leader = ""
		c.failReads()
	}
}

func (c *Core) finishReads() {
	rounds := make([]uint64, 0, len(c.members.Voters))
	for _, id := range c.members.Voters {
		if id == c.ID {
			rounds = append(rounds, c.round)
			continue
		}
		rounds = append(rounds, c.peers[id].round)
	}
	sort.Slice(rounds, func(i, j int) bool { return rounds[i] > rounds[j] })
	confirmed := rounds[c.members.Quorum()-1]
	n := 0
	for _, r := range c.reads {
		if r.round > confirmed {
			break
		}
		c.effects.Reads = append(c.effects.Reads, ReadDone{ID: r.id, Index: r.index})
		n++
	}
	c.reads = c.reads[n:]
}

// TermAt returns the term of the entry at i, or 0 if i is compacted or beyond the end of the log.
func (c *Core) TermAt(i tier.Index) tier.Term {
	t, _ := c.log.term(i)
	return t
}

// EntriesAfter returns the entries with an index greater than i.
func (c *Core) EntriesAfter(i tier.Index) []Entry {
	return c.log.slice(i+1, len(c.log.entries))
}
