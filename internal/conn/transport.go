package conn

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// connBufferBytes is the size of a connection's read buffer and of its write buffer.
	connBufferBytes = 4 << 10
)

// persistConn is a connection to a server that carries one request at a time.
type persistConn struct {
	conn      net.Conn
	answers   *answerReader
	w         *bufio.Writer
	idleSince time.Time
	// use is the current use; carried holds the IDs of the sendings of all uses.
	use     Use
	carried history
}

func newPersistConn(c net.Conn) *persistConn {
	return &persistConn{conn: c, answers: newAnswerReader(c, connBufferBytes), w: bufio.NewWriterSize(c, connBufferBytes)}
}

// transport keeps the idle connections to one server. A request is written and its answer read in
// the calling goroutine, while http.Transport uses two goroutines per connection.
type transport struct {
	spares *spares
	base   url.URL
	limits AnswerLimits
	server tier.ServerID
	// onStray, if not nil, is called for each Stray.
	onStray func(Stray)

	idle   idleStack[*persistConn]
	opened atomic.Uint64
}

// Close closes the connection.
func (c *persistConn) Close() error { return c.conn.Close() }

// get returns an idle connection that the server has not closed, or a new one.
func (l *transport) get(ctx context.Context) (*persistConn, error) {
	for c, ok := l.idle.pop(nil); ok; c, ok = l.idle.pop(nil) {
		if time.Since(c.idleSince) < MaxConnIdle && c.answers.idle() && isReusable(c.conn) {
			return c, nil
		}
		_ = c.conn.Close()
	}
	c, err := l.spares.dial(ctx)
	if err != nil {
		return nil, err
	}
	pc := newPersistConn(c)
	pc.use.Conn = l.opened.Add(1)
	return pc, nil
}

func (l *transport) put(c *persistConn) {
	c.idleSince = time.Now()
	l.idle.push(c)
}

// expire closes the connections that have been idle for too long.
func (l *transport) expire() {
	l.idle.closeExpired(func(c *persistConn) bool { return time.Since(c.idleSince) >= MaxConnIdle })
}

// closeIdle closes the idle and the spare connections. If final is set, later ones are closed too.
func (l *transport) closeIdle(final bool) {
	l.spares.closeAll(final)
	l.idle.closeAll(final)
}

// post sends one request and reads the whole answer. The connection is closed when ctx ends, which
// cancels the request at the server.
func (l *transport) post(ctx context.Context, path string, h http.Header, body []byte) (answer, error) {
	c, err := l.get(ctx)
	if err != nil {
		return answer{}, ctxError(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	u := l.base
	u.Path = path
	req := &http.Request{Method: http.MethodPost, URL: &u, Host: u.Host, Header: h, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	a, reuse, err := c.exchange(req, &l.limits)
	if err == nil {
		l.reportStray(c, req, &a)
	}
	c.carried.add(hashID(h.Get(tier.HeaderRequestID)))
	if !stop() {
		return a, ctxError(ctx, err)
	}
	if err == nil && reuse {
		l.put(c)
		return a, nil
	}
	_ = c.conn.Close()
	return a, err
}

// reportStray reports an answer that belongs to another sending, or bytes that follow the own one.
func (l *transport) reportStray(c *persistConn, req *http.Request, a *answer) {
	sent, got := req.Header.Get(tier.HeaderRequestID), a.header.Get(tier.HeaderRequestID)
	if l.onStray == nil || (got == sent && c.answers.idle()) {
		return
	}
	s := Stray{Kind: StrayTrailing, Server: l.server, Use: c.use, Request: string(requestOf(sent))}
	if got != sent {
		s.Kind, s.Status, s.Answer, s.Earlier = StrayOther, a.status, got, got != "" && c.carried.contains(hashID(got))
	}
	if got == "" {
		s.Kind = StrayUnnamed
	}
	l.onStray(s)
}

// ctxError returns the context's error if the context ended before the answer arrived, otherwise
// err. A connection enforces the context's deadline by a timer of its own, which may fire before
// the context's.
func ctxError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) {
		return context.DeadlineExceeded
	}
	return err
}

// exchange writes a request and reads its answer; reuse means that the connection may carry another
// request. A connection that carried an answer to another request may not: the own answer may follow.
func (c *persistConn) exchange(req *http.Request, l *AnswerLimits) (a answer, reuse bool, err error) {
	c.use.Place++
	if err := req.Write(c.w); err != nil {
		return answer{}, false, err
	}
	if err := c.w.Flush(); err != nil {
		return answer{}, false, err
	}
	a, err = c.answers.next(req, l, 0)
	switch {
	case a.status != 0 && errors.Is(err, io.ErrUnexpectedEOF):
		return a, false, errTruncated
	case err != nil:
		return a, false, err
	case headSpliced(a.header, nil):
		a.reservation.Release()
		return answer{status: a.status}, false, errTruncated
	case a.status == http.StatusOK && !json.Valid(a.body):
		a.reservation.Release()
		return answer{status: a.status}, false, errTruncated
	}
	own := a.header.Get(tier.HeaderRequestID) == req.Header.Get(tier.HeaderRequestID)
	return a, own && !a.closing, nil
}
