package conn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive probes: a
	// connection that stopped responding is detected within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// newConnCheckDelay is how long a new connection must stay open before a request that requires
	// a verified connection is sent on it: a server with too many connections resets new ones.
	newConnCheckDelay = 4 * time.Millisecond
	// goneCheckInterval is the minimum time between two dials that check whether a server that
	// broke a connection is gone, so that not every lost answer costs a connection.
	goneCheckInterval = time.Second
	goneDialTimeout   = 100 * time.Millisecond
	// directDialTimeout bounds the setup of a connection: three round trips between zones and a
	// busy listener.
	directDialTimeout = 120 * time.Millisecond
)

// Direct holds this node's own connections to one server.
type Direct struct {
	// Address is the server's TCP address.
	Address string
	// Server is the ID that the server must have.
	Server tier.ServerID
	// Born is the start of the server in Unix milliseconds, as it announced it.
	Born int64
	// Source is the local address of new connections; nil lets the system choose it.
	Source *net.TCPAddr
	// Limits bounds answers; nil means DefaultAnswerLimits.
	Limits *AnswerLimits
	// OnDial, if not nil, is called after each new connection is established.
	OnDial func()
	// OnStray, if not nil, is called for each Stray.
	OnStray func(Stray)
	// OnRepeat, if not nil, is called for each Repeat.
	OnRepeat func(Repeat)

	idle   idleStack[*directConn]
	opened atomic.Uint64

	// goneMu is held while NotListening dials the server; it guards the fields below.
	goneMu        sync.Mutex
	goneCheckedAt time.Time
	gone          bool
}

// Close closes the idle connections; a connection in use is closed after its request.
func (d *Direct) Close() { d.idle.closeAll(true) }

// CloseIdle closes the idle connections: if the state of one connection was lost, at the server or
// on the path to it, the state of the others may be lost too.
func (d *Direct) CloseIdle() { d.idle.closeAll(false) }

// Idle returns the number of idle connections.
func (d *Direct) Idle() int { return d.idle.size() }

// CloseExpired closes connections that have been idle for longer than the server or this node keeps
// them.
func (d *Direct) CloseExpired(now time.Time) {
	d.idle.closeExpired(func(c *directConn) bool { return now.After(c.idleUntil) })
}

// get returns an idle connection that has not carried the ID, or dials a new one. With verify, it has
// checked that the server leaves the new one open.
func (d *Direct) get(ctx context.Context, id string, verify bool) (*directConn, error) {
	if c := d.takeIdle(id); c != nil {
		return c, nil
	}
	return d.dial(ctx, verify)
}

// takeIdle returns an idle connection that has not carried the ID, or nil. The server has neither closed nor
// reset it, nor sent anything that could be taken for the next answer. An ID names a request, not one
// sending of it: a late second answer to an earlier sending would pass for the answer to the next one.
func (d *Direct) takeIdle(id string) *directConn {
	hash := hashID(id)
	var repeated *directConn
	fresh := func(c *directConn) bool {
		if id == "" {
			// The answer may have no ID, like a late one to any earlier request.
			return c.use.Place == 0
		}
		if !c.carried.contains(hash) {
			return true
		}
		repeated = c
		return false
	}
	c, ok := d.idle.pop(fresh)
	for ok && (time.Now().After(c.idleUntil) || !isReusable(c.conn)) {
		_ = c.conn.Close()
		c, ok = d.idle.pop(fresh)
	}
	if repeated != nil && d.OnRepeat != nil {
		d.OnRepeat(Repeat{Server: d.Server, Conn: repeated.use.Conn, Request: id})
	}
	if ok {
		return c
	}
	if repeated != nil {
		d.closeOneIdle()
	}
	return nil
}

// closeOneIdle closes an idle connection, so that a new one in its place does not exceed the server's limit.
func (d *Direct) closeOneIdle() {
	if c, ok := d.idle.pop(nil); ok {
		_ = c.conn.Close()
	}
}

// dial opens a connection. With verify, it has checked that the server leaves it open.
func (d *Direct) dial(ctx context.Context, verify bool) (*directConn, error) {
	dialer := net.Dialer{
		Timeout:         directDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	if d.Source != nil {
		dialer.LocalAddr = d.Source
	}
	c, err := dialer.DialContext(ctx, "tcp", d.Address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if d.OnDial != nil {
		d.OnDial()
	}
	if verify && !staysOpen(ctx, c) {
		_ = c.Close()
		return nil, errors.Wrap(ErrNotSent, "new connection did not stay open")
	}
	dc, err := newDirectConn(c.(*net.TCPConn))
	if err != nil {
		return nil, err
	}
	dc.use.Conn, dc.onStray = d.opened.Add(1), d.OnStray
	return dc, nil
}

// Probe reports whether the server accepts a new connection. It is kept for the next request, and replaces the idle ones,
// whose state may be lost on the path to the server.
func (d *Direct) Probe(ctx context.Context) bool {
	c, err := d.dial(ctx, true)
	if err != nil {
		return false
	}
	d.CloseIdle()
	c.idleUntil = time.Now().Add(maxDirectIdle)
	d.idle.push(c)
	return true
}

// staysOpen reports whether a new connection is still open after newConnCheckDelay.
func staysOpen(ctx context.Context, c net.Conn) bool {
	select {
	case <-time.After(newConnCheckDelay):
		return isReusable(c)
	case <-ctx.Done():
		return false
	}
}

// NotListening reports whether nothing listens at the server's address any more, as of a dial after a
// time. It dials at most once per goneCheckInterval; a call in between waits for the next dial.
func (d *Direct) NotListening(ctx context.Context, after time.Time) bool {
	d.goneMu.Lock()
	defer d.goneMu.Unlock()
	if d.goneCheckedAt.After(after) {
		return d.gone
	}
	if wait := goneCheckInterval - time.Since(d.goneCheckedAt); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	dialer := net.Dialer{Timeout: goneDialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", d.Address)
	if err == nil {
		_ = c.Close()
	}
	d.goneCheckedAt, d.gone = time.Now(), errors.Is(err, syscall.ECONNREFUSED)
	return d.gone
}

// Do sends a request and reads the whole answer. verify is for a request that must not run twice,
// or that a server has just refused: it is sent only on a connection that was checked to be open.
// The connection is closed when ctx ends, which cancels the request at the server. After an error
// other than ErrNotSent, the request may have run. No connection carries an ID twice; one
// that has carried as many as it can tell apart is closed.
func (d *Direct) Do(ctx context.Context, o *Outgoing, remaining time.Duration, verify bool) (Answer, error) {
	c, err := d.get(ctx, o.ID, verify)
	if err != nil {
		return Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	resp, reuse, err := c.exchange(o, d.limits(), d.Server, remaining)
	if stop() && err == nil && reuse && !c.carried.full() {
		d.idle.push(c)
		return resp, nil
	}
	_ = c.conn.Close()
	return resp, ctxError(ctx, err)
}

var defaultAnswerLimits = DefaultAnswerLimits()

func (d *Direct) limits() *AnswerLimits {
	if d.Limits == nil {
		return &defaultAnswerLimits
	}
	return d.Limits
}
