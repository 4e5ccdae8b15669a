// Package group simulates one control group in virtual time, with its replicas' disks and a network that can lose
// messages and isolate nodes. Traces and tests use it; the same seed gives the same run.
package group

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Timing of the simulated replicas.
const (
	Heartbeat       = 100 * time.Millisecond
	ElectionTimeout = time.Second
	// Step is the resolution of the virtual time. A message sent in one step is delivered in the next.
	Step = 20 * time.Millisecond
)

// Replica is a replica's core and its simulated disk, which survives a crash.
type Replica struct {
	Core quorum.Core
	// Snap is the snapshot on the disk.
	Snap quorum.Snap
	// Applied lists the entries applied since the replica last started or installed a snapshot.
	Applied []quorum.Entry
	// Up reports whether the replica is running.
	Up bool

	hard    quorum.HardState
	entries []quorum.Entry
	// state is the index of the last entry whose effect the replica's state holds.
	state tier.Index
}

// Conflict is a violation of log safety: two different entries applied at the same index. Replica applied New.
type Conflict struct {
	Replica  tier.ReplicaID
	Old, New quorum.Entry
}

// Gap is a violation of log safety: Replica applied the entry at Index to a state that ends at State.
type Gap struct {
	Replica      tier.ReplicaID
	State, Index tier.Index
}

// Driver runs a simulated group. The exported fields may be set before Start or between calls of Run.
type Driver struct {
	// Rand decides which messages are lost and seeds the replicas' election timeouts.
	Rand *rand.Rand
	// Unsafe disables safety mechanisms in replicas started from now on.
	Unsafe quorum.Unsafe
	// KeepIdentity restarts a replica with a wiped disk under its former identity, in place of a new incarnation.
	KeepIdentity bool
	// NoSync makes a crash lose all log entries on the disk but the first.
	NoSync bool
	// LossRate is the fraction of messages that are lost, 0 to 1.
	LossRate float64
	// Isolated is the set of isolated nodes, which neither send nor receive messages.
	Isolated map[tier.NodeID]bool
	// Batch carries out a replica's effects once for all messages that it gets in a step, as a busy replica does.
	Batch bool
	// EarlyIndex is the set of nodes that label a snapshot like an earlier build: its index covers entries that the same
	// effects commit, its data does not.
	EarlyIndex map[tier.NodeID]bool

	// Now is the virtual time.
	Now time.Duration
	// Replicas holds the current replicas.
	Replicas map[tier.ReplicaID]*Replica
	// History holds the entry applied most recently by any replica at each index.
	History map[tier.Index]quorum.Entry
	// Conflicts and DualLeaderTerms are safety violations: different entries applied at one index, and terms with
	// two leaders.
	Conflicts       []Conflict
	DualLeaderTerms []tier.Term
	// Gaps are entries that were applied to a state without the entries before them.
	Gaps []Gap

	leaders map[tier.Term]tier.ReplicaID
	queue   []quorum.Msg
	wipes   int
}

// Start creates a group of n replicas named c0#0, c1#0, ... The initial membership is the first log entry of c0#0.
func (d *Driver) Start(n int) {
	d.Replicas, d.Isolated = map[tier.ReplicaID]*Replica{}, map[tier.NodeID]bool{}
	d.History, d.leaders = map[tier.Index]quorum.Entry{}, map[tier.Term]tier.ReplicaID{}
	m := quorum.Members{}
	for i := range n {
		m.Voters = append(m.Voters, tier.ReplicaID(fmt.Sprintf("c%d#0", i)))
	}
	for i, id := range m.Voters {
		r := &Replica{}
		if i == 0 {
			r.hard = quorum.HardState{Term: 1}
			r.entries = []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: &m}}
		}
		d.Replicas[id] = r
		d.StartReplica(id)
	}
}

// StartReplica starts a replica from the state on its disk.
func (d *Driver) StartReplica(id tier.ReplicaID) {
	r := d.Replicas[id]
	r.Core = quorum.Core{ID: id, Heartbeat: Heartbeat, Election: ElectionTimeout, Rand: rand.New(rand.NewPCG(d.Rand.Uint64(), 2)), Unsafe: d.Unsafe}
	r.Core.Start(d.Now, r.hard, r.Snap, append([]quorum.Entry(nil), r.entries...))
	r.Applied, r.state, r.Up = nil, stateOf(&r.Snap), true
}

// Crash stops a replica. Its disk is kept, except for what NoSync makes it lose.
func (d *Driver) Crash(id tier.ReplicaID) {
	r := d.Replicas[id]
	r.Up = false
	if d.NoSync {
		r.entries = r.entries[:min(1, len(r.entries))]
	}
}

// Wipe replaces a replica by one with an empty disk, started as a new incarnation unless KeepIdentity is set. It
// returns the ID of the new replica.
func (d *Driver) Wipe(id tier.ReplicaID) tier.ReplicaID {
	delete(d.Replicas, id)
	next := id
	if !d.KeepIdentity {
		d.wipes++
		next = tier.ReplicaID(fmt.Sprintf("%s#%d", id.Node(), d.wipes))
	}
	d.Replicas[next] = &Replica{}
	d.StartReplica(next)
	return next
}

