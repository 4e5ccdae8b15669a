package trace

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// planMachine replays the execution plan of one query.
type planMachine struct {
	plan    *reqst.Plan
	hedges  int // hedges left in the budget
	retries int // retries left in the budget
}

type planSetup struct {
	Version    tier.IndexVersion `json:"version"`
	Shards     [][]tier.ServerID `json:"shards"`
	HedgeMs    tier.Millis       `json:"hedge_ms"`
	TimeoutMs  tier.Millis       `json:"timeout_ms"`
	DeadlineMs tier.Millis       `json:"deadline_ms"`
	Suspect    bool              `json:"suspect"`
	Hedges     int               `json:"hedges"`
	Retries    int               `json:"retries"`
}

type planEvent struct {
	Start bool       `json:"start"`
	Tick  bool       `json:"tick"`
	Reply *planReply `json:"reply"`
}

type planReply struct {
	Attempt int               `json:"attempt"`
	Shard   tier.Shard        `json:"shard"`
	Server  tier.ServerID     `json:"server"`
	Fate    string            `json:"fate"`
	Reason  tier.Reason       `json:"reason"`
	Version tier.IndexVersion `json:"version"`
	Died    bool              `json:"died"`
	Data    json.RawMessage   `json:"data"`
}

type planObserved struct {
	Sent      []string         `json:"sent"`
	Cancelled []string         `json:"cancelled"`
	Cleared   bool             `json:"cleared"`
	Finished  bool             `json:"finished"`
	Answer    tier.QueryAnswer `json:"answer"`
}

func newPlanMachine(raw json.RawMessage, without string) (machine, error) {
	s := planSetup{Version: 1, DeadlineMs: 1000, TimeoutMs: 500}
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	m := &planMachine{hedges: s.Hedges, retries: s.Retries}
	l := &vers.Layout{Snapshot: tier.Snapshot{Version: s.Version, Shards: tier.Shard(len(s.Shards))}}
	for _, ids := range s.Shards {
		var cs []tier.Candidate
		for _, id := range ids {
			cs = append(cs, tier.Candidate{Server: id})
		}
		l.Shards = append(l.Shards, cs)
	}
	m.plan = &reqst.Plan{
		Layout:  l,
		Options: reqst.PlanOptions{HedgeDelay: s.HedgeMs.Duration(), Timeout: s.TimeoutMs.Duration(), Deadline: s.DeadlineMs.Duration(), Suspect: s.Suspect},
		Select:  selectFirst, Hedge: newHedgeBudget(&m.hedges), Retry: newBudget(&m.retries),
	}
	return m, m.disable(without)
}

func (m *planMachine) disable(without string) error {
	p := m.plan
	switch without {
	case "":
	case "snapshot_check":
		p.Unsafe.AnySnapshot = true
	case "correlation":
		p.Unsafe.AnyReply = true
	case "death_hold":
		p.Unsafe.RetryDeaths = true
	case "hedging":
		p.Options.HedgeDelay = 0
	case "hedge_budget":
		m.hedges = math.MaxInt
	case "retries":
		m.retries = 0
	case "reply_timeout":
		p.Options.Timeout = time.Hour
	case "canary":
		p.Options.Suspect = false
	default:
		return unknownMechanism(without)
	}
	return nil
}

func selectFirst(_ time.Duration, _ tier.Shard, list []tier.Candidate) int {
	if len(list) == 0 {
		return -1
	}
	return 0
}

func newHedgeBudget(n *int) func(time.Duration, int, time.Duration) bool {
	spend := newBudget(n)
	return func(_ time.Duration, shard int, _ time.Duration) bool { return spend(shard) }
}

// newBudget returns a function that takes one unit from n and reports whether any was left.
func newBudget(n *int) func(int) bool {
	return func(int) bool {
		*n--
		return *n >= 0
	}
}

var fates = map[string]conn.Result{"done": conn.ResultDone, "not_run": conn.ResultNotRun, "failed": conn.ResultFailed}

func (m *planMachine) do(at tier.Millis, raw json.RawMessage) (any, error) {
	var e planEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	now := at.Duration()
	var acts []reqst.Action
	switch {
	case e.Start:
		acts = m.plan.Start(now)
	case e.Tick:
		acts = m.plan.Tick(now)
	case e.Reply != nil:
		r := e.Reply
		acts = m.plan.Reply(now, conn.Reply{
			Attempt: r.Attempt, Shard: r.Shard, Server: r.Server, Result: fates[r.Fate], Reason: r.Reason, Died: r.Died, Data: r.Data,
			Snapshot: tier.Snapshot{Version: r.Version, Shards: m.plan.Layout.Snapshot.Shards},
		})
	}
	return m.observe(acts), nil
}

// observe describes the actions: "0:a1" is shard 0 on server a1, followed by
// "hedge" or "solo" if that applies.
func (m *planMachine) observe(acts []reqst.Action) planObserved {
	o := planObserved{Finished: m.plan.Finished(), Answer: m.plan.Answer()}
	for _, a := range acts {
		text := fmt.Sprintf("%d:%s", a.Shard, a.Server)
		switch a.Kind {
		case reqst.ActSend:
			if a.Hedge {
				text += " hedge"
			}
			if a.Solo {
				text += " solo"
			}
			o.Sent = append(o.Sent, text)
		case reqst.ActCancel:
			o.Cancelled = append(o.Cancelled, text)
		case reqst.ActClear:
			o.Cleared = true
		case reqst.ActFinish:
		}
	}
	return o
}
