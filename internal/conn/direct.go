package conn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// directBuffer is the size of a connection's read buffer: most answers fit into it.
	directBuffer = 2 << 10
	// idleMargin is taken off the idle time that a server announces, for the
	// way of a request that leaves just before it is over.
	idleMargin = 500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery are the probes of idle connections: one
	// that has gone silent is found within some three seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// mostStray is how many late answers to other requests are passed over
	// before the one that is awaited.
	mostStray = 3
	// idleLife is how long an unused connection is kept: a server counts those of
	// nodes that lost power until they time out, and must have room for theirs
	// again when they are back.
	idleLife = 4 * time.Second
	// probation is how long a new connection is watched before a careful request
	// is sent on it: a server that has too many resets them.
	probation = 4 * time.Millisecond
	// resetAtOnce is within which time of the request a reset on a new connection
	// counts as a refusal of the connection: a round trip and a slow wake-up.
	resetAtOnce = 8 * time.Millisecond
	// goneEvery is the least time between two looks whether a server that broke
	// a connection is gone, so that lost answers do not cost a connection each.
	goneEvery   = time.Second
	goneTimeout = 100 * time.Millisecond
	// directDial bounds the set-up of a connection, three round trips between
	// zones and a busy listener.
	directDial = 120 * time.Millisecond
	// longBody is the size from which a request's body is written beside the
	// reading of the answer, since a server may answer before it has read it.
	longBody = 8 << 10
)

// Outgoing is a request on its way to one or more servers, encoded but for
// what differs between them.
type Outgoing struct {
	// ID is the request's id, which a server echoes.
	ID string
	// Method is the request's method.
	Method string
	// Head is the request line and the headers that all servers get.
	Head []byte
	// Body is the whole body.
	Body []byte
	// Names are the names of the platform's headers.
	Names *tier.HeaderNames
}

// hopHeaders concern one connection only and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// NewOutgoing encodes a request with its target as the caller sent it.
func NewOutgoing(names *tier.HeaderNames, method, target, host, id string, h http.Header, body []byte) *Outgoing {
	b := make([]byte, 0, 512)
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	drop := connectionTokens(h)
	for k, vs := range h {
		if hopHeaders[k] || k == names.RequestID || k == names.Deadline || k == names.Expect || drop[k] {
			continue
		}
		for _, v := range vs {
			b = appendField(b, k, v)
		}
	}
	if id != "" {
		b = appendField(b, names.RequestID, id)
	}
	if len(body) > 0 || (method != http.MethodGet && method != http.MethodHead) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(body)))
	}
	return &Outgoing{ID: id, Method: method, Head: b, Body: body, Names: names}
}

func appendField(b []byte, k, v string) []byte {
	return append(append(append(append(b, k...), ": "...), v...), "\r\n"...)
}

// connectionTokens returns the headers that the Connection header names.
func connectionTokens(h http.Header) map[string]bool {
	list := h["Connection"]
	if len(list) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, v := range list {
		for _, t := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(t))] = true
		}
	}
	return out
}

// StripHop takes out the headers that concern one connection only.
func StripHop(h http.Header) {
	for k := range connectionTokens(h) {
		delete(h, k)
	}
	for k := range hopHeaders {
		delete(h, k)
	}
}

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors of Direct.
var (
	// ErrNotSent says that nothing of the request has left.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused says that a server reset a new connection at once, before it
	// can have run anything.
	ErrRefused = errors.New("connection was refused by a reset")
	// ErrMalformed says that a server's bytes are no answer to the request.
	ErrMalformed = errors.New("answer is malformed")
)

// directConn is a connection to a server; it carries one request at a time.
type directConn struct {
	conn  *net.TCPConn
	raw   syscall.RawConn
	r     *bufio.Reader
	until time.Time
	// fresh is set until the first answer has come; sent is when the request left.
	fresh bool
	sent  time.Time
	// pending is a request that goes out with the next read.
	pending []byte
}

func newDirectConn(c *net.TCPConn) (*directConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	d := &directConn{conn: c, raw: raw, fresh: true}
	d.r = bufio.NewReaderSize(d, directBuffer)
	return d, nil
}

