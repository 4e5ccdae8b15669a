package conn

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerConnBytes is charged for each connection of a caller: its goroutine, the buffers of net/http, and the first
	// freeHeadBytes of a head as parsed (see BenchmarkCallers).
	callerConnBytes = 20 << 10
	freeHeadBytes   = 4 << 10
	// headFieldBytes is what one field of a head takes in a map of net/http beyond twice its own bytes: a slot, of which at least
	// half are free after the map has grown, a slice and two allocations.
	headFieldBytes = 144
	// bufferedHeadBytes is the most that net/http may hold of the next head when it reads it: its buffer of 4 KiB, full of the
	// shortest fields with names of their own.
	bufferedHeadBytes = 4 << 10 / 5 * headFieldBytes
	// overdraftDivisor divides the limit to get what connections that yield may hold beyond it until they have ended.
	overdraftDivisor = 4
	// minAnswerAge is how long a caller may leave an answer unread before its connection may be closed for others.
	minAnswerAge = time.Second
)

// CallerKind tells what a caller held when its connection yielded to others.
type CallerKind string

// Kinds of what callers hold.
const (
	// CallerIdle is a connection without a request.
	CallerIdle CallerKind = "idle"
	// CallerHead is a head that is not complete, or one that leaves no room for its request.
	CallerHead CallerKind = "head"
	// CallerBody is a body that is not complete.
	CallerBody CallerKind = "body"
	// CallerAnswer is an answer that the caller does not read.
	CallerAnswer CallerKind = "answer"
)

// Yield reports a connection that was closed, or whose request was refused, so that others find room.
type Yield struct {
	Kind     CallerKind
	Listener string
	Remote   netip.Addr
	// Held is what the connection held, Crowd what all connections from its address to this listener held.
	Held, Crowd int64
}

// CallerBudget bounds what callers hold over all listeners of a process: connections, heads as parsed, bodies and unread
// answers. When there is no room, a listener that holds more than its share yields before the others, within it the remote
// address that holds most, and of that the connection that has held most for longest. Requests that run are never
// interrupted. Nil has no bound. It is safe for concurrent use.
type CallerBudget struct {
	// Limit is the maximum number of bytes, Conns of connections and Bodies of bytes of bodies; 0 means no limit. One body is
	// not subject to Bodies.
	Limit, Bodies int64
	Conns         int
	// OnYield, if not nil, is called for each connection that yields.
	OnYield func(Yield)

	mu     sync.Mutex
	held   int64
	bodies int64
	conns  int
	// yielding and ending are the bytes and the number of connections that yield and have not ended yet. Of these, closing have a
	// closed socket: only the scheduler delays their ends, which oneEnded signals.
	yielding        int64
	ending, closing int
	oneEnded        *sync.Cond
	listeners       []*callerListener
}

// callerListener accounts for the callers of one listener.
type callerListener struct {
	net.Listener
	budget *CallerBudget
	label  string
	// weight is the share of this listener in the sum of all weights.
	weight int64
	held   int64
	hosts  map[netip.Addr]*callerHost
}

// callerHost accounts for the connections from one remote address.
type callerHost struct {
	held  int64
	conns map[*Caller]struct{}
}

// Listener returns a listener whose connections are counted. weight is its share among all listeners.
func (b *CallerBudget) Listener(base net.Listener, label string, weight int64) net.Listener {
	if b == nil {
		return base
	}
	l := &callerListener{Listener: base, budget: b, label: label, weight: weight, hosts: map[netip.Addr]*callerHost{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.oneEnded == nil {
		b.oneEnded = sync.NewCond(&b.mu)
	}
	b.listeners = append(b.listeners, l)
	return l
}

// Held returns the number of bytes and of connections that callers hold now.
func (b *CallerBudget) Held() (held int64, conns int) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.conns
}

// Accept returns the next connection for which there is room.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		k, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Caller{Conn: k, listener: l, remote: crowdOf(k.RemoteAddr())}
		c.enter(phaseHead)
		if l.budget.open(c) {
			return c, nil
		}
		_ = k.Close()
	}
}

// crowdOf returns the address by which connections are counted together: an IPv4 address, or the network of an IPv6 address,
// whose hosts choose the rest themselves.
func crowdOf(a net.Addr) netip.Addr {
	const network = 64
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	ip := t.AddrPort().Addr().Unmap().WithZone("")
	if p, err := ip.Prefix(network); err == nil && ip.Is6() {
		return p.Addr()
	}
	return ip
}