// Compact replaces a replica's log up to its last applied entry with a snapshot and returns the snapshot's index.
func (d *Driver) Compact(id tier.ReplicaID) tier.Index {
	r := d.Replicas[id]
	i := r.Core.Applied()
	r.Snap = r.snapshot(i)
	r.entries = r.Core.EntriesAfter(i)
	r.Core.Compact(i)
	return i
}

// IDs returns the replicas' IDs, sorted.
func (d *Driver) IDs() []tier.ReplicaID {
	out := make([]tier.ReplicaID, 0, len(d.Replicas))
	for id := range d.Replicas {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Leader returns a replica that is serving as leader and is not isolated, or "".
func (d *Driver) Leader() tier.ReplicaID {
	for _, id := range d.IDs() {
		if r := d.Replicas[id]; r.Up && !d.Isolated[id.Node()] && r.Core.Serving() {
			return id
		}
	}
	return ""
}

// Propose proposes data at a replica and returns the entry's index.
func (d *Driver) Propose(id tier.ReplicaID, data string) (tier.Index, error) {
	c := &d.Replicas[id].Core
	i, _, err := c.Propose([]byte(data))
	if err != nil {
		return 0, err
	}
	c.Flush()
	d.HandleEffects(id)
	return i, nil
}

// Run advances the virtual time by span: each step delivers the queued messages, then ticks every replica.
func (d *Driver) Run(span time.Duration) {
	for end := d.Now + span; d.Now < end; d.Now += Step {
		msgs := d.queue
		d.queue = nil
		for _, m := range msgs {
			if !d.isDelivered(&m) {
				continue
			}
			d.Replicas[m.To].Core.Step(d.Now, m)
			if !d.Batch {
				d.HandleEffects(m.To)
			}
		}
		for _, id := range d.IDs() {
			if r := d.Replicas[id]; r.Up {
				r.Core.Tick(d.Now)
				d.HandleEffects(id)
				d.recordLeader(id)
			}
		}
	}
}

func (d *Driver) isDelivered(m *quorum.Msg) bool {
	r := d.Replicas[m.To]
	if r == nil || !r.Up || d.Isolated[m.To.Node()] || d.Isolated[m.From.Node()] {
		return false
	}
	return d.LossRate == 0 || d.Rand.Float64() >= d.LossRate
}

// HandleEffects carries out the effects of a replica's core until there are none: persists, sends and applies.
func (d *Driver) HandleEffects(id tier.ReplicaID) {
	r := d.Replicas[id]
	for {
		e := r.Core.TakeEffects()
		if e.Hard == nil && len(e.Entries)+len(e.Messages)+len(e.Committed) == 0 && e.Install == nil {
			return
		}
		r.persist(&e)
		for _, m := range e.Messages {
			if m.Kind == quorum.MsgSnap {
				m.Snap = d.snapshotToSend(id)
			}
			d.queue = append(d.queue, m)
		}
		for _, n := range e.Committed {
			d.recordApplied(id, n)
			if n.Index != r.state+1 {
				d.Gaps = append(d.Gaps, Gap{id, r.state, n.Index})
			}
			r.state = n.Index
		}
		r.Applied = append(r.Applied, e.Committed...)
	}
}

// snapshot returns a snapshot with the given index. Its data names the end of the state.
func (r *Replica) snapshot(i tier.Index) quorum.Snap {
	return quorum.Snap{
		Index: i, Term: r.Core.TermAt(i), Members: r.Core.MembersAt(i), Exact: true,
		Data: strconv.AppendUint(nil, uint64(r.state), 10),
	}
}

// stateOf returns the index at which the state in a snapshot ends.
func stateOf(s *quorum.Snap) tier.Index {
	if len(s.Data) == 0 {
		return 0
	}
	i, err := strconv.ParseUint(string(s.Data), 10, 64)
	if err != nil {
		// Unreachable: snapshot wrote the data.
		panic(err)
	}
	return tier.Index(i)
}

func (d *Driver) snapshotToSend(id tier.ReplicaID) *quorum.Snap {
	r := d.Replicas[id]
	s := r.snapshot(r.state)
	if d.EarlyIndex[id.Node()] {
		s = r.snapshot(r.Core.Applied())
		s.Exact = false
	}
	return &s
}

// persist writes the durable effects to the simulated disk.
func (r *Replica) persist(e *quorum.Effects) {
	if e.Hard != nil {
		r.hard = *e.Hard
	}
	if e.Install != nil {
		r.Snap, r.entries, r.Applied = *e.Install, nil, nil
		r.state = stateOf(e.Install)
	}
	for _, n := range e.Entries {
		r.entries = append(r.entries[:n.Index-r.Snap.Index-1], n)
	}
	if n := len(e.Entries); n > 0 {
		r.Core.Persisted(e.Entries[n-1].Index)
	}
}

// recordApplied compares an applied entry with the one that any replica applied before at the same index.
func (d *Driver) recordApplied(id tier.ReplicaID, e quorum.Entry) {
	old, ok := d.History[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		d.Conflicts = append(d.Conflicts, Conflict{id, old, e})
	}
	d.History[e.Index] = e
}

func (d *Driver) recordLeader(id tier.ReplicaID) {
	c := &d.Replicas[id].Core
	if c.Role() != quorum.Leader {
		return
	}
	if old, ok := d.leaders[c.Term()]; ok && old != id {
		d.DualLeaderTerms = append(d.DualLeaderTerms, c.Term())
	}
	d.leaders[c.Term()] = id
}
