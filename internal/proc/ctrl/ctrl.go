// Package ctrl runs a control replica: its event loop passes messages, proposals and clock ticks to the consensus core,
// writes the log to disk, applies committed entries to the store, and runs the membership hub while the replica leads.
package ctrl

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Intervals and limits of the event loop.
const (
	tickInterval         = 20 * time.Millisecond
	heartbeatInterval    = 100 * time.Millisecond
	electionTimeout      = 700 * time.Millisecond
	sweepInterval        = 5 * time.Second
	greetInterval        = 500 * time.Millisecond
	snapshotSendInterval = time.Second
	maxBatch             = 512
	queueLength          = 4096
	// DefaultCompactAfter is the number of log entries after which a snapshot is made.
	DefaultCompactAfter = 20000
)

// hubGracePeriod is how long a new leader collects membership reports before it publishes the membership: until every
// lease that a former leader can have granted has expired.
const hubGracePeriod = roster.NodeLease + roster.DriftMargin + electionTimeout

// Replica is one control replica. Set the exported fields, then call Init and Run.
type Replica struct {
	// Node is the name of the node.
	Node tier.NodeID
	// Folder is the data folder. Run opens it.
	Folder *disk.Folder
	// Peers lists the control hosts from the settings, including this one.
	Peers []conn.Peer
	// Bootstrap allows this replica to bootstrap a new cluster if no peer holds state either.
	Bootstrap bool
	// Sender carries messages between replicas.
	Sender tier.Sender
	// Greet carries greetings between control hosts; see Greeting.
	Greet tier.Sender
	// Clock is the time source.
	Clock tier.Clock
	// Log receives events.
	Log *logrus.Logger
	// CompactAfter is the number of log entries after which a snapshot is made.
	CompactAfter int
	// Ready is closed, if not nil, once the state has been read from disk.
	Ready chan struct{}
	// Hosts, if not nil, returns the live hosts that can run a replica. The leader then adjusts the group's members
	// automatically, and no greetings are sent.
	Hosts func() []quorum.Host
	// InitialVoters are the initial voters of a new group if Hosts is set; see bootstrapFromFounders.
	InitialVoters []tier.NodeID
	// Tolerance is the number of voter failures that the group must tolerate if Hosts is set.
	Tolerance int
	// NoHub disables the membership hub; the membership of the fleet is then not managed by the leader.
	NoHub bool
	// RoutesChanged, if not nil, is called with each newly committed routing table, and with the current one after
	// the state has been read from disk or from a snapshot.
	RoutesChanged func(store.RoutesDoc)
	// MembersChanged, if not nil, is called with each new membership in the log, and with the current one after the state has
	// been read from disk. It must not block.
	MembersChanged func(Membership)
	// EvacuationsChanged, if not nil, is called likewise with the set of evacuated zones.
	EvacuationsChanged func(evac.Set)

	core  quorum.Core
	store *store.Store
	// applied is the index of the last entry whose effect store holds.
	applied tier.Index
	hard    quorum.HardState

	messages  chan quorum.Msg
	proposals chan proposal
	loopCalls chan func()
	stopped   chan struct{}

	pending      map[tier.Index]pendingProposal
	pendingReads map[uint64]func(quorum.ReadDone)
	lastReadID   uint64

	greetings      map[tier.NodeID]Greeting
	lastGreeting   time.Duration
	lastSweep      time.Duration
	snapshotSentAt map[tier.ReplicaID]time.Duration

	hub        *roster.Hub
	hubOpening bool
	subs       map[*Sub]bool
	role       quorum.Role

	// bootstrapped is set if this replica created the group since it was opened.
	bootstrapped bool
	// notifiedIndex and notifiedTerm are those of the membership that was reported last, if one was (notified).
	notified      bool
	notifiedIndex tier.Index
	notifiedTerm  tier.Term
}

type proposal struct {
	cmd  store.Command
	done chan<- proposalResult
}

type proposalResult struct {
	result store.Result
	err    error
}

type pendingProposal struct {
	term tier.Term
	done chan<- proposalResult
}

// Init creates the channels and maps; it must be called before any other method.
func (r *Replica) Init() {
	r.messages = make(chan quorum.Msg, queueLength)
	r.proposals = make(chan proposal, queueLength)
	r.loopCalls = make(chan func(), queueLength)
	r.stopped = make(chan struct{})
	r.pending = map[tier.Index]pendingProposal{}
	r.pendingReads = map[uint64]func(quorum.ReadDone){}
	r.greetings = map[tier.NodeID]Greeting{}
	r.snapshotSentAt = map[tier.ReplicaID]time.Duration{}
	r.subs = map[*Sub]bool{}
}

