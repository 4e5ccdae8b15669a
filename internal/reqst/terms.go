package reqst

import (
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// startTerms initializes the table of what servers state, which the choice of servers consults.
func (d *Forwarder) startTerms() {
	d.terms = terms.Table{Share: d.LimitShare, Phase: d.permitPhase, Born: d.born}
	if d.terms.Share == nil {
		d.terms.Share = func(tier.ServerID) float64 { return 1 }
	}
	if d.Selection != nil {
		d.terms.Cold = d.Selection.Cold
	}
	d.terms.Start()
	d.Board.Allowed = func(now time.Duration, id tier.ServerID) bool {
		ok, _ := d.terms.Allowed(now, id)
		return ok
	}
}

// permitPhase spreads the permits of the nodes for one server over time.
func (d *Forwarder) permitPhase(id tier.ServerID) float64 {
	return float64(xxhash.Sum64String(string(d.Self)+"/"+string(id))) / math.MaxUint64
}

func (d *Forwarder) born(id tier.ServerID) int64 {
	if direct := d.Directory.Direct(id); direct != nil {
		return direct.Born
	}
	return 0
}

// nextPermit returns when the first of the servers accepts the next request. It is called with mu held.
func (d *Forwarder) nextPermit(now time.Duration, list []tier.Candidate) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, c := range list {
		_, at := d.terms.Allowed(now, c.Server)
		first = min(first, at)
	}
	return first
}

// purpose returns why a sub-request is sent.
func purpose(a Action) terms.Purpose {
	switch {
	case a.Hedge:
		return terms.Hedge
	case a.Repeat:
		return terms.Retry
	}
	return terms.First
}

// statement returns what a server states in an answer.
func (d *Forwarder) statement(status int, h http.Header) terms.Statement {
	st := terms.Statement{Leaving: terms.ParseLeaving(h.Get(d.Names.Leaving))}
	st.Limit, st.LimitState = terms.ParseLimit(h.Get(d.Names.Limit))
	if status == http.StatusServiceUnavailable {
		st.Pause = terms.ParsePause(h.Get("Retry-After"))
	}
	return st
}

// recordStatement records what a server states in an answer. It is called with mu held.
func (d *Forwarder) recordStatement(now time.Duration, id tier.ServerID, born int64, status int, h http.Header) {
	if h == nil {
		return
	}
	st := d.statement(status, h)
	changed, tell := d.terms.Record(now, id, born, st)
	switch {
	case changed && st.Leaving:
		event.ServerLeaving.Log(d.Log, nil, logrus.Fields{"server": id})
	case changed:
		event.ServerLimitChanged.Log(d.Log, nil, logrus.Fields{"server": id, "limited": st.LimitState == terms.Stated, "limit": st.Limit})
	}
	if n, ok := d.terms.Notice(id); ok && tell && d.Notify != nil {
		d.Notify(n)
	}
	if sent, since, due := d.terms.Report(now, id); due {
		event.ServerLimited.Log(d.Log, nil, logrus.Fields{
			"server": id, "limit": st.Limit, "over_ms": (now - since).Milliseconds(),
			"first": sent[terms.First], "hedges": sent[terms.Hedge], "retries": sent[terms.Retry],
		})
	}
}

// ReceiveNotice records what a server stated to another node.
func (d *Forwarder) ReceiveNotice(n terms.Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.terms.Receive(d.Clock.Now(), n)
}

// LimitedServers returns the number of servers that name a limit.
func (d *Forwarder) LimitedServers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.terms.Limited(d.Clock.Now())
}
