package trace

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	groupBeat     = 100 * time.Millisecond
	groupElection = time.Second
	groupStep     = 20 * time.Millisecond
)

// member is a replica with its disk, which outlives a crash.
type member struct {
	core    quorum.Core
	hard    quorum.HardState
	entries []quorum.Entry
	applied []string
	up      bool
}

// groupMachine replays a control group of replicas named c0, c1, ... .
type groupMachine struct {
	now     time.Duration
	rand    *rand.Rand
	all     map[tier.ReplicaID]*member
	queue   []quorum.Msg
	cut     map[tier.NodeID]bool
	wiped   int
	history map[tier.Index]string
	clash   int

	keepIdentity bool
	noSync       bool
	unsafe       quorum.Unsafe
}

type groupSetup struct {
	Replicas int    `json:"replicas"`
	Seed     uint64 `json:"seed"`
}

type groupEvent struct {
	// Propose proposes on the leader, or on the replica named by On.
	Propose string      `json:"propose"`
	On      tier.NodeID `json:"on"`
	// Many makes that many proposals, each accepted before the next.
	Many int `json:"many"`
	// Isolate, Heal, Crash, Start and Wipe act on a replica or on the "leader".
	Isolate tier.NodeID `json:"isolate"`
	Heal    tier.NodeID `json:"heal"`
	Crash   tier.NodeID `json:"crash"`
	Start   tier.NodeID `json:"start"`
	Wipe    tier.NodeID `json:"wipe"`
	// Repair takes the leader's steps for the wiped replica.
	Repair bool `json:"repair"`
	// CrashAll and StartAll act on every replica.
	CrashAll bool `json:"crash_all"`
	StartAll bool `json:"start_all"`
	// Promote asks the leader to count the learners as voters now.
	Promote bool `json:"promote"`
	// RunMs lets time pass.
	RunMs tier.Millis `json:"run_ms"`
}

type groupObserved struct {
	Leaders  []tier.NodeID          `json:"leaders"`
	Applied  map[tier.NodeID]string `json:"last_applied"`
	Count    int                    `json:"accepted"`
	Clashes  int                    `json:"clashes"`
	Voters   int                    `json:"voters"`
	Learners int                    `json:"learners"`
	Error    string                 `json:"error"`
}

func newGroupMachine(raw json.RawMessage, without string) (machine, error) {
	s := groupSetup{Replicas: 3, Seed: 1}
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	g := &groupMachine{rand: rand.New(rand.NewPCG(s.Seed, 1)), all: map[tier.ReplicaID]*member{}, cut: map[tier.NodeID]bool{}, history: map[tier.Index]string{}}
	switch without {
	case "":
	case "check_quorum":
		g.unsafe.NoCheckQuorum = true
	case "learners":
		g.unsafe.EarlyLearner = true
	case "new_identity":
		g.keepIdentity = true
	case "sync":
		g.noSync = true
	default:
		return nil, unknown(without)
	}
	m := quorum.Members{}
	for i := range s.Replicas {
		m.Voters = append(m.Voters, tier.ReplicaID(fmt.Sprintf("c%d#0", i)))
	}
	for i, id := range m.Voters {
		g.all[id] = &member{}
		if i == 0 {
			g.all[id].hard = quorum.HardState{Term: 1}
			g.all[id].entries = []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: &m}}
		}
		g.start(id)
	}
	return g, nil
}

func (g *groupMachine) start(id tier.ReplicaID) {
	r := g.all[id]
	r.core = quorum.Core{ID: id, Heartbeat: groupBeat, Election: groupElection, Rand: rand.New(rand.NewPCG(g.rand.Uint64(), 2)), Unsafe: g.unsafe}
	r.core.Start(g.now, r.hard, quorum.Snap{}, append([]quorum.Entry(nil), r.entries...))
	r.applied = nil
	r.up = true
}