// Read reads from the connection. A pending request is written first, inside
// the wait for readiness: its answer cannot be there yet, so that the read
// which would find nothing is left out.
func (c *directConn) Read(p []byte) (n int, err error) {
	if len(c.pending) == 0 {
		return c.conn.Read(p)
	}
	b := c.pending
	c.pending = nil
	c.sent = time.Now()
	var werr, rerr error
	written := false
	err = c.raw.Read(func(fd uintptr) bool {
		if !written {
			written = true
			var k int
			k, werr = ignoreInterrupt(func() (int, error) { return unix.Write(int(fd), b) })
			b = b[max(k, 0):]
			return len(b) > 0
		}
		n, rerr = ignoreInterrupt(func() (int, error) { return unix.Read(int(fd), p) })
		return !errors.Is(rerr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case len(b) > 0 && (werr == nil || errors.Is(werr, unix.EAGAIN)):
		if _, err := c.conn.Write(b); err != nil {
			return 0, err
		}
		return c.conn.Read(p)
	case werr != nil:
		return 0, werr
	case rerr != nil:
		return 0, rerr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// ignoreInterrupt repeats a system call that a signal has interrupted.
func ignoreInterrupt(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// Direct holds one node's own connections to one server.
type Direct struct {
	// Address is the server's.
	Address string
	// Server is the id that the server must have.
	Server tier.ServerID
	// Dialed is told of each new connection.
	Dialed func()

	mu     sync.Mutex
	idle   []*directConn
	closed bool

	// look is held while the server is looked for; it guards the fields below.
	look   sync.Mutex
	looked time.Time
	gone   bool
}

// Close closes the idle connections; those in use are closed after their request.
func (d *Direct) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.dropIdle()
}

// Forget closes the idle connections: whatever lost track of one may have
// lost track of the others.
func (d *Direct) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropIdle()
}

func (d *Direct) dropIdle() {
	for _, c := range d.idle {
		_ = c.conn.Close()
	}
	d.idle = nil
}

// Idle returns the number of idle connections.
func (d *Direct) Idle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.idle)
}

// Trim closes connections that have been idle for longer than the server keeps them.
func (d *Direct) Trim(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.idle[:0]
	for _, c := range d.idle {
		if now.After(c.until) {
			_ = c.conn.Close()
			continue
		}
		kept = append(kept, c)
	}
	d.idle = kept
}

func (d *Direct) take() *directConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil
	}
	c := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return c
}

func (d *Direct) put(c *directConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = c.conn.Close()
		return
	}
	d.idle = append(d.idle, c)
}

// get returns an idle connection or a new one. A careful caller gets one of
// which it is known that the server has not closed or refused it.
func (d *Direct) get(ctx context.Context, careful bool) (*directConn, error) {
	for c := d.take(); c != nil; c = d.take() {
		if time.Now().Before(c.until) && (!careful || quiet(c.conn)) {
			return c, nil
		}
		_ = c.conn.Close()
	}
	dialer := net.Dialer{
		Timeout:         directDial,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount},
	}
	c, err := dialer.DialContext(ctx, "tcp", d.Address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if d.Dialed != nil {
		d.Dialed()
	}
	if careful && !survives(ctx, c) {
		_ = c.Close()
		return nil, errors.Wrap(ErrNotSent, "the new connection was reset")
	}
	return newDirectConn(c.(*net.TCPConn))
}

// survives reports whether a new connection is still open after its probation.
func survives(ctx context.Context, c net.Conn) bool {
	select {
	case <-time.After(probation):
		return quiet(c)
	case <-ctx.Done():
		return false
	}
}

// Gone reports whether nothing listens at the server's address any more. It
// looks at most once in goneEvery; all that ask meanwhile get the same word.
func (d *Direct) Gone(ctx context.Context) bool {
	d.look.Lock()
	defer d.look.Unlock()
	if time.Since(d.looked) < goneEvery {
		return d.gone
	}
	dialer := net.Dialer{Timeout: goneTimeout}
	c, err := dialer.DialContext(ctx, "tcp", d.Address)
	if err == nil {
		_ = c.Close()
	}
	d.looked, d.gone = time.Now(), errors.Is(err, syscall.ECONNREFUSED)
	return d.gone
}

