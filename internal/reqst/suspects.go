package reqst

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// quarantineCrashes is the number of crashes under a request after which it is refused: fewer can
	// also occur under innocent requests that run beside the cause.
	quarantineCrashes = 3
	// suspicionTTL is how long a suspicion lasts after its last death: a request that crashes servers
	// may come back hours later.
	suspicionTTL = 24 * time.Hour
	// outageWindow is the time within which deaths of several servers count as one crash if the request
	// had been answered before: the servers failed together, and the request was running on all of them.
	outageWindow = time.Second
	// firstTrialDelay is the time from the last death to the first trial: crashed servers are back some
	// seconds later.
	firstTrialDelay = 5 * time.Second
	// trialBackoff is the factor between the delays of two trials of a request that was never answered,
	// and maxTrials the number of its trials.
	trialBackoff = 12
	maxTrials    = 2
	// answeredTrialBackoff is the factor for a request that was answered before the first death. It gets
	// trials until one is answered, at most maxTrialDelay apart.
	answeredTrialBackoff = 2
	maxTrialDelay        = time.Hour
	// maxSumAge is how long a suspicion that has ended may still be part of Sum.
	maxSumAge = time.Minute
	// maxSuspects is the maximum number of suspected requests, and of cleared ones that are remembered.
	maxSuspects = 4096
)

// Suspects decides which requests are refused because servers crashed while they ran them, on any node.
// A request is quarantined after quarantineCrashes crashes. An answer clears it on all nodes, since a
// request that some server survives does not crash the others. A quarantined request gets a trial from time
// to time: it is sent to one server. Suspects does no I/O and is not safe for concurrent use.
type Suspects struct {
	suspects map[tier.Fingerprint]*suspect
	// cleared holds when requests were cleared; earlier deaths do not count.
	cleared map[tier.Fingerprint]time.Duration
	// recent holds the requests that this node has answered lately.
	recent recentRequests
	// sum is the result of Sum as of summedAt; stale is set if deaths or trials have changed since.
	sum      uint64
	summedAt time.Duration
	stale    bool
}

// instance is one start of a server.
type instance struct {
	server tier.ServerID
	born   int64
}

// suspect is a request that ran on servers when they died.
type suspect struct {
	deaths map[instance]time.Duration
	last   time.Duration
	trials map[tier.TrialID]time.Duration
	// answered is set if the request had been answered before a death.
	answered bool
	// trying is set while a trial of this node is open.
	trying bool
}

// Death is the death of a server while it ran a request.
type Death struct {
	Fingerprint tier.Fingerprint
	Server      tier.ServerID
	// Born is the start of the server in Unix milliseconds; 0 if it is unknown.
	Born int64
	// Age is the time since the death.
	Age time.Duration
	// Answered is set if the request had been answered before.
	Answered bool
}

// Trial is the end of a trial of a quarantined request or, with Answered, an answer that cleared a suspected one.
type Trial struct {
	Fingerprint tier.Fingerprint
	// ID identifies the trial.
	ID tier.TrialID
	// Age is the time since the trial ended.
	Age      time.Duration
	Answered bool
}

// Suspicion is what is known about a suspected request.
type Suspicion struct {
	// Deaths is the number of servers that died, Crashes the number of crashes: servers that died together
	// may count as one.
	Deaths, Crashes int
	Trials          int
	Answered        bool
	// Quarantined is set if the request is refused, TrialDue if it may be sent to one server instead.
	Quarantined bool
	TrialDue    bool
	// Remaining is the time until the next trial, or until the suspicion ends.
	Remaining time.Duration
}

// Blame records a death, unless the request was cleared since, the death is too long ago or already known;
// fresh reports whether it did.
func (s *Suspects) Blame(now time.Duration, d Death) (fresh bool) {
	at := now - max(0, d.Age)
	if cleared, ok := s.cleared[d.Fingerprint]; now-at >= suspicionTTL || (ok && at <= cleared) {
		return false
	}
	p := s.suspect(now, d.Fingerprint)
	s.stale = true
	p.answered = p.answered || d.Answered
	if len(p.deaths) == 0 || at > p.last {
		p.last = at
	}
	id := instance{d.Server, d.Born}
	before, known := p.deaths[id]
	if !known || at > before {
		p.deaths[id] = at
	}
	return !known
}