func (g *groupMachine) ids() []tier.ReplicaID {
	var out []tier.ReplicaID
	for id := range g.all {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// named returns the replica of a node, or the present leader for "leader".
func (g *groupMachine) named(n tier.NodeID) tier.ReplicaID {
	for _, id := range g.ids() {
		r := g.all[id]
		leads := r.up && !g.cut[id.Node()] && r.core.Serving()
		if id.Node() == n || (n == "leader" && leads) {
			return id
		}
	}
	return ""
}

// drive persists, sends and applies what a core asks for.
func (g *groupMachine) drive(id tier.ReplicaID) {
	r := g.all[id]
	for {
		e := r.core.Take()
		if e.Hard == nil && len(e.Entries)+len(e.Messages)+len(e.Committed) == 0 {
			return
		}
		if e.Hard != nil {
			r.hard = *e.Hard
		}
		for _, n := range e.Entries {
			r.entries = append(r.entries[:n.Index-1], n)
		}
		if n := len(e.Entries); n > 0 {
			r.core.Persisted(e.Entries[n-1].Index)
		}
		g.queue = append(g.queue, e.Messages...)
		for _, n := range e.Committed {
			g.apply(r, n)
		}
	}
}

// apply notes an accepted entry, and a clash where another one was accepted at its index.
func (g *groupMachine) apply(r *member, e quorum.Entry) {
	if e.Kind != quorum.EntryCommand {
		return
	}
	if old, ok := g.history[e.Index]; ok && old != string(e.Data) {
		g.clash++
	}
	g.history[e.Index] = string(e.Data)
	r.applied = append(r.applied, string(e.Data))
}

func (g *groupMachine) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += groupStep {
		msgs := g.queue
		g.queue = nil
		for _, m := range msgs {
			r := g.all[m.To]
			if r != nil && r.up && !g.cut[m.To.Node()] && !g.cut[m.From.Node()] {
				r.core.Step(g.now, m)
				g.drive(m.To)
			}
		}
		for _, id := range g.ids() {
			if r := g.all[id]; r.up {
				r.core.Tick(g.now)
				g.drive(id)
			}
		}
	}
}

func (g *groupMachine) do(_ tier.Millis, raw json.RawMessage) (any, error) {
	var e groupEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	text := ""
	if err := g.event(e); err != nil {
		text = err.Error()
	}
	g.run(e.RunMs.Duration())
	return g.observe(text), nil
}

func (g *groupMachine) event(e groupEvent) error {
	switch {
	case e.Propose != "":
		return g.propose(e)
	case e.Isolate != "":
		g.cut[g.named(e.Isolate).Node()] = true
	case e.Heal != "":
		delete(g.cut, e.Heal)
	case e.Crash != "":
		g.crash(g.named(e.Crash))
	case e.Start != "":
		g.start(g.named(e.Start))
	case e.Wipe != "":
		g.wipe(g.named(e.Wipe))
	case e.Repair:
		g.repair()
	case e.Promote:
		return g.promote()
	}
	return g.eventAll(e)
}

func (g *groupMachine) eventAll(e groupEvent) error {
	for i := range e.Many {
		if err := g.propose(groupEvent{Propose: fmt.Sprintf("change %d", i+1)}); err != nil {
			return err
		}
		g.run(3 * groupStep)
	}
	for _, id := range g.ids() {
		if e.CrashAll {
			g.crash(id)
		}
		if e.StartAll {
			g.start(id)
		}
	}
	return nil
}

// crash stops a replica; without syncing its disk keeps nothing after its first entry.
func (g *groupMachine) crash(id tier.ReplicaID) {
	r := g.all[id]
	r.up = false
	if g.noSync {
		r.entries = r.entries[:min(1, len(r.entries))]
	}
}

func (g *groupMachine) propose(e groupEvent) error {
	on := e.On
	if on == "" {
		on = "leader"
	}
	id := g.named(on)
	if id == "" {
		return tier.ErrNotLeader
	}
	c := &g.all[id].core
	if _, _, err := c.Propose([]byte(e.Propose)); err != nil {
		return err
	}
	c.Flush()
	g.drive(id)
	return nil
}

// wipe empties a replica's disk: a new incarnation starts on it, or, without
// new identities, the old name with nothing behind it.
func (g *groupMachine) wipe(id tier.ReplicaID) {
	delete(g.all, id)
	next := id
	if !g.keepIdentity {
		g.wiped++
		next = tier.ReplicaID(fmt.Sprintf("%s#%d", id.Node(), g.wiped))
	}
	g.all[next] = &member{}
	g.start(next)
}

// repair takes the steps that a leader takes for new incarnations.
func (g *groupMachine) repair() {
	for range 50 {
		lead := g.named("leader")
		if lead == "" {
			g.run(groupStep)
			continue
		}
		c := &g.all[lead].core
		for _, id := range g.ids() {
			if next, step := quorum.RepairStep(c.Membership(), id); step != "" {
				_, _ = c.ChangeMembers(g.now, next)
				break
			}
		}
		g.drive(lead)
		g.run(10 * groupStep)
	}
}

func (g *groupMachine) promote() error {
	lead := g.named("leader")
	c := &g.all[lead].core
	for _, id := range c.Membership().Learners {
		next, _ := quorum.RepairStep(c.Membership(), id)
		_, err := c.ChangeMembers(g.now, next)
		g.drive(lead)
		return err
	}
	return nil
}

func (g *groupMachine) observe(text string) groupObserved {
	o := groupObserved{Applied: map[tier.NodeID]string{}, Count: len(g.history), Clashes: g.clash, Leaders: []tier.NodeID{}, Error: text}
	for _, id := range g.ids() {
		r := g.all[id]
		if r.up && r.core.Role() == quorum.Leader {
			o.Leaders = append(o.Leaders, id.Node())
			o.Voters, o.Learners = len(r.core.Membership().Voters), len(r.core.Membership().Learners)
		}
		if n := len(r.applied); n > 0 {
			o.Applied[id.Node()] = r.applied[n-1]
		}
	}
	return o
}
