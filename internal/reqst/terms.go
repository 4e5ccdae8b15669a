package reqst

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

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

// recordStatement records what a server states in the header of an answer. It is called with mu held.
func (d *Forwarder) recordStatement(now time.Duration, id tier.ServerID, h http.Header) {
	if h == nil || d.Names.Limit == "" {
		return
	}
	var st terms.Statement
	st.Limit, st.LimitState = terms.ParseLimit(h.Get(d.Names.Limit))
	if d.terms.Record(now, id, st) {
		event.ServerLimitChanged.Log(d.Log, nil, logrus.Fields{"server": id, "limited": st.LimitState == terms.Stated, "limit": st.Limit})
	}
	if sent, since, due := d.terms.Report(now, id); due {
		event.ServerLimited.Log(d.Log, nil, logrus.Fields{
			"server": id, "limit": st.Limit, "over_ms": (now - since).Milliseconds(),
			"first": sent[terms.First], "hedges": sent[terms.Hedge], "retries": sent[terms.Retry],
		})
	}
}
