package load

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Wrongs counts answers that break a promise.
type Wrongs struct {
	Mixed         int64 `json:"mixed_snapshot"`
	FalseCoverage int64 `json:"false_coverage"`
	WrongCaller   int64 `json:"wrong_caller"`
	FalseNotRun   int64 `json:"false_not_run"`
	Doubled       int64 `json:"doubled_writes"`
	Unconfirmed   int64 `json:"done_but_never_ran"`
}

// Sum returns the number of broken promises.
func (w Wrongs) Sum() int64 {
	return w.Mixed + w.FalseCoverage + w.WrongCaller + w.FalseNotRun + w.Doubled + w.Unconfirmed
}

// subAnswer is what a stand-in server answers.
type subAnswer struct {
	Server  tier.ServerID     `json:"server"`
	Version tier.IndexVersion `json:"version"`
	Shard   string            `json:"shard"`
	Echo    uint64            `json:"echo"`
}

// checkQuery compares an answer with what was asked.
func checkQuery(a *tier.QueryAnswer, body []byte) Wrongs {
	var w Wrongs
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
	full := len(a.Missing) == 0
	listed := len(seen) == int(a.Snapshot.Shards)
	if !listed || (a.Outcome == tier.Done) != (full && listed) {
		w.FalseCoverage = 1
	}
	return w
}

func (w *Wrongs) add(o Wrongs) {
	w.Mixed += o.Mixed
	w.FalseCoverage += o.FalseCoverage
	w.WrongCaller += o.WrongCaller
	w.FalseNotRun += o.FalseNotRun
	w.Doubled += o.Doubled
	w.Unconfirmed += o.Unconfirmed
}

// writeLog remembers the last outcome of each write by its content.
type writeLog struct {
	mu   sync.Mutex
	last map[uint64]tier.Outcome
}

func (l *writeLog) note(body []byte, o tier.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.Sum64(body)
	if l.last[h] == tier.Done {
		return
	}
	l.last[h] = o
}

// compare holds the outcomes against what the servers ran.
func (l *writeLog) compare(runs map[uint64]int) Wrongs {
	l.mu.Lock()
	defer l.mu.Unlock()
	var w Wrongs
	for h, o := range l.last {
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
