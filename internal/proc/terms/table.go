package terms

import (
	"math"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// reportInterval is the interval of the reports on the requests to a server with a limit.
	reportInterval = 4 * time.Second
	// noticeInterval is the interval at which the fleet is told again of a limit that has not changed.
	noticeInterval = 5 * time.Second
	// limitTTL is how long a limit counts after the last answer that any host has reported: three notices.
	limitTTL = 3 * noticeInterval
	// reorderWindow is the time by which answers of one server may overtake each other. An answer without a limit ends the
	// limit only if none has named it for this time.
	reorderWindow = 500 * time.Millisecond
	// easingTime is the time after the end of a limit in which the rate doubles every second, so that the load does not
	// come back at once. minEasingRate is the least rate from which it starts.
	easingTime         = 4 * time.Second
	minEasingRate Rate = 1
	// minRate is the rate at which a server is still sent requests if its limit is lower: otherwise no answer could raise
	// the limit.
	minRate Rate = 0.25
	// maxRate bounds a limit, far above what one server can do: the counts of permits would lose their precision.
	maxRate Rate = 1e6
	// changeTolerance is the relative change of a limit of which the fleet is told at once.
	changeTolerance = 0.1
	// leavingTTL is how long the word of a server without a known start counts that it leaves.
	leavingTTL = time.Minute
	// leavingWait is the wait that is told to callers if all servers leave: others take their place.
	leavingWait = time.Second
	// maxWait bounds the time until a permit that is told to callers.
	maxWait = time.Minute
)

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

