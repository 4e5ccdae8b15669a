package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Caller is a caller's connection that is accounted for in a CallerBudget. While a head arrives it counts the bytes and lines,
// since net/http parses each line as soon as it is there. Nil accounts for nothing.
type Caller struct {
	net.Conn
	listener *callerListener
	remote   netip.Addr

	// phase may be changed to phaseYielding by others; since is when it began (see callerNow).
	phase phaseValue
	since atomic.Int64
	// received is set once a byte of the current head has arrived.
	received atomic.Bool

	// The budget's lock guards host, held, body, yields and closing.
	host       *callerHost
	held, body int64
	// yields is set once the connection is counted among those that yield, closing if its socket is closed for it.
	yields, closing bool

	// The rest is used by the connection's goroutines only, one after the other.
	head headCount
	// charged is what the head is charged beyond freeHeadBytes.
	charged int64
	// deadlines counts the calls of SetReadDeadline since the last answer, until the first read.
	deadlines int
	// answer is what is charged for the answer.
	answer int64
}

// headCount counts the bytes and lines of a head until its end.
type headCount struct {
	bytes, lines int64
	// lineBytes is the length of the last line so far, without CR.
	lineBytes int
	ended     bool
}

// add counts received bytes.
func (h *headCount) add(b []byte) {
	for len(b) > 0 && !h.ended {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.bytes += int64(len(b))
			h.lineBytes += len(b) - bytes.Count(b, []byte{'\r'})
			return
		}
		line := b[:i]
		h.lineBytes += len(line) - bytes.Count(line, []byte{'\r'})
		h.bytes += int64(i + 1)
		h.lines++
		h.ended = h.lineBytes == 0 && h.lines > 1
		h.lineBytes, b = 0, b[i+1:]
	}
}

func (h *headCount) cost() int64 { return headCost(h.lines, h.bytes) }

// headCost returns what a head takes when parsed.
func headCost(fields, size int64) int64 { return fields*headFieldBytes + 2*size }

// HeadCost returns what a parsed header takes.
func HeadCost(h http.Header) int64 {
	fields, size := int64(0), 0
	for k, vs := range h {
		fields += int64(max(1, len(vs)))
		size += len(k)
		for _, v := range vs {
			size += len(v)
		}
	}
	return headCost(fields, int64(size))
}

func (c *Caller) enter(phase int32) bool {
	if !c.phase.enter(phase) {
		return false
	}
	c.since.Store(callerNow())
	return true
}

