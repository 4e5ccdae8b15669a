package conn

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// MaxAnswerBytes is the maximum size of the body of a server's answer.
	MaxAnswerBytes = 16 << 20
	// MaxConnIdle is how long an unused connection to a server is kept.
	MaxConnIdle = 20 * time.Second
	// cancelGrace is how long the slot of a cancelled request stays occupied, while the server
	// notices the cancellation.
	cancelGrace  = 5 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	// brokenConnWindow is how long after a broken connection the start of a new instance counts as
	// the death of the old one.
	brokenConnWindow = 5 * time.Second
)

// Pool holds the slots and connections of one server instance at its owner.
type Pool struct {
	server    tier.Announcement
	clock     tier.Clock
	transport transport

	mu                 sync.Mutex
	slots              Slots
	coldSince          time.Duration
	rampDuration       time.Duration
	running            map[*Ticket]bool
	dead               bool
	probing            chan struct{}
	brokenAt           time.Duration
	brokenFingerprints []tier.Fingerprint
}

func newPool(s tier.Announcement, clock tier.Clock, maxQueue int, certs *Certs, limits AnswerLimits) *Pool {
	spareConns := &spares{address: s.Address, certs: certs, service: s.Service}
	scheme := "http"
	if certs != nil {
		scheme = "https"
	}
	return &Pool{
		server:    s,
		clock:     clock,
		transport: transport{spares: spareConns, base: url.URL{Scheme: scheme, Host: s.Address}, limits: limits},
		running:   map[*Ticket]bool{},
		slots:     Slots{Limit: maxRunning(s), MaxQueue: maxQueue},
	}
}

// maxRunning returns how many requests may run on a server at a time: at most its slots, and one per
// connection.
func maxRunning(s tier.Announcement) int { return max(1, min(s.Slots, s.Conns)) }

// startColdRamp lowers a cold server's limit to one slot and raises it to the full limit over ramp.
func (p *Pool) startColdRamp(now, ramp time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldSince, p.rampDuration = now, ramp
	p.updateLimit(now)
}

func (p *Pool) updateLimit(now time.Duration) {
	full := maxRunning(p.server)
	age := now - p.coldSince
	if p.rampDuration == 0 || age >= p.rampDuration {
		p.slots.Limit = full
		return
	}
	p.slots.Limit = max(1, int(int64(full)*int64(age)/int64(p.rampDuration)))
}

// acquire waits for a slot; it returns ReasonNone if t has got one.
func (p *Pool) acquire(ctx context.Context, t *Ticket) tier.Reason {
	t.Grant = make(chan tier.Reason, 1)
	p.mu.Lock()
	now := p.clock.Now()
	p.updateLimit(now)
	run, refused := p.slots.Offer(now, t)
	p.mu.Unlock()
	if run || refused != tier.ReasonNone {
		return p.admitted(t, refused)
	}
	wake := time.NewTimer(t.Deadline - now)
	defer wake.Stop()
	select {
	case reason := <-t.Grant:
		return p.admitted(t, reason)
	case <-ctx.Done():
		return p.abandon(t, tier.ReasonCanceled)
	case <-wake.C:
		return p.abandon(t, tier.ReasonDeadline)
	}
}

func (p *Pool) admitted(t *Ticket, reason tier.Reason) tier.Reason {
	if reason != tier.ReasonNone {
		return reason
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[t] = true
	return tier.ReasonNone
}

func (p *Pool) abandon(t *Ticket, reason tier.Reason) tier.Reason {
	p.mu.Lock()
	removed := p.slots.Remove(t)
	p.slots.ProcessQueue(p.clock.Now())
	p.mu.Unlock()
	if removed {
		return reason
	}
	if got := <-t.Grant; got != tier.ReasonNone {
		return got
	}
	p.mu.Lock()
	p.slots.Done(p.clock.Now(), t, false)
	p.mu.Unlock()
	return reason
}

func (p *Pool) release(t *Ticket, sample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, t)
	now := p.clock.Now()
	p.updateLimit(now)
	p.slots.Done(now, t, sample)
}

// releaseLater frees the slot of a cancelled request after cancelGrace.
func (p *Pool) releaseLater(t *Ticket) {
	p.refill()
	time.AfterFunc(cancelGrace, func() { p.release(t, false) })
}

// refill opens spare connections if the server's connection limit leaves room for them.
func (p *Pool) refill() {
	if p.server.Conns >= p.server.Slots+spareTarget {
		p.transport.spares.refill()
	}
}

// Busy returns the number of requests that the server is running for this owner.
func (p *Pool) Busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.Running()
}

// Load returns the numbers of running and queued requests, and the expected wait.
func (p *Pool) Load() (running, queued int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.Running(), p.slots.Queued(), p.slots.ExpectedWait()
}

// close refuses the queued requests; running ones continue.
func (p *Pool) close(reason tier.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Close(reason)
	p.transport.closeIdle(true)
}

// errTruncated means that a body is shorter than stated, or should be JSON and is not.
var errTruncated = errors.New("answer is truncated or not JSON")

// checkDeath checks whether the server is gone after a connection to it broke. All requests that
// were running share one probe and its result; first is true only for the call that found the
// server dead.
func (p *Pool) checkDeath(ctx context.Context) (dead bool, first bool, fingerprints []tier.Fingerprint) {
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return true, false, nil
	}
	if p.probing != nil {
		wait := p.probing
		p.mu.Unlock()
		<-wait
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.dead, false, nil
	}
	done := make(chan struct{})
	p.probing = done
	fingerprints = p.runningFingerprints()
	p.mu.Unlock()

	refused := p.probe(ctx)

	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = nil
	close(done)
	p.dead = refused
	if !refused {
		p.brokenAt, p.brokenFingerprints = p.clock.Now(), fingerprints
	}
	return refused, refused, fingerprints
}

func (p *Pool) runningFingerprints() []tier.Fingerprint {
	seen := map[tier.Fingerprint]bool{}
	var out []tier.Fingerprint
	for t := range p.running {
		if !seen[t.Fingerprint] {
			seen[t.Fingerprint] = true
			out = append(out, t.Fingerprint)
		}
	}
	return out
}

// probe opens a new connection and reports whether nothing listens at the server's address any
// more.
func (p *Pool) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.server.Address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return neverReached(err)
}

// recentlyBroken returns the fingerprints of the requests that were running when a connection broke
// shortly before now. A new instance shows that the server had died.
func (p *Pool) recentlyBroken(now time.Duration) []tier.Fingerprint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead || len(p.brokenFingerprints) == 0 || now-p.brokenAt > brokenConnWindow {
		return nil
	}
	return p.brokenFingerprints
}

func deadlineHeader(d time.Duration) string {
	return strconv.FormatInt(int64(tier.ToMillis(max(d, 0))), 10)
}
