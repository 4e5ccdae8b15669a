// Package proof decides when a host holds a valid currency proof: a statement of the control group that a version of the
// routing table was the newest at some moment. It tells whom to ask next and when, and dates what peers answer. It does no
// I/O: its inputs are events and times, its outputs questions to peers. It is not safe for concurrent use.
package proof

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// lifetimeShare is the lifetime of a proof as a share of the time in which a revocation must hold. The rest covers clocks
	// that run at different speeds, 0.1 % at most, and a host that is not scheduled for some time.
	lifetimeShare = 0.8
	// leaderShare, replicaShare and hostShare are the intervals of renewal as shares of the lifetime. A proof that was lent
	// over three hops is then at most 0.55 lifetimes old before it is renewed. The rest is for lost answers, and for a leader
	// change, which takes 0.7 to 1.4 s.
	leaderShare  = 0.05
	replicaShare = 0.1
	hostShare    = 0.2
	// minJitter is the smallest factor by which an interval is shortened at random, so that hosts don't ask in step.
	minJitter = 0.75
	// replicaFresh and hostFresh are the greatest ages, as shares of the lifetime, of a proof that ends the search for a
	// newer one.
	replicaFresh = 0.15
	hostFresh    = 0.4
	// minInterval bounds the rate of renewals with a very short lifetime.
	minInterval = 20 * time.Millisecond
	// AskTimeout is how long a peer may leave a question unanswered before another one is asked.
	AskTimeout = 100 * time.Millisecond
	// quickAsks is the number of questions of a host without a replica at intervals of AskTimeout. After that, while nobody has
	// a newer proof, the interval is slowShare of the lifetime, so that a fleet without a leader does not keep its hosts busy.
	quickAsks = 4
	slowShare = 0.05
	// maxSlowAsk bounds that interval.
	maxSlowAsk = time.Second
)

// Lifetime returns the lifetime of proofs if a revocation must hold after limit.
func Lifetime(limit time.Duration) time.Duration {
	return time.Duration(lifetimeShare * float64(limit))
}

// Ask is a question to a peer at a time. If To is the host itself, its control replica is to confirm that it leads.
type Ask struct {
	To tier.NodeID
	At time.Duration
}

// Answer is what a peer answered. If Known is set, no table newer than Version had been acknowledged when the question was
// received, less Age. Leader is the leader that the host's own replica knows if it does not lead itself.
type Answer struct {
	Known   bool
	Version vers.RoutesVersion
	Age     time.Duration
	Leader  tier.NodeID
}

// Sources are the peers that a host may ask: the preferred one first. Replica is set on a host with a control replica,
// which prefers the leader to all others.
type Sources struct {
	Replica bool
	Peers   []tier.NodeID
}

// Holder holds the currency proof of one host. Set the exported fields before the first call.
type Holder struct {
	Self     tier.NodeID
	Lifetime time.Duration
	Rand     *rand.Rand

	// stated is the statement with the latest date, which may be about a newer table than this host has.
	stated statement
	// proven is the latest date of a statement about a version that this host's table had reached.
	proven  time.Duration
	version vers.RoutesVersion

	// leader is the leader as far as this host's replica has told; "" means that the replica is to be asked.
	leader tier.NodeID
	// leads is set if the last proof was confirmed by this host's own replica, isReplica if the host has one.
	leads     bool
	isReplica bool
	// lastGood is the peer that answered with a fresh proof last.
	lastGood tier.NodeID

	search search
	// nextSearch is when the next search for a proof begins.
	nextSearch time.Duration
	// rotor counts the peers that were asked besides the preferred one.
	rotor int
}

// statement says that no table newer than version had been acknowledged at date, a time of this host's clock.
type statement struct {
	known   bool
	version vers.RoutesVersion
	date    time.Duration
}

// search is a series of questions that ends when the host has a fresh proof.
type search struct {
	open    bool
	asks    int
	lastAsk time.Duration
	// redirect is the leader that the host's own replica named, to be asked at once.
	redirect tier.NodeID
}

// never is a date before that of any proof.
const never = -1 << 62

// Start initializes the holder without a proof.
func (h *Holder) Start(now time.Duration) { h.proven, h.nextSearch = never, now }

// Valid reports whether the host holds a valid proof.
func (h *Holder) Valid(now time.Duration) bool { return now < h.Expiry() }

// Expiry returns when the current proof expires or has expired.
func (h *Holder) Expiry() time.Duration { return h.proven + h.Lifetime }