// Run reads the state from disk and runs the event loop until ctx is done or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer r.close()
	if err := r.load(); err != nil {
		event.DiskFailed.Log(r.Log, err, nil)
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var next func()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.messages:
			next = func() { r.step(m) }
		case p := <-r.proposals:
			next = func() { r.propose(p) }
		case f := <-r.loopCalls:
			next = f
		case <-tick.C:
			next = r.tick
		}
		// A process that was suspended and resumed must notice that it is no longer the leader before it does
		// anything else.
		r.core.Tick(r.Clock.Now())
		r.updateRole()
		next()
		r.processQueued()
		if err := r.process(); err != nil {
			event.DiskFailed.Log(r.Log, err, nil)
			return err
		}
	}
}

func (r *Replica) load() error {
	s, err := r.Folder.Open()
	if err != nil {
		return err
	}
	r.store = store.New()
	if s.Snap.Index > 0 {
		if r.store, err = store.Load(s.Snap.Data); err != nil {
			return tier.At("load snapshot", r.Folder.Path, err)
		}
	}
	if r.CompactAfter == 0 {
		r.CompactAfter = DefaultCompactAfter
	}
	id := r.Folder.ID()
	seed := rand.NewPCG(uint64(time.Now().UnixNano()), uint64(len(id)))
	r.core = quorum.Core{ID: id, Heartbeat: heartbeatInterval, Election: electionTimeout, Rand: rand.New(seed)}
	r.hard = s.Hard
	r.core.Start(r.Clock.Now(), s.Hard, s.Snap, s.Entries)
	event.ReplicaStarted.Log(r.Log, nil, logrus.Fields{"replica": id, "last": r.core.LastIndex(), "term": s.Hard.Term})
	if err := r.bootstrapFromFounders(); err != nil {
		return err
	}
	r.notifyRoutes()
	r.notifyMembers()
	r.notifyEvacuations()
	if r.Ready != nil {
		close(r.Ready)
	}
	return nil
}

func (r *Replica) close() {
	close(r.stopped)
	for s := range r.subs {
		s.close()
	}
	for _, w := range r.pending {
		w.done <- proposalResult{err: tier.ErrNotLeader}
	}
	for _, f := range r.pendingReads {
		f(quorum.ReadDone{Failed: true})
	}
	_ = r.Folder.Close()
}

// processQueued handles up to maxBatch more queued inputs, so that many proposals share one disk sync.
func (r *Replica) processQueued() {
	for range maxBatch {
		select {
		case m := <-r.messages:
			r.step(m)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.loopCalls:
			f()
		default:
			r.core.Flush()
			return
		}
	}
	r.core.Flush()
}

func (r *Replica) step(m quorum.Msg) {
	r.core.Step(r.Clock.Now(), m)
	if s := m.Snap; s != nil && !s.Exact && m.To == r.core.ID && r.core.Applied() < s.Index {
		event.SnapshotUnverified.Log(r.Log, nil, logrus.Fields{"peer": m.From, "index": s.Index})
	}
}

func (r *Replica) tick() {
	now := r.Clock.Now()
	if now-r.lastGreeting >= greetInterval {
		r.lastGreeting = now
		if r.Hosts != nil {
			r.adjustMembers()
		} else {
			r.greet()
		}
	}
	r.maybeSweep(now)
	r.tickHub(now)
}

func (r *Replica) maybeSweep(now time.Duration) {
	if !r.core.Serving() || now-r.lastSweep < sweepInterval {
		return
	}
	r.lastSweep = now
	r.propose(proposal{cmd: store.Command{Sweep: &store.Sweep{}}, done: make(chan proposalResult, 1)})
}

func (r *Replica) propose(p proposal) {
	p.cmd.NowMs = time.Now().UnixMilli()
	b, err := frame.Marshal(p.cmd)
	if err != nil {
		p.done <- proposalResult{err: errors.Wrap(err, "encode command")}
		return
	}
	i, term, err := r.core.Propose(b)
	if err != nil {
		p.done <- proposalResult{err: err}
		return
	}
	r.pending[i] = pendingProposal{term: term, done: p.done}
}

// updateRole logs a change of role. If the replica is no longer the leader, it fails the pending proposals and closes
// the hub.
func (r *Replica) updateRole() {
	role := r.core.Role()
	if role == r.role {
		return
	}
	if r.role == quorum.Leader {
		r.stepDown()
	}
	r.role = role
	event.RoleChanged.Log(r.Log, nil, logrus.Fields{"role": role.String(), "term": r.core.Term(), "leader": r.core.LeaderID()})
}

func (r *Replica) stepDown() {
	for i, w := range r.pending {
		w.done <- proposalResult{err: tier.ErrNotLeader}
		delete(r.pending, i)
	}
	r.closeHub()
}

// Deliver queues an encoded message from another replica. The message is dropped if the queue is full.
func (r *Replica) Deliver(b []byte) {
	var m quorum.Msg
	if frame.Unmarshal(b, &m) != nil {
		return
	}
	select {
	case r.messages <- m:
	case <-r.stopped:
	default:
	}
}
