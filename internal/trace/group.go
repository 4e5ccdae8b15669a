package trace

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum/group"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// groupMachine replays a control group of replicas named c0, c1, ... .
type groupMachine struct{ group.Driver }

type groupSetup struct {
	Replicas int    `json:"replicas"`
	Seed     uint64 `json:"seed"`
}

type groupEvent struct {
	// Propose is a command to propose on the leader, or on the replica named by On.
	Propose string      `json:"propose"`
	On      tier.NodeID `json:"on"`
	// Many is the number of proposals to make, each accepted before the next.
	Many int `json:"many"`
	// Isolate, Heal, Crash, Start and Wipe act on a replica or on the "leader".
	Isolate tier.NodeID `json:"isolate"`
	Heal    tier.NodeID `json:"heal"`
	Crash   tier.NodeID `json:"crash"`
	Start   tier.NodeID `json:"start"`
	Wipe    tier.NodeID `json:"wipe"`
	// Repair performs the leader's repair steps for a wiped replica.
	Repair bool `json:"repair"`
	// CrashAll and StartAll act on every replica.
	CrashAll bool `json:"crash_all"`
	StartAll bool `json:"start_all"`
	// Promote makes the leader try to promote its first learner to voter now.
	Promote bool `json:"promote"`
	// RunMs is how long the group runs after the event.
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
	g := &groupMachine{group.Driver{Rand: rand.New(rand.NewPCG(s.Seed, 1))}}
	switch without {
	case "":
	case "check_quorum":
		g.Unsafe.NoCheckQuorum = true
	case "learners":
		g.Unsafe.EarlyLearner = true
	case "new_identity":
		g.KeepIdentity = true
	case "sync":
		g.NoSync = true
	default:
		return nil, unknownMechanism(without)
	}
	g.Start(s.Replicas)
	return g, nil
}

// replica returns the replica of a node, or the current leader for "leader"; ""
// if there is none.
func (g *groupMachine) replica(n tier.NodeID) tier.ReplicaID {
	if n == "leader" {
		return g.Leader()
	}
	for _, id := range g.IDs() {
		if id.Node() == n {
			return id
		}
	}
	return ""
}

func (g *groupMachine) do(_ tier.Millis, raw json.RawMessage) (any, error) {
	var e groupEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	errText := ""
	if err := g.apply(e); err != nil {
		errText = err.Error()
	}
	g.Run(e.RunMs.Duration())
	return g.observe(errText), nil
}

func (g *groupMachine) apply(e groupEvent) error {
	switch {
	case e.Propose != "":
		return g.propose(e)
	case e.Isolate != "":
		g.Isolated[g.replica(e.Isolate).Node()] = true
	case e.Heal != "":
		delete(g.Isolated, e.Heal)
	case e.Crash != "":
		g.Crash(g.replica(e.Crash))
	case e.Start != "":
		g.StartReplica(g.replica(e.Start))
	case e.Wipe != "":
		g.Wipe(g.replica(e.Wipe))
	case e.Repair:
		g.repair()
	case e.Promote:
		return g.promote()
	}
	return g.applyToAll(e)
}

// applyToAll handles the parts of an event that concern several proposals or all replicas.
func (g *groupMachine) applyToAll(e groupEvent) error {
	for i := range e.Many {
		if err := g.propose(groupEvent{Propose: fmt.Sprintf("change %d", i+1)}); err != nil {
			return err
		}
		g.Run(3 * group.Step)
	}
	for _, id := range g.IDs() {
		if e.CrashAll {
			g.Crash(id)
		}
		if e.StartAll {
			g.StartReplica(id)
		}
	}
	return nil
}

func (g *groupMachine) propose(e groupEvent) error {
	on := e.On
	if on == "" {
		on = "leader"
	}
	id := g.replica(on)
	if id == "" {
		return tier.ErrNotLeader
	}
	_, err := g.Propose(id, e.Propose)
	return err
}

// repair performs the leader's membership changes that replace a wiped replica
// by its new incarnation.
func (g *groupMachine) repair() {
	for range 50 {
		leader := g.replica("leader")
		if leader == "" {
			g.Run(group.Step)
			continue
		}
		c := &g.Replicas[leader].Core
		for _, id := range g.IDs() {
			if next, step := quorum.RepairStep(c.Membership(), id); step != "" {
				_, _ = c.ChangeMembers(g.Now, next)
				break
			}
		}
		g.HandleEffects(leader)
		g.Run(10 * group.Step)
	}
}

func (g *groupMachine) promote() error {
	leader := g.replica("leader")
	c := &g.Replicas[leader].Core
	for _, id := range c.Membership().Learners {
		next, _ := quorum.RepairStep(c.Membership(), id)
		_, err := c.ChangeMembers(g.Now, next)
		g.HandleEffects(leader)
		return err
	}
	return nil
}

func (g *groupMachine) observe(errText string) groupObserved {
	o := groupObserved{Applied: map[tier.NodeID]string{}, Leaders: []tier.NodeID{}, Error: errText}
	for _, e := range g.History {
		if e.Kind == quorum.EntryCommand {
			o.Count++
		}
	}
	for _, c := range g.Conflicts {
		if c.New.Kind == quorum.EntryCommand {
			o.Clashes++
		}
	}
	for _, id := range g.IDs() {
		r := g.Replicas[id]
		if r.Up && r.Core.Role() == quorum.Leader {
			o.Leaders = append(o.Leaders, id.Node())
			o.Voters, o.Learners = len(r.Core.Membership().Voters), len(r.Core.Membership().Learners)
		}
		for _, e := range r.Applied {
			if e.Kind == quorum.EntryCommand {
				o.Applied[id.Node()] = string(e.Data)
			}
		}
	}
	return o
}
