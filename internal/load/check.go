package load

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Violations counts answers that break a guarantee of the query tier, by kind.
type Violations struct {
	Mixed         int64 `json:"mixed_snapshot"`
	FalseCoverage int64 `json:"false_coverage"`
	WrongCaller   int64 `json:"wrong_caller"`
	FalseNotRun   int64 `json:"false_not_run"`
	Doubled       int64 `json:"doubled_writes"`
	Unconfirmed   int64 `json:"done_but_never_ran"`
	// OverLimit counts requests beyond the limit that a server named.
	OverLimit int64 `json:"over_limit"`
}

// Sum returns the total number of violations.
func (w Violations) Sum() int64 {
	return w.Mixed + w.FalseCoverage + w.WrongCaller + w.FalseNotRun + w.Doubled + w.Unconfirmed + w.OverLimit
}

// subAnswer is the body of a stand-in server's answer to a search.
type subAnswer struct {
	Server  tier.ServerID     `json:"server"`
	Version tier.IndexVersion `json:"version"`
	Shard   string            `json:"shard"`
	Echo    uint64            `json:"echo"`
}

// checkQuery checks an answer against the query body that was sent: every shard is listed once, as answered or as
// missing, and every part belongs to this query, this snapshot and its shard.
func checkQuery(a *tier.QueryAnswer, body []byte) Violations {
	var w Violations
	if a.Outcome == tier.NotRun {
		if len(a.Shards) > 0 {
			w.FalseNotRun = 1
		}
		return w
	}
	echo := xxhash.Sum64(body)
	seen := map[tier.Shard]bool{}
	for _, s := range a.Shards {
		var d subAnswer
		if json.Unmarshal(s.Data, &d) != nil || seen[s.Shard] {
			w.FalseCoverage = 1
			continue
		}
		seen[s.Shard] = true
		if d.Echo != echo {
			w.WrongCaller = 1
		}
		if d.Version != a.Snapshot.Version {
			w.Mixed = 1
		}
		if d.Shard != fmt.Sprintf("%d/%d", s.Shard, a.Snapshot.Shards) {
			w.FalseCoverage = 1
		}
	}
	for _, m := range a.Missing {
		if seen[m.Shard] {
			w.FalseCoverage = 1
		}
		seen[m.Shard] = true
	}
	complete := len(a.Missing) == 0
	allListed := len(seen) == int(a.Snapshot.Shards)
	if !allListed || (a.Outcome == tier.Done) != (complete && allListed) {
		w.FalseCoverage = 1
	}
	return w
}

func (w *Violations) add(o Violations) {
	w.Mixed += o.Mixed
	w.FalseCoverage += o.FalseCoverage
	w.WrongCaller += o.WrongCaller
	w.FalseNotRun += o.FalseNotRun
	w.Doubled += o.Doubled
	w.OverLimit += o.OverLimit
	w.Unconfirmed += o.Unconfirmed
}

// writeLog keeps the last outcome of each write by the hash of its body. Done is final.
type writeLog struct {
	mu       sync.Mutex
	outcomes map[uint64]tier.Outcome
}

func (l *writeLog) record(body []byte, o tier.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.Sum64(body)
	if l.outcomes[h] == tier.Done {
		return
	}
	l.outcomes[h] = o
}

// check compares the outcomes with how often the servers ran each write.
func (l *writeLog) check(runs map[uint64]int) Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	var w Violations
	for h, o := range l.outcomes {
		switch n := runs[h]; {
		case o == tier.NotRun && n > 0:
			w.FalseNotRun++
		case o == tier.Done && n == 0:
			w.Unconfirmed++
		}
		if runs[h] > 1 {
			w.Doubled++
		}
	}
	return w
}