// Notice tells other hosts what a server stated.
type Notice struct {
	Server tier.ServerID `cbor:"1,keyasint"`
	// Born is the start of the server in Unix milliseconds.
	Born int64 `cbor:"2,keyasint"`
	// Limited is set if the server names a limit, Limit. Otherwise its limit has ended.
	Limited bool `cbor:"3,keyasint,omitempty"`
	Limit   Rate `cbor:"4,keyasint,omitempty"`
	// Leaving is set if the server is about to stop.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

type server struct {
	born int64
	// leaving is set once the server has said that it is about to stop, at leavingAt.
	leaving   bool
	leavingAt time.Duration
	// pausedUntil is until when the server wants no requests from this host.
	pausedUntil time.Duration
	limited     bool
	limit       Rate
	// statedAt is when the limit was last named, endedAt when it ended.
	statedAt, endedAt time.Duration
	// toldAt and told are the time and the limit of the last notice sent or received.
	toldAt time.Duration
	told   Rate
	pacer  pacer
	sent   Sent
	// reportedAt is when sent was last set to zero.
	reportedAt time.Duration
}

// Table holds the statements of the servers and decides when this host may send to them. Every host uses its share of a
// limit only, so that the fleet stays within it without a message for each request.
type Table struct {
	// Share returns this host's share of a server's limit. The shares of all hosts add up to one at most.
	Share func(tier.ServerID) float64
	// Phase returns a number from 0 to 1 by which this host's permits for a server are shifted against those of other hosts.
	Phase func(tier.ServerID) float64
	// Born returns the start of a server in Unix milliseconds, as it announced it.
	Born func(tier.ServerID) int64
	// Cold returns what this host may send to a server that is cold; ok is false for a warm one. nil means that none is cold.
	Cold func(now time.Duration, id tier.ServerID) (c Cold, ok bool)

	servers map[tier.ServerID]*server
	// cold holds the permits for servers that are or were cold.
	cold map[tier.ServerID]*coldPacer
}

// Start clears the table. It must be called before first use.
func (t *Table) Start() {
	t.servers = map[tier.ServerID]*server{}
	t.cold = map[tier.ServerID]*coldPacer{}
}

// Forget drops the statements of all servers for which keep returns false.
func (t *Table) Forget(keep func(tier.ServerID) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
	for id := range t.cold {
		if !keep(id) {
			delete(t.cold, id)
		}
	}
}

// find returns the entry of a start of a server, which replaces one of an earlier start. It returns nil for an earlier
// start, and if there is none and create is not set.
func (t *Table) find(now time.Duration, id tier.ServerID, born int64, create bool) *server {
	s := t.servers[id]
	switch {
	case s != nil && s.born == born:
		return s
	case s != nil && s.born > born:
		return nil
	case !create:
		delete(t.servers, id)
		return nil
	}
	s = &server{born: born, reportedAt: now, endedAt: now - easingTime, statedAt: now - limitTTL, toldAt: now - noticeInterval, pacer: pacer{at: now, issued: t.Phase(id)}}
	t.servers[id] = s
	return s
}

// Record records the statement of an answer to this host. It reports whether the server named its first limit, none any
// more, or that it leaves, and whether other hosts are to be told.
func (t *Table) Record(now time.Duration, id tier.ServerID, born int64, st Statement) (changed, tell bool) {
	s := t.find(now, id, born, st.LimitState == Stated || st.Leaving || st.Pause > 0)
	if s == nil {
		return false, false
	}
	if st.Pause > 0 {
		s.pausedUntil = max(s.pausedUntil, now+st.Pause)
	}
	if st.Leaving && !s.leaving {
		s.leave(now)
		return true, true
	}
	switch st.LimitState {
	case Malformed:
		return false, false
	case Absent:
		ended := s.limited && now-s.statedAt > reorderWindow
		if ended {
			s.end(now)
		}
		return ended, ended
	case Stated:
	}
	changed = !s.active(now)
	s.name(now, st.Limit)
	tell = changed || now-s.toldAt >= noticeInterval || math.Abs(float64(st.Limit-s.told)) > changeTolerance*float64(s.told)
	if tell {
		s.toldAt, s.told = now, st.Limit
	}
	return changed, tell
}

// Receive records a notice of another host.
func (t *Table) Receive(now time.Duration, n Notice) {
	s := t.find(now, n.Server, n.Born, n.Limited || n.Leaving)
	switch {
	case s == nil:
	case n.Leaving:
		s.leave(now)
	case n.Limited && !(n.Limit >= 0):
	case n.Limited:
		s.name(now, n.Limit)
		s.toldAt, s.told = now, n.Limit
	case s.limited && now-s.statedAt > reorderWindow:
		s.end(now)
	}
}

// Notice returns what other hosts are told of a server; ok is false if it has stated nothing.
func (t *Table) Notice(id tier.ServerID) (n Notice, ok bool) {
	s := t.servers[id]
	if s == nil {
		return Notice{}, false
	}
	return Notice{Server: id, Born: s.born, Limited: s.limited, Limit: s.limit, Leaving: s.leaving}, true
}

func (s *server) name(now time.Duration, limit Rate) {
	s.limited, s.limit, s.statedAt = true, min(limit, maxRate), now
}

func (s *server) leave(now time.Duration) {
	if !s.leaving {
		s.leaving, s.leavingAt = true, now
	}
}

// left reports whether the server wants no more requests. Only another start of it gets requests again. Starts of a server
// that does not say when it started can't be told apart, so that its word counts for leavingTTL.
func (s *server) left(now time.Duration) bool {
	return s.leaving && (s.born != 0 || now-s.leavingAt < leavingTTL)
}

func (s *server) end(now time.Duration) { s.limited, s.endedAt = false, now }

// active reports whether a limit counts.
func (s *server) active(now time.Duration) bool { return s.limited && now-s.statedAt < limitTTL }

// rate returns the rate at which all hosts together may send to the server; limited is false if there is no bound.
func (s *server) rate(now time.Duration) (rate Rate, limited bool) {
	if s.limited && !s.active(now) {
		s.end(s.statedAt + limitTTL)
	}
	if s.limited {
		return max(s.limit, minRate), true
	}
	eased := now - s.endedAt
	if eased >= easingTime {
		return 0, false
	}
	return max(s.limit, minEasingRate) * Rate(math.Exp2(eased.Seconds())), true
}

// Allowed reports whether this host may send a request to a server now, and if not, when it may.
func (t *Table) Allowed(now time.Duration, id tier.ServerID) (ok bool, next time.Duration) {
	ok, next = t.allowedByStatements(now, id)
	next = max(next, t.allowedCold(now, id))
	return ok && next <= now, next
}

func (t *Table) allowedByStatements(now time.Duration, id tier.ServerID) (ok bool, next time.Duration) {
	s := t.servers[id]
	if s == nil || s.born < t.Born(id) {
		return true, now
	}
	if s.left(now) {
		return false, now + leavingWait
	}
	if now < s.pausedUntil {
		return false, min(s.pausedUntil, now+maxWait)
	}
	rate, limited := s.rate(now)
	if !limited {
		return true, now
	}
	own := rate * Rate(t.Share(id))
	s.pacer.advance(now, own)
	next = s.pacer.next(now, own)
	return next <= now, next
}

// Take uses a permit for a request to a server.
func (t *Table) Take(now time.Duration, id tier.ServerID) {
	t.takeCold(now, id)
	s := t.servers[id]
	if s == nil {
		return
	}
	if _, limited := s.rate(now); limited {
		s.pacer.used++
	}
}

// RecordSent counts a sub-request to a server for its report.
func (t *Table) RecordSent(id tier.ServerID, p Purpose) {
	if s := t.servers[id]; s != nil {
		s.sent[p]++
	}
}

// Limited returns the number of servers with a limit.
func (t *Table) Limited(now time.Duration) (n int) {
	for _, s := range t.servers {
		if s.active(now) {
			n++
		}
	}
	return n
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