// open adds a connection, and reports whether there is room for it. When connections yield faster than they end, it waits for those
// whose sockets are closed: callers that connect meanwhile are better off in the kernel's queue than reset.
func (b *CallerBudget) open(c *Caller) bool {
	b.mu.Lock()
	for b.closing > 0 && !b.fits(1, callerConnBytes) {
		b.oneEnded.Wait()
	}
	b.conns++
	h := c.listener.hosts[c.remote]
	if h == nil {
		h = &callerHost{conns: map[*Caller]struct{}{}}
		c.listener.hosts[c.remote] = h
	}
	h.conns[c] = struct{}{}
	c.host = h
	b.add(c, callerConnBytes)
	out, ok := b.makeRoom(c)
	if !ok {
		b.remove(c)
	}
	b.mu.Unlock()
	b.end(out)
	return ok
}

// close removes a connection; further calls do nothing.
func (b *CallerBudget) close(c *Caller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

func (b *CallerBudget) remove(c *Caller) {
	if _, ok := c.host.conns[c]; !ok {
		return
	}
	b.conns--
	b.bodies -= c.body
	c.body = 0
	if c.yields {
		b.yielding -= c.held
		b.ending--
	}
	if c.closing {
		b.closing--
		b.oneEnded.Broadcast()
	}
	b.add(c, -c.held)
	delete(c.host.conns, c)
	if len(c.host.conns) == 0 {
		delete(c.listener.hosts, c.remote)
	}
}

// add changes what a connection holds.
func (b *CallerBudget) add(c *Caller, n int64) {
	c.held += n
	c.host.held += n
	c.listener.held += n
	b.held += n
}

// markYielding takes a connection, which was in that phase, out of what is compared with the limits.
func (b *CallerBudget) markYielding(c *Caller, phase int32) {
	c.yields = true
	if phase == phaseIdle || phase == phaseHead {
		c.closing = true
		b.closing++
	}
	b.yielding += c.held
	b.ending++
	b.bodies -= c.body
	c.body = 0
}

// charge adds n bytes to what a connection holds, of which body are bytes of a body. It reports whether there is room;
// otherwise nothing is charged.
func (b *CallerBudget) charge(c *Caller, n, body int64) bool {
	b.mu.Lock()
	if _, open := c.host.conns[c]; !open || (c.yields && n > 0) {
		b.mu.Unlock()
		return n <= 0
	}
	if c.yields {
		b.yielding += n
		body = 0
	}
	b.addBody(c, n, body)
	var out []yielded
	ok := true
	if n > 0 {
		out, ok = b.makeRoom(c)
	}
	if !ok {
		b.addBody(c, -n, -body)
	}
	b.mu.Unlock()
	b.end(out)
	return ok
}

func (b *CallerBudget) addBody(c *Caller, n, body int64) {
	b.add(c, n)
	c.body += body
	b.bodies += body
}

// full reports whether callers hold too much; bodies alone reports whether only their bodies are too much.
func (b *CallerBudget) full() (full, onlyBodies bool) {
	if held := b.held - b.yielding; (b.Limit > 0 && held > b.Limit) || (b.Conns > 0 && b.conns-b.ending > b.Conns) {
		return true, false
	}
	full = b.Bodies > 0 && b.bodies > b.Bodies
	return full, full
}

// fits reports whether that much more stays within the limits and the overdraft.
func (b *CallerBudget) fits(conns int, held int64) bool {
	return (b.Limit == 0 || b.held+held <= b.Limit+b.Limit/overdraftDivisor) &&
		(b.Conns == 0 || b.conns+conns <= b.Conns+b.Conns/overdraftDivisor)
}

// yielded is a connection that must yield.
type yielded struct {
	c     *Caller
	kind  CallerKind
	phase int32
	crowd int64
	held  int64
}

// makeRoom chooses the connections that yield to c, and reports whether c has room then.
func (b *CallerBudget) makeRoom(c *Caller) (out []yielded, ok bool) {
	now := callerNow()
	for {
		full, onlyBodies := b.full()
		switch {
		case !full:
			return out, b.fits(0, 0)
		case onlyBodies && b.bodies == c.body:
			return out, true
		}
		v, phase := b.choose(c, now, onlyBodies)
		if v == nil || v == c {
			return out, false
		}
		if !v.phase.CompareAndSwap(phase, phaseYielding) {
			continue
		}
		b.markYielding(v, phase)
		out = append(out, yielded{c: v, kind: kindOf(phase, v), phase: phase, crowd: v.host.held, held: v.held})
	}
}

// choose returns the connection that yields next and its phase, or nil if none can.
func (b *CallerBudget) choose(c *Caller, now int64, onlyBodies bool) (*Caller, int32) {
	if onlyBodies {
		return b.chooseBody(now)
	}
	var weights int64
	for _, l := range b.listeners {
		weights += l.weight
	}
	var over *callerListener
	for _, l := range b.listeners {
		if l != c.listener && l.held*weights <= b.Limit*l.weight {
			continue
		}
		if over == nil || l.held*over.weight > over.held*l.weight {
			over = l
		}
	}
	if over != nil {
		if v, phase := over.choose(now, false); v != nil {
			return v, phase
		}
	}
	return c.listener.choose(now, false)
}

// chooseBody returns the connection with a body that yields next. Listeners have no shares of what bodies may take: the budget for
// bodies has room beside that of callers.
func (b *CallerBudget) chooseBody(now int64) (best *Caller, phase int32) {
	for _, l := range b.listeners {
		if v, p := l.choose(now, true); v != nil && (best == nil || v.score(now) > best.score(now)) {
			best, phase = v, p
		}
	}
	return best, phase
}

// score returns how much a connection has held for how long.
func (c *Caller) score(now int64) float64 {
	return float64(c.held) * float64(max(now-c.since.Load(), 0))
}

// choose returns the connection of the heaviest remote address that has held most for longest, among those whose request does
// not run.
func (l *callerListener) choose(now int64, onlyBodies bool) (best *Caller, phase int32) {
	var heaviest *callerHost
	for _, h := range l.hosts {
		if heaviest == nil || h.held > heaviest.held {
			heaviest = h
		}
	}
	if heaviest != nil {
		best, phase = heaviest.choose(now, onlyBodies)
	}
	for _, h := range l.hosts {
		if best != nil {
			break
		}
		best, phase = h.choose(now, onlyBodies)
	}
	return best, phase
}

func (h *callerHost) choose(now int64, onlyBodies bool) (best *Caller, phase int32) {
	top := -1.0
	for c := range h.conns {
		p := c.phase.Load()
		age := now - c.since.Load()
		if p == phaseRunning || p == phaseYielding || (p == phaseAnswer && age < int64(minAnswerAge)) || (onlyBodies && c.body == 0) {
			continue
		}
		if score := c.score(now); score > top {
			best, phase, top = c, p, score
		}
	}
	return best, phase
}

// end ends the chosen connections.
func (b *CallerBudget) end(out []yielded) {
	for _, y := range out {
		y.c.yield(y.phase)
		b.report(y.c, y.kind, y.held, y.crowd)
	}
}

func (b *CallerBudget) report(c *Caller, kind CallerKind, held, crowd int64) {
	if b.OnYield != nil {
		b.OnYield(Yield{Kind: kind, Listener: c.listener.label, Remote: c.remote, Held: held, Crowd: crowd})
	}
}

var callerEpoch = time.Now()

// callerNow returns a monotonic time in nanoseconds.
func callerNow() int64 { return int64(time.Since(callerEpoch)) }

func kindOf(phase int32, c *Caller) CallerKind {
	switch {
	case phase == phaseBody:
		return CallerBody
	case phase == phaseAnswer:
		return CallerAnswer
	case phase == phaseHead && c.received.Load():
		return CallerHead
	}
	return CallerIdle
}

// Phases of a connection.
const (
	// phaseIdle is after an answer, before the first byte of the next head.
	phaseIdle int32 = iota
	phaseHead
	phaseBody
	phaseRunning
	phaseAnswer
	// phaseYielding is final.
	phaseYielding
)

// phaseValue is a phase that no one leaves once it is phaseYielding.
type phaseValue struct{ atomic.Int32 }

func (p *phaseValue) enter(next int32) bool {
	for {
		old := p.Load()
		if old == phaseYielding {
			return false
		}
		if p.CompareAndSwap(old, next) {
			return true
		}
	}
}
