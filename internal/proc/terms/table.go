package terms

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// reportInterval is the interval of the reports on the requests to a server with a limit.
const reportInterval = 4 * time.Second

// Purpose is why a sub-request is sent.
type Purpose uint8

// Purposes: the first sub-request of a shard, a hedge, or a retry after a failure.
const (
	First Purpose = iota
	Hedge
	Retry
	purposes
)

// Sent holds numbers of sub-requests by purpose.
type Sent [purposes]int

type server struct {
	limited bool
	limit   Rate
	sent    Sent
	// reportedAt is when sent was last set to zero.
	reportedAt time.Duration
}

// Table holds the statements of the servers.
type Table struct {
	servers map[tier.ServerID]*server
}

// Start clears the table. It must be called before first use.
func (t *Table) Start() { t.servers = map[tier.ServerID]*server{} }

// Forget drops the statements of all servers for which keep returns false.
func (t *Table) Forget(keep func(tier.ServerID) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

// Record records the statement of an answer to this host. It reports whether the server named its first limit or none any more.
func (t *Table) Record(now time.Duration, id tier.ServerID, st Statement) (changed bool) {
	s := t.servers[id]
	if s == nil {
		if st.LimitState != Stated {
			return false
		}
		s = &server{reportedAt: now}
		t.servers[id] = s
	}
	if st.LimitState == Malformed {
		return false
	}
	changed = s.limited != (st.LimitState == Stated)
	s.limited, s.limit = st.LimitState == Stated, st.Limit
	return changed
}

// Limit returns the limit that a server names; ok is false if it names none.
func (t *Table) Limit(id tier.ServerID) (limit Rate, ok bool) {
	s := t.servers[id]
	if s == nil || !s.limited {
		return 0, false
	}
	return s.limit, true
}

// RecordSent counts a sub-request to a server that names a limit, or has named one.
func (t *Table) RecordSent(id tier.ServerID, p Purpose) {
	if s := t.servers[id]; s != nil {
		s.sent[p]++
	}
}

// Report returns the numbers of sub-requests since the last report on a server with a limit, and since when; due is false
// less than reportInterval after it.
func (t *Table) Report(now time.Duration, id tier.ServerID) (sent Sent, since time.Duration, due bool) {
	s := t.servers[id]
	if s == nil || !s.limited || now-s.reportedAt < reportInterval {
		return sent, 0, false
	}
	sent, since = s.sent, s.reportedAt
	s.sent, s.reportedAt = Sent{}, now
	return sent, since, true
}