// WasAnswered reports whether this node has passed on an answer to a request lately.
func (s *Suspects) WasAnswered(f tier.Fingerprint) bool { return s.recent.contains(f) }

// suspect returns the entry of a request, which replaces another one if there are too many.
func (s *Suspects) suspect(now time.Duration, f tier.Fingerprint) *suspect {
	if s.suspects == nil {
		s.suspects = map[tier.Fingerprint]*suspect{}
	}
	p := s.suspects[f]
	if p == nil || now-p.last >= suspicionTTL {
		p = &suspect{deaths: map[instance]time.Duration{}, trials: map[tier.TrialID]time.Duration{}}
		if len(s.suspects) >= maxSuspects && s.suspects[f] == nil {
			s.evict()
		}
		s.suspects[f] = p
	}
	return p
}

// evict removes the suspect with the fewest deaths, of these the oldest.
func (s *Suspects) evict() {
	var worst tier.Fingerprint
	var w *suspect
	for f, p := range s.suspects {
		if w == nil || cmp.Or(cmp.Compare(len(p.deaths), len(w.deaths)), cmp.Compare(p.last, w.last), cmp.Compare(f, worst)) < 0 {
			worst, w = f, p
		}
	}
	delete(s.suspects, worst)
}

// Answer records an answer of a server to a request. It reports whether that cleared a suspicion, of which
// the other nodes must be told.
func (s *Suspects) Answer(now time.Duration, f tier.Fingerprint) (t Trial, cleared bool) {
	s.recent.add(f)
	if s.suspects[f] == nil {
		return Trial{}, false
	}
	s.clear(f, now)
	return Trial{Fingerprint: f, Answered: true}, true
}

// Learn records a trial of another node.
func (s *Suspects) Learn(now time.Duration, t Trial) {
	at := now - max(0, t.Age)
	p := s.suspects[t.Fingerprint]
	switch {
	case t.Answered && (p == nil || p.last <= at):
		s.clear(t.Fingerprint, at)
	case !t.Answered && p != nil:
		if before, known := p.trials[t.ID]; !known || at > before {
			p.trials[t.ID] = at
			s.stale = true
		}
	}
}

func (s *Suspects) clear(f tier.Fingerprint, at time.Duration) {
	delete(s.suspects, f)
	s.stale = true
	if before, ok := s.cleared[f]; ok && before >= at {
		return
	}
	if s.cleared == nil {
		s.cleared = map[tier.Fingerprint]time.Duration{}
	}
	if _, ok := s.cleared[f]; !ok && len(s.cleared) >= maxSuspects {
		oldest := f
		for g, t := range s.cleared {
			if oldest == f || t < s.cleared[oldest] {
				oldest = g
			}
		}
		delete(s.cleared, oldest)
	}
	s.cleared[f] = at
}

// Check returns what is known about a request.
func (s *Suspects) Check(now time.Duration, f tier.Fingerprint) Suspicion {
	p := s.suspects[f]
	if p == nil || now-p.last >= suspicionTTL {
		return Suspicion{}
	}
	out := Suspicion{Deaths: len(p.deaths), Crashes: p.crashes(), Trials: len(p.trials), Answered: p.answered}
	if out.Crashes < quarantineCrashes {
		return out
	}
	out.Quarantined = true
	due := p.trialDue()
	out.TrialDue = now >= due && !p.trying
	out.Remaining = max(due, now+time.Second) - now
	return out
}

// crashes returns the number of crashes that the deaths stand for.
func (p *suspect) crashes() (n int) {
	if !p.answered {
		return len(p.deaths)
	}
	var from time.Duration
	for _, at := range slices.Sorted(maps.Values(p.deaths)) {
		if n == 0 || at-from > outageWindow {
			n, from = n+1, at
		}
	}
	return n
}