// Version returns the version of the last statement that the host has got.
func (h *Holder) Version() vers.RoutesVersion { return h.stated.version }

// Installed records that the host's table has reached a version, for which a statement may be waiting.
func (h *Holder) Installed(v vers.RoutesVersion) {
	h.version = max(h.version, v)
	h.count()
}

// count makes the last statement the host's proof if the host's table is at its version.
func (h *Holder) count() {
	if h.stated.known && h.stated.version <= h.version {
		h.proven = max(h.proven, h.stated.date)
	}
}

// Lend returns the answer to another host. It passes on a statement about a table that this host does not have yet, as that
// is no less true.
func (h *Holder) Lend(now time.Duration) Answer {
	age := now - h.stated.date
	if !h.stated.known || age >= h.Lifetime {
		return Answer{}
	}
	return Answer{Known: true, Version: h.stated.version, Age: age}
}

// Answered records the answer to a question. The statement counts from the time of the question, less its age. behind is true
// if it is about a newer table than the host has, which the peer then has or soon will have.
func (h *Holder) Answered(now time.Duration, q Ask, a Answer) (behind bool) {
	if q.To == h.Self {
		h.leads = a.Known
		h.leader = a.Leader
		if !a.Known && a.Leader != "" && a.Leader != h.Self && h.search.open {
			h.search.redirect = a.Leader
		}
	}
	if !a.Known || a.Age < 0 {
		return false
	}
	if date := q.At - a.Age; !h.stated.known || date > h.stated.date {
		h.stated = statement{known: true, version: a.Version, date: date}
		h.count()
	}
	if h.search.open && h.fresh(now) {
		h.lastGood = q.To
		h.search = search{}
		h.nextSearch = now + h.interval()
	}
	return a.Version > h.version && q.To != h.Self
}

// fresh reports whether the proof is so new that the search for a newer one ends.
func (h *Holder) fresh(now time.Duration) bool {
	share := hostFresh
	if h.isReplica {
		share = replicaFresh
	}
	return now-h.proven <= h.share(share)
}

func (h *Holder) share(f float64) time.Duration { return time.Duration(f * float64(h.Lifetime)) }

// interval returns the time until the next renewal.
func (h *Holder) interval() time.Duration {
	share := hostShare
	switch {
	case h.leads:
		share = leaderShare
	case h.isReplica:
		share = replicaShare
	}
	jitter := minJitter + (1-minJitter)*h.Rand.Float64()
	return max(minInterval, h.share(share*jitter))
}

// Next returns the question to ask now, if any. It must be called every few milliseconds; sources is called only if there is
// a question.
func (h *Holder) Next(now time.Duration, sources func() Sources) (q Ask, ok bool) {
	s := &h.search
	switch {
	case !s.open && now < h.nextSearch:
		return Ask{}, false
	case !s.open:
		*s = search{open: true}
	case h.fresh(now):
		// The table has arrived for which a fresh statement was waiting.
		*s = search{}
		h.nextSearch = now + h.interval()
		return Ask{}, false
	case s.redirect == "" && now-s.lastAsk < h.pause():
		return Ask{}, false
	}
	list := sources()
	h.isReplica = list.Replica
	to := h.choose(list)
	if to == "" {
		return Ask{}, false
	}
	s.asks++
	s.lastAsk = now
	return Ask{To: to, At: now}, true
}

// pause returns the time between the last question and the next one.
func (h *Holder) pause() time.Duration {
	if h.isReplica || h.search.asks < quickAsks {
		return AskTimeout
	}
	return min(max(AskTimeout, h.share(slowShare)), maxSlowAsk)
}

// choose returns the peer to ask next: the preferred one and the others in turn.
func (h *Holder) choose(s Sources) tier.NodeID {
	if to := h.search.redirect; to != "" {
		h.search.redirect = ""
		return to
	}
	n := h.search.asks
	others := s.Peers
	preferred := h.Self
	switch {
	case s.Replica && n > 0:
		// The leader that was asked first did not answer, or had no newer proof: another one may lead now.
		h.leader = ""
	case s.Replica && h.leader != "":
		preferred = h.leader
	case s.Replica:
	case len(others) == 0:
		return ""
	default:
		preferred, others = others[0], others[1:]
	}
	if n%2 == 0 || len(others) == 0 {
		return preferred
	}
	if n == 1 && h.lastGood != preferred && h.lastGood != h.Self && slices.Contains(others, h.lastGood) {
		return h.lastGood
	}
	h.rotor++
	return others[h.rotor%len(others)]
}