// Do sends a request and reads its whole answer. Careful is for one that must
// not run twice, or that a server has just refused. The connection is closed
// when ctx ends, which cancels the request at the server. An error that is
// not ErrNotSent leaves open whether the request has run.
func (d *Direct) Do(ctx context.Context, o *Outgoing, left time.Duration, careful bool) (Answer, error) {
	c, err := d.get(ctx, careful)
	if err != nil {
		return Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	resp, reuse, err := c.exchange(o, d.Server, left)
	if stop() && err == nil && reuse {
		d.put(c)
		return resp, nil
	}
	_ = c.conn.Close()
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return resp, err
}

func (c *directConn) exchange(o *Outgoing, server tier.ServerID, left time.Duration) (resp Answer, reuse bool, err error) {
	b := make([]byte, 0, len(o.Head)+len(o.Body)+128)
	b = append(b, o.Head...)
	b = appendField(b, o.Names.Deadline, strconv.FormatInt(int64(tier.ToMillis(max(left, time.Millisecond))), 10))
	if o.Names.Expect != "" {
		b = appendField(b, o.Names.Expect, string(server))
	}
	b = append(b, "\r\n"...)
	b = append(b, o.Body...)
	written := make(chan error, 1)
	if len(o.Body) < longBody {
		c.pending = b
		written <- nil
	} else {
		go func() {
			_, err := c.conn.Write(b)
			written <- err
		}()
	}
	resp, reuse, err = c.await(o)
	if c.fresh && errors.Is(err, syscall.ECONNRESET) && time.Since(c.sent) < resetAtOnce {
		err = errors.Wrap(ErrRefused, err.Error())
	}
	c.fresh = false
	if err != nil {
		return resp, false, tier.At("read answer", string(server), err)
	}
	select {
	case werr := <-written:
		return resp, reuse && werr == nil, nil
	default:
		// The server answered before it read the body, and would take the next
		// request for the rest of it.
		return resp, false, nil
	}
}

// await reads the answer to o; late answers to other requests before it are
// passed over, and a connection that carried one is not used again.
func (c *directConn) await(o *Outgoing) (resp Answer, reuse bool, err error) {
	clean := true
	for range mostStray {
		resp, reuse, err = c.read(o.Method)
		if err != nil {
			return Answer{}, false, err
		}
		if o.answeredBy(&resp) {
			return resp, reuse && clean && c.r.Buffered() == 0, nil
		}
		clean = false
	}
	return Answer{}, false, errors.Wrap(ErrMalformed, "answers to other requests")
}

// answeredBy reports whether an answer belongs to the request. One without an
// id is a server's refusal before it looked at the request; where servers sign
// what they answer, a signed one without an id belongs to no request.
func (o *Outgoing) answeredBy(a *Answer) bool {
	id := a.Header.Get(o.Names.RequestID)
	if id != "" {
		return id == o.ID
	}
	return o.Names.Signature == "" || a.Header.Get(o.Names.Signature) == ""
}

// read reads one final answer.
func (c *directConn) read(method string) (resp Answer, reuse bool, err error) {
	req := http.Request{Method: method}
	for {
		r, err := http.ReadResponse(c.r, &req)
		if err != nil {
			return Answer{}, false, asMalformed(err)
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		body, err := readAll(r)
		_ = r.Body.Close()
		if err != nil {
			return Answer{}, false, err
		}
		c.setIdle(r.Header)
		return Answer{Status: r.StatusCode, Header: r.Header, Body: body}, !r.Close, nil
	}
}

// asMalformed tells bytes that are no answer from a connection that ended.
func asMalformed(err error) error {
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) {
		return err
	}
	return errors.Wrap(ErrMalformed, err.Error())
}

func readAll(r *http.Response) ([]byte, error) {
	if r.ContentLength > MaxAnswer {
		return nil, errors.Wrap(ErrMalformed, "answer is too long")
	}
	if n := r.ContentLength; n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r.Body, MaxAnswer+1))
	if err == nil && n > MaxAnswer {
		err = errors.Wrap(ErrMalformed, "answer is too long")
	}
	return buf.Bytes(), err
}

// setIdle notes until when the server keeps the connection while it is unused.
func (c *directConn) setIdle(h http.Header) {
	now := time.Now()
	c.until = now.Add(idleLife)
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			c.until = now.Add(min(idleLife, max(0, time.Duration(n)*time.Second-idleMargin)))
		}
	}
}
