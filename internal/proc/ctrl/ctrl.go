// Package ctrl drives a control replica: it feeds the decision core of the
// replicated log with messages, proposals and time, keeps its state on disk,
// applies what is committed, and runs the membership hub while it leads.
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
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Timing of the replicated log.
const (
	tickEvery   = 20 * time.Millisecond
	heartbeat   = 100 * time.Millisecond
	election    = 700 * time.Millisecond
	sweepEvery  = 5 * time.Second
	greetEvery  = 500 * time.Millisecond
	snapEvery   = time.Second
	batchLimit  = 512
	queueLength = 4096
	// DefaultCompactAfter is the number of log entries after which a snapshot is made.
	DefaultCompactAfter = 20000
)

// hubGrace is how long a new leader gathers membership before it publishes:
// until every lease that a former leader can have granted is over.
const hubGrace = roster.NodeLease + roster.DriftMargin + election

// Replica is one control replica. Set the exported fields, then call Run.
type Replica struct {
	// Node is the name of the node.
	Node tier.NodeID
	// Folder is the data folder, not yet opened.
	Folder *disk.Folder
	// Peers lists the control hosts of the settings, this one included.
	Peers []conn.Peer
	// Found lets this replica found a cluster when all peers are new as well.
	Found bool
	// Sender carries messages between replicas.
	Sender tier.Sender
	// Greet carries greetings between control hosts.
	Greet tier.Sender
	// Clock gives the time.
	Clock tier.Clock
	// Log takes events.
	Log *logrus.Logger
	// CompactAfter is the number of log entries after which a snapshot is made.
	CompactAfter int
	// Ready is closed, if not nil, once the state has been read from disk.
	Ready chan struct{}
	// Hosts, if not nil, returns the live hosts that can hold a replica; the
	// group then steers its own membership, and greets nobody.
	Hosts func() []quorum.Host
	// Founders found the group together where Hosts is set; see foundByRule.
	Founders []tier.NodeID
	// Tolerance is the number of voters whose loss a steered group must bear.
	Tolerance int
	// NoHub leaves the membership of the fleet to others than the leader.
	NoHub bool
	// RoutesChanged, if not nil, is told of every routing table that is committed.
	RoutesChanged func(store.RoutesDoc)

	core  quorum.Core
	store *store.Store
	hard  quorum.HardState

	msgs      chan quorum.Msg
	proposals chan proposal
	calls     chan func()
	stopped   chan struct{}

	waiters map[tier.Index]waiter
	reads   map[uint64]func(quorum.ReadDone)
	readID  uint64

	greetings map[tier.NodeID]Greeting
	greeted   time.Duration
	swept     time.Duration
	snapped   map[tier.ReplicaID]time.Duration

	hub     *roster.Hub
	opening bool
	subs    map[*Sub]bool
	role    quorum.Role
}

type proposal struct {
	cmd  store.Command
	done chan<- answer
}

type answer struct {
	result store.Result
	err    error
}

type waiter struct {
	term tier.Term
	done chan<- answer
}

// Init makes the channels; it must be called before any other method.
func (r *Replica) Init() {
	r.msgs = make(chan quorum.Msg, queueLength)
	r.proposals = make(chan proposal, queueLength)
	r.calls = make(chan func(), queueLength)
	r.stopped = make(chan struct{})
	r.waiters = map[tier.Index]waiter{}
	r.reads = map[uint64]func(quorum.ReadDone){}
	r.greetings = map[tier.NodeID]Greeting{}
	r.snapped = map[tier.ReplicaID]time.Duration{}
	r.subs = map[*Sub]bool{}
}

// Run reads the state from disk and drives the replica until ctx ends or the
// disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer r.close()
	if err := r.load(); err != nil {
		event.DiskFailed.Log(r.Log, err, nil)
		return err
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		var next func()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.msgs:
			next = func() { r.core.Step(r.Clock.Now(), m) }
		case p := <-r.proposals:
			next = func() { r.propose(p) }
		case f := <-r.calls:
			next = f
		case <-tick.C:
			next = r.tick
		}
		// A process that was stopped and resumed must find out that it no
		// longer leads before it does anything else.
		r.core.Tick(r.Clock.Now())
		r.noteRole()
		next()
		r.drain()
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
	r.core = quorum.Core{ID: id, Heartbeat: heartbeat, Election: election, Rand: rand.New(seed)}
	r.hard = s.Hard
	r.core.Start(r.Clock.Now(), s.Hard, s.Snap, s.Entries)
	event.ReplicaStarted.Log(r.Log, nil, logrus.Fields{"replica": id, "last": r.core.LastIndex(), "term": s.Hard.Term})
	if err := r.foundByRule(); err != nil {
		return err
	}
	r.tellRoutes()
	if r.Ready != nil {
		close(r.Ready)
	}
	return nil
}

func (r *Replica) close() {
	close(r.stopped)
	for s := range r.subs {
		s.end()
	}
	for _, w := range r.waiters {
		w.done <- answer{err: tier.ErrNotLeader}
	}
	for _, f := range r.reads {
		f(quorum.ReadDone{Failed: true})
	}
	_ = r.Folder.Close()
}

// drain takes what else is queued, so that one sync serves many proposals.
func (r *Replica) drain() {
	for range batchLimit {
		select {
		case m := <-r.msgs:
			r.core.Step(r.Clock.Now(), m)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.calls:
			f()
		default:
			r.core.Flush()
			return
		}
	}
	r.core.Flush()
}

func (r *Replica) tick() {
	now := r.Clock.Now()
	if now-r.greeted >= greetEvery {
		r.greeted = now
		if r.Hosts != nil {
			r.steer()
		} else {
			r.greet()
		}
	}
	r.tickLeader(now)
	r.tickHub(now)
}

func (r *Replica) tickLeader(now time.Duration) {
	if !r.core.Serving() || now-r.swept < sweepEvery {
		return
	}
	r.swept = now
	r.propose(proposal{cmd: store.Command{Sweep: &store.Sweep{}}, done: make(chan answer, 1)})
}

func (r *Replica) propose(p proposal) {
	p.cmd.NowMs = time.Now().UnixMilli()
	b, err := frame.Marshal(p.cmd)
	if err != nil {
		p.done <- answer{err: errors.Wrap(err, "encode command")}
		return
	}
	i, term, err := r.core.Propose(b)
	if err != nil {
		p.done <- answer{err: err}
		return
	}
	r.waiters[i] = waiter{term: term, done: p.done}
}

// noteRole logs a change of role and fails what only a leader can finish.
func (r *Replica) noteRole() {
	role := r.core.Role()
	if role == r.role {
		return
	}
	if r.role == quorum.Leader {
		r.deposed()
	}
	r.role = role
	event.RoleChanged.Log(r.Log, nil, logrus.Fields{"role": role.String(), "term": r.core.Term(), "leader": r.core.LeaderID()})
}

func (r *Replica) deposed() {
	for i, w := range r.waiters {
		w.done <- answer{err: tier.ErrNotLeader}
		delete(r.waiters, i)
	}
	r.closeHub()
}

// Deliver passes a message of another replica to the loop.
func (r *Replica) Deliver(b []byte) {
	var m quorum.Msg
	if frame.Unmarshal(b, &m) != nil {
		return
	}
	select {
	case r.msgs <- m:
	case <-r.stopped:
	default:
	}
}