// Read reads from the connection, and ends it if there is no room for the head that arrives.
func (c *Caller) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	phase := c.phase.Load()
	if phase != phaseHead && phase != phaseIdle {
		return n, err
	}
	if phase == phaseIdle {
		c.enter(phaseHead)
	}
	c.received.Store(true)
	c.deadlines = -1
	c.head.add(p[:n])
	if !c.chargeHead(c.head.cost()) {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// chargeHead charges what a head takes in place of what was charged before.
func (c *Caller) chargeHead(cost int64) bool {
	n := max(0, cost-freeHeadBytes)
	if n == c.charged {
		return true
	}
	if !c.listener.budget.charge(c, n-c.charged, 0) {
		return false
	}
	c.charged = n
	return true
}

// SetReadDeadline sets the deadline, unless the connection yields. The second call after an answer without a read between them
// shows that net/http had received a part of the next head with the request before, and parses it now.
func (c *Caller) SetReadDeadline(t time.Time) error {
	if c.phase.Load() == phaseIdle && c.deadlines >= 0 {
		if c.deadlines++; c.deadlines > 1 {
			c.deadlines = -1
			c.received.Store(true)
			if c.enter(phaseHead) && !c.chargeHead(bufferedHeadBytes) {
				c.refuse()
			}
		}
	}
	if c.phase.Load() == phaseYielding {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes to the connection.
func (c *Caller) Write(p []byte) (int, error) {
	if c.phase.Load() == phaseRunning {
		c.enter(phaseAnswer)
	}
	return c.Conn.Write(p)
}

// Close closes the connection and returns what it holds.
func (c *Caller) Close() error {
	c.listener.budget.close(c)
	return c.Conn.Close()
}

// noRoomAnswer refuses a request whose head is not complete.
const noRoomAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse refuses the request whose head is too much.
func (c *Caller) refuse() {
	b := c.listener.budget
	b.mu.Lock()
	crowd, held := c.host.held, c.held
	old := c.phase.Swap(phaseYielding)
	if old != phaseYielding {
		b.markYielding(c, phaseHead)
	}
	b.mu.Unlock()
	if old == phaseYielding {
		return
	}
	b.report(c, CallerHead, held, crowd)
	c.yield(phaseHead)
}

// yield ends the connection, which was in that phase. A body that is not complete gets its refusal from the handler that reads
// it.
func (c *Caller) yield(phase int32) {
	if phase == phaseBody {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if phase == phaseHead && c.received.Load() {
		// There is nothing else to write on the connection. The refusal fits into an empty socket buffer.
		_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = io.WriteString(c.Conn, noRoomAnswer)
	}
	_ = c.Conn.Close()
}

// Yields reports whether the connection must end for others to find room.
func (c *Caller) Yields() bool { return c != nil && c.phase.Load() == phaseYielding }

// Begin is called with each request once its head was parsed; hasBody is set if a body follows. It reports whether there is room
// for the request.
func (c *Caller) Begin(h http.Header, hasBody bool) bool {
	if c == nil {
		return true
	}
	phase := phaseRunning
	if hasBody {
		phase = phaseBody
	}
	if !c.chargeHead(HeadCost(h)) {
		c.listener.budget.reportSelf(c, CallerHead)
		return false
	}
	return c.enter(phase)
}

func (b *CallerBudget) reportSelf(c *Caller, kind CallerKind) {
	b.mu.Lock()
	held, crowd := c.held, c.host.held
	b.mu.Unlock()
	b.report(c, kind, held, crowd)
}

// Run is called once the body of the request is there. It reports whether the request may run.
func (c *Caller) Run() bool { return c == nil || c.enter(phaseRunning) }

// DropHead releases the header of a request that nobody needs any more, while its answer may wait for the caller to read it.
func (c *Caller) DropHead(r *http.Request) {
	if c == nil {
		return
	}
	r.Header, r.Trailer = nil, nil
	c.chargeHead(0)
}

// Answer charges n bytes of an answer until it is written. An answer that is ready is never refused: others yield.
func (c *Caller) Answer(n int64) {
	if c != nil && n > 0 && c.listener.budget.charge(c, n, 0) {
		c.answer += n
	}
}

// SetState follows the states of the connection; it is called as http.Server.ConnState.
func (c *Caller) SetState(s http.ConnState) {
	if s == http.StateIdle {
		c.answered()
	}
}

// answered is called when the answer has been written and the next head may arrive.
func (c *Caller) answered() {
	c.head, c.deadlines = headCount{}, 0
	c.received.Store(false)
	c.chargeHead(0)
	if c.answer > 0 {
		c.listener.budget.charge(c, -c.answer, 0)
		c.answer = 0
	}
	c.enter(phaseIdle)
}

// grow charges n more bytes of a body.
func (c *Caller) grow(n int64) bool {
	if c == nil || n == 0 {
		return true
	}
	ok := c.listener.budget.charge(c, n, n)
	if !ok && !c.Yields() {
		c.listener.budget.reportSelf(c, CallerBody)
	}
	return ok
}

type callerKey struct{}

// CallerContext adds the connection's Caller to the context of its requests; set it as http.Server.ConnContext.
func CallerContext(ctx context.Context, c net.Conn) context.Context {
	if k := callerOf(c); k != nil {
		return context.WithValue(ctx, callerKey{}, k)
	}
	return ctx
}

// CallerFrom returns the Caller of a request's context, or nil.
func CallerFrom(ctx context.Context) *Caller {
	c, _ := ctx.Value(callerKey{}).(*Caller)
	return c
}

func callerOf(c net.Conn) *Caller {
	if d, ok := c.(*drainConn); ok {
		c = d.Conn
	}
	k, _ := c.(*Caller)
	return k
}