// trialDue returns when the next trial is due; without one, when the suspicion ends.
func (p *suspect) trialDue() time.Duration {
	from := p.last
	for _, at := range p.trials {
		from = max(from, at)
	}
	if !p.answered && len(p.trials) >= maxTrials {
		return p.last + suspicionTTL
	}
	factor := trialBackoff
	if p.answered {
		factor = answeredTrialBackoff
	}
	delay := firstTrialDelay
	for range p.trials {
		delay = min(delay*time.Duration(factor), maxTrialDelay)
	}
	return from + delay
}

// BeginTrial reports whether a quarantined request may be sent to one server now. EndTrial must follow.
func (s *Suspects) BeginTrial(now time.Duration, f tier.Fingerprint) bool {
	if !s.Check(now, f).TrialDue {
		return false
	}
	s.suspects[f].trying = true
	return true
}

// EndTrial records the end of a trial. counts reports whether it counts, in which case the other nodes must
// be told: a server may have run the request and has not answered it.
func (s *Suspects) EndTrial(now time.Duration, f tier.Fingerprint, id tier.TrialID, ran bool) (t Trial, counts bool) {
	p := s.suspects[f]
	if p == nil || !p.trying {
		return Trial{}, false
	}
	p.trying = false
	if !ran {
		return Trial{}, false
	}
	p.trials[id] = now
	s.stale = true
	return Trial{Fingerprint: f, ID: id}, true
}

// Deaths returns the deaths that count, at most limit of them, those of the requests with the most deaths
// first.
func (s *Suspects) Deaths(now time.Duration, limit int) (out []Death) {
	for _, f := range s.ordered(now) {
		p := s.suspects[f]
		for id, at := range p.deaths {
			if len(out) == limit {
				return out
			}
			out = append(out, Death{Fingerprint: f, Server: id.server, Born: id.born, Age: now - at, Answered: p.answered})
		}
	}
	return out
}

// ordered returns the suspects, those with the most deaths first.
func (s *Suspects) ordered(now time.Duration) (out []tier.Fingerprint) {
	for f, p := range s.suspects {
		if now-p.last < suspicionTTL {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b tier.Fingerprint) int {
		return cmp.Or(cmp.Compare(len(s.suspects[b].deaths), len(s.suspects[a].deaths)), cmp.Compare(a, b))
	})
	return out
}

// Trials returns the trials that count and what was cleared last, at most limit of them.
func (s *Suspects) Trials(now time.Duration, limit int) (out []Trial) {
	for _, f := range s.ordered(now) {
		for id, at := range s.suspects[f].trials {
			out = append(out, Trial{Fingerprint: f, ID: id, Age: now - at})
		}
	}
	begin := len(out)
	for f, at := range s.cleared {
		if now-at < suspicionTTL {
			out = append(out, Trial{Fingerprint: f, Age: now - at, Answered: true})
		}
	}
	slices.SortFunc(out[begin:], func(a, b Trial) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), limit)]
}

// Sum returns a hash of the quarantined requests and the number of their trials: equal on nodes that know
// the same.
func (s *Suspects) Sum(now time.Duration) uint64 {
	if !s.stale && now-s.summedAt < maxSumAge {
		return s.sum
	}
	s.sum, s.summedAt, s.stale = 0, now, false
	for f, p := range s.suspects {
		if now-p.last < suspicionTTL && p.crashes() >= quarantineCrashes {
			s.sum += uint64(f) * uint64(2*len(p.trials)+1)
		}
	}
	return s.sum
}

// recentSize is the number of requests in each half of recentRequests: several seconds of requests that do
// not repeat.
const recentSize = 4096

// recentRequests holds the requests that were answered last, in two halves, of which the older one is
// dropped when the newer one is full.
type recentRequests struct{ newer, older map[tier.Fingerprint]struct{} }

func (r *recentRequests) add(f tier.Fingerprint) {
	if _, ok := r.newer[f]; ok {
		return
	}
	if r.newer == nil || len(r.newer) >= recentSize {
		r.older, r.newer = r.newer, map[tier.Fingerprint]struct{}{}
	}
	r.newer[f] = struct{}{}
}

func (r *recentRequests) contains(f tier.Fingerprint) bool {
	_, newer := r.newer[f]
	_, older := r.older[f]
	return newer || older
}
