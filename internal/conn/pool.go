package conn

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// MaxAnswer is the largest answer of a server, in bytes.
	MaxAnswer = 16 << 20
	// IdleConn is how long an unused connection to a server is kept.
	IdleConn = 20 * time.Second
	// cancelGrace is how long a slot stays taken after its request was
	// cancelled, while the server notices.
	cancelGrace  = 5 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	// cutWindow is how long after a broken connection a new instance counts as the old one's death.
	cutWindow = 5 * time.Second
)

// Pool holds the slots and connections of one server instance at its owner.
type Pool struct {
	server    tier.Announcement
	clock     tier.Clock
	transport transport

	mu      sync.Mutex
	slots   Slots
	cold    time.Duration
	ramp    time.Duration
	running map[*Ticket]bool
	dead    bool
	probing chan struct{}
	cutAt   time.Duration
	cut     []tier.Fingerprint
}

func newPool(s tier.Announcement, clock tier.Clock, maxQueue int, certs *Certs) *Pool {
	ahead := &spares{address: s.Address, certs: certs, service: s.Service}
	scheme := "http"
	if certs != nil {
		scheme = "https"
	}
	return &Pool{
		server:    s,
		clock:     clock,
		transport: transport{ahead: ahead, base: url.URL{Scheme: scheme, Host: s.Address}},
		running:   map[*Ticket]bool{},
		slots:     Slots{Limit: mostRunning(s), MaxQueue: maxQueue},
	}
}

// mostRunning is how many requests a server is given at a time: one a connection.
func mostRunning(s tier.Announcement) int { return max(1, min(s.Slots, s.Conns)) }

// warm starts a cold server's limit at one slot and raises it over ramp.
func (p *Pool) warm(now, ramp time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold, p.ramp = now, ramp
	p.limit(now)
}

func (p *Pool) limit(now time.Duration) {
	full := mostRunning(p.server)
	age := now - p.cold
	if p.ramp == 0 || age >= p.ramp {
		p.slots.Limit = full
		return
	}
	p.slots.Limit = max(1, int(int64(full)*int64(age)/int64(p.ramp)))
}

// acquire waits for a slot; the reason is ReasonNone when t has one.
func (p *Pool) acquire(ctx context.Context, t *Ticket) tier.Reason {
	t.Grant = make(chan tier.Reason, 1)
	p.mu.Lock()
	now := p.clock.Now()
	p.limit(now)
	run, refused := p.slots.Offer(now, t)
	p.mu.Unlock()
	if run || refused != tier.ReasonNone {
		return p.began(t, refused)
	}
	wake := time.NewTimer(t.Deadline - now)
	defer wake.Stop()
	select {
	case why := <-t.Grant:
		return p.began(t, why)
	case <-ctx.Done():
		return p.leave(t, tier.ReasonCanceled)
	case <-wake.C:
		return p.leave(t, tier.ReasonDeadline)
	}
}

func (p *Pool) began(t *Ticket, why tier.Reason) tier.Reason {
	if why != tier.ReasonNone {
		return why
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[t] = true
	return tier.ReasonNone
}

func (p *Pool) leave(t *Ticket, why tier.Reason) tier.Reason {
	p.mu.Lock()
	left := p.slots.Leave(t)
	p.slots.Next(p.clock.Now())
	p.mu.Unlock()
	if left {
		return why
	}
	if got := <-t.Grant; got != tier.ReasonNone {
		return got
	}
	p.mu.Lock()
	p.slots.Done(p.clock.Now(), t, false)
	p.mu.Unlock()
	return why
}

func (p *Pool) release(t *Ticket, sample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, t)
	now := p.clock.Now()
	p.limit(now)
	p.slots.Done(now, t, sample)
}

// releaseLater frees the slot of a cancelled request after cancelGrace.
func (p *Pool) releaseLater(t *Ticket) {
	p.refill()
	time.AfterFunc(cancelGrace, func() { p.release(t, false) })
}

// refill has connections set up ahead where the server's limit leaves room for them.
func (p *Pool) refill() {
	if p.server.Conns >= p.server.Slots+spareTarget {
		p.transport.ahead.refill()
	}
}

// Busy returns the number of requests that the server is running for this owner.
func (p *Pool) Busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.Running()
}

// Depth returns the running and waiting requests and the expected wait.
func (p *Pool) Depth() (running, queued int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.Running(), p.slots.Queued(), p.slots.Wait()
}

// close refuses what waits; what runs goes on.
func (p *Pool) close(why tier.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Close(why)
	p.transport.drop(true)
}

// answer is what a server gave back.
type answer struct {
	status int
	header http.Header
	body   []byte
}

var errTruncated = errors.New("answer is truncated or not JSON")

// readBody reads a whole body; one that is cut short, too long or not JSON is an error.
func readBody(resp *http.Response) ([]byte, error) {
	buf := bytes.Buffer{}
	if resp.ContentLength > 0 && resp.ContentLength <= MaxAnswer {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, MaxAnswer+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errTruncated
	case err != nil:
		return nil, err
	case n > MaxAnswer:
		return nil, errors.Errorf("answer is longer than %d bytes", MaxAnswer)
	case resp.StatusCode == http.StatusOK && !json.Valid(buf.Bytes()):
		return nil, errTruncated
	}
	return buf.Bytes(), nil
}

// died finds out whether the server is gone after a connection to it broke.
// All requests that were running share one probe and its result.
func (p *Pool) died(ctx context.Context) (dead bool, first bool, prints []tier.Fingerprint) {
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
	prints = p.prints()
	p.mu.Unlock()

	refused := p.probe(ctx)

	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = nil
	close(done)
	p.dead = refused
	if !refused {
		p.cutAt, p.cut = p.clock.Now(), prints
	}
	return refused, refused, prints
}

func (p *Pool) prints() []tier.Fingerprint {
	seen := map[tier.Fingerprint]bool{}
	var out []tier.Fingerprint
	for t := range p.running {
		if !seen[t.Print] {
			seen[t.Print] = true
			out = append(out, t.Print)
		}
	}
	return out
}

// probe opens a new connection; true means that nothing listens any more.
func (p *Pool) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.server.Address)
	if err == nil {
		_ = c.Close()
		return false
	}
	return isRefused(err)
}

// recentCut returns the requests that were running when a connection broke
// shortly before now; a new instance shows that the server had died.
func (p *Pool) recentCut(now time.Duration) []tier.Fingerprint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead || len(p.cut) == 0 || now-p.cutAt > cutWindow {
		return nil
	}
	return p.cut
}

func deadlineHeader(d time.Duration) string {
	return strconv.FormatInt(int64(tier.ToMillis(max(d, 0))), 10)
}
