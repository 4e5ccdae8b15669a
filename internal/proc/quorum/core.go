package quorum

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MaxAppend is the most entries in one append message.
const MaxAppend = 256

// Errors of proposals.
var (
	// ErrBusyMembers says that a membership change is still under way.
	ErrBusyMembers = errors.New("a membership change is under way")
	// ErrNotCaughtUp says that a learner lacks entries and cannot be promoted.
	ErrNotCaughtUp = errors.New("learner has not caught up")
)

// progress is what a leader knows of one peer.
type progress struct {
	next  tier.Index
	match tier.Index
	round uint64
	heard time.Duration
}

type read struct {
	id    uint64
	index tier.Index
	round uint64
}

// Core is one replica. Set the exported fields, then call Start.
// Times are monotonic, as durations since an arbitrary origin.
type Core struct {
	// ID is this incarnation of the replica.
	ID tier.ReplicaID
	// Heartbeat is the interval between a leader's appends.
	Heartbeat time.Duration
	// Election is the least election timeout; the greatest is twice that.
	Election time.Duration
	// Rand seeds the election timeouts.
	Rand *rand.Rand
	// Unsafe switches single safety mechanisms off, for tests that show what they prevent.
	Unsafe Unsafe

	hard      HardState
	role      Role
	leader    tier.ReplicaID
	members   Members
	memberIdx tier.Index
	snapMem   Members
	log       memLog
	commit    tier.Index
	applied   tier.Index

	heard    time.Duration
	timeout  time.Duration
	beat     time.Duration
	started  time.Duration
	votes    map[tier.ReplicaID]bool
	peers    map[tier.ReplicaID]*progress
	round    uint64
	reads    []read
	transfer tier.ReplicaID

	out Effects
}

// Unsafe lists mechanisms that a test may switch off.
type Unsafe struct {
	// EarlyLearner promotes learners that have not caught up.
	EarlyLearner bool
	// NoCheckQuorum lets a leader go on without hearing from a quorum.
	NoCheckQuorum bool
}

// Start sets the replica's durable state as read from disk.
func (c *Core) Start(now time.Duration, hard HardState, snap Snap, entries []Entry) {
	c.hard = hard
	c.log.reset(snap.Index, snap.Term)
	c.log.append(entries...)
	c.snapMem = snap.Members
	c.commit, c.applied = snap.Index, snap.Index
	c.reloadMembers()
	c.becomeFollower(now, hard.Term, "")
}

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() tier.Term { return c.hard.Term }

// LeaderID returns the leader known for the current term, or "".
func (c *Core) LeaderID() tier.ReplicaID { return c.leader }

// Applied returns the index of the last entry handed out for applying.
func (c *Core) Applied() tier.Index { return c.applied }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() tier.Index { return c.log.last() }

// LogLen returns the number of entries after the newest snapshot.
func (c *Core) LogLen() int { return len(c.log.entries) }

// Match returns the index up to which id's log is known to equal the leader's.
func (c *Core) Match(id tier.ReplicaID) tier.Index {
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Serving reports whether the replica leads and has committed an entry of its
// own term, so that its applied state holds all that was ever accepted.
func (c *Core) Serving() bool {
	if c.role != Leader {
		return false
	}
	t, ok := c.log.term(c.commit)
	return ok && t == c.hard.Term
}

// Take returns the effects gathered since the last call.
func (c *Core) Take() Effects {
	out := c.out
	c.out = Effects{}
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
	c.heard = now
	c.timeout = c.Election + time.Duration(c.Rand.Int64N(int64(c.Election)))
}

func (c *Core) setHard(h HardState) {
	c.hard = h
	saved := h
	c.out.Hard = &saved
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Failed: true})
	}
	c.reads = nil
}

func (c *Core) send(m Msg) {
	m.From = c.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// Tick advances the time.
func (c *Core) Tick(now time.Duration) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now-c.heard >= c.timeout && c.members.IsVoter(c.ID) {
		c.campaign(now, PreCandidate)
	}
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.Unsafe.NoCheckQuorum && !c.quorumHeard(now) {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if now-c.beat >= c.Heartbeat {
		c.broadcast(now)
	}
}

func (c *Core) appendOwn(e Entry) tier.Index {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append(e)
	c.out.Entries = append(c.out.Entries, e)
	return e.Index
}

// Persisted tells a leader that its own entries up to i are synced to disk.
func (c *Core) Persisted(i tier.Index) {
	if c.role != Leader {
		return
	}
	if p := c.peers[c.ID]; p != nil && i > p.match && i <= c.log.last() {
		p.match = i
		c.advanceCommit()
	}
}

// Propose appends a command; it returns the entry's index and term.
func (c *Core) Propose(data []byte) (tier.Index, tier.Term, error) {
	if c.role != Leader || c.transfer != "" {
		return 0, 0, tier.ErrNotLeader
	}
	i := c.appendOwn(Entry{Kind: EntryCommand, Data: data})
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

// Read asks for confirmation that this replica still leads; the answer comes as a ReadDone.
func (c *Core) Read(now time.Duration, id uint64) error {
	if !c.Serving() {
		return tier.ErrNotLeader
	}
	c.round++
	c.reads = append(c.reads, read{id: id, index: c.commit, round: c.round})
	c.broadcast(now)
	c.finishReads()
	return nil
}

// Compact tells the core that a snapshot up to i is durable.
func (c *Core) Compact(i tier.Index) {
	if i > c.applied {
		return
	}
	c.snapMem = c.MembersAt(i)
	c.log.compact(i)
}

func (c *Core) broadcast(now time.Duration) {
	c.beat = now
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
	es := c.log.slice(p.next, MaxAppend)
	c.send(Msg{Kind: MsgAppend, To: id, PrevIndex: prev, PrevTerm: t, Entries: es, Commit: c.commit, Round: c.round})
	p.next += tier.Index(len(es))
}

func (c *Core) advanceCommit() {
	ms := make([]tier.Index, 0, len(c.members.Voters))
	for _, id := range c.members.Voters {
		ms = append(ms, c.peers[id].match)
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i] > ms[j] })
	i := ms[c.members.Quorum()-1]
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
	c.out.Committed = append(c.out.Committed, es...)
	c.applied = i
	if c.role == Leader && c.memberIdx <= i && !c.members.IsVoter(c.ID) {
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
	done := rounds[c.members.Quorum()-1]
	n := 0
	for _, r := range c.reads {
		if r.round > done {
			break
		}
		c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Index: r.index})
		n++
	}
	c.reads = c.reads[n:]
}

// TermAt returns the term of the entry at i, or 0 where it is not known.
func (c *Core) TermAt(i tier.Index) tier.Term {
	t, _ := c.log.term(i)
	return t
}

// After returns the entries after i.
func (c *Core) After(i tier.Index) []Entry {
	return c.log.slice(i+1, len(c.log.entries))
}
