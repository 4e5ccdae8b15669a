package conn

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// directBufferBytes is the size of a connection's read buffer; most answers fit into it.
	directBufferBytes = 2 << 10
	// idleMargin is subtracted from the idle timeout that a server announces, to cover the network
	// delay of a request that is sent just before the timeout.
	idleMargin = 500 * time.Millisecond
	// maxAnswersRead is how many answers are read to find the one that matches the request; the
	// others are late answers to other requests.
	maxAnswersRead = 3
	// maxDirectIdle is how long an unused connection is kept. A server counts the connections of
	// nodes that lost power until they time out, and must have room for these nodes' connections
	// when they are back.
	maxDirectIdle = 4 * time.Second
	// earlyResetWindow is the time after sending a request within which a reset of a new connection
	// counts as a refusal of the connection: a round trip and a slow wake-up.
	earlyResetWindow = 8 * time.Millisecond
	// longBodyBytes is the size from which a request's body is written concurrently with reading
	// the answer, since a server may answer before it has read the body.
	longBodyBytes = 8 << 10
)

// directConn is a connection to a server that carries one request at a time.
type directConn struct {
	conn      *net.TCPConn
	raw       syscall.RawConn
	answers   *answerReader
	idleUntil time.Time
	// firstExchange is set until the first exchange has ended; sentAt is when the last pending
	// request was written.
	firstExchange bool
	sentAt        time.Time
	// pending is an encoded request that the next Read writes.
	pending []byte
	// ended is set once the connection has ended, or reading from it has failed.
	ended bool
	// use is the current use; carried holds the IDs of the requests of all uses.
	use     Use
	carried history
	// onStray, if not nil, is called for each Stray.
	onStray func(Stray)
}

// Close closes the connection.
func (c *directConn) Close() error { return c.conn.Close() }

func newDirectConn(c *net.TCPConn) (*directConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	d := &directConn{conn: c, raw: raw, firstExchange: true}
	d.answers = newAnswerReader(d, directBufferBytes)
	return d, nil
}

// Read reads from the connection, and notes its end.
func (c *directConn) Read(p []byte) (n int, err error) {
	n, err = c.read(p)
	c.ended = c.ended || err != nil
	return n, err
}

// read reads from the connection. A pending request is written first, inside the wait for
// readiness: its answer cannot have arrived yet, so the first read, which would find no data, is
// skipped.
func (c *directConn) read(p []byte) (n int, err error) {
	if len(c.pending) == 0 {
		return c.conn.Read(p)
	}
	b := c.pending
	c.pending = nil
	c.sentAt = time.Now()
	var werr, rerr error
	written := false
	err = c.raw.Read(func(fd uintptr) bool {
		if !written {
			written = true
			var k int
			k, werr = retryInterrupted(func() (int, error) { return unix.Write(int(fd), b) })
			b = b[max(k, 0):]
			return len(b) > 0
		}
		n, rerr = retryInterrupted(func() (int, error) { return unix.Read(int(fd), p) })
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

// retryInterrupted repeats a system call that was interrupted by a signal.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func (c *directConn) exchange(o *Outgoing, l *AnswerLimits, server tier.ServerID, remaining time.Duration) (resp Answer, reuse bool, err error) {
	b := make([]byte, 0, len(o.Head)+len(o.Body)+128)
	b = append(b, o.Head...)
	b = appendField(b, o.Names.Deadline, strconv.FormatInt(int64(tier.ToMillis(max(remaining, time.Millisecond))), 10))
	if o.Names.Expect != "" {
		b = appendField(b, o.Names.Expect, string(server))
	}
	b = append(b, "\r\n"...)
	b = append(b, o.Body...)
	c.use.Place++
	defer c.carried.add(hashID(o.ID))
	written := make(chan error, 1)
	if len(o.Body) < longBodyBytes {
		c.pending = b
		written <- nil
	} else {
		go func() {
			_, err := c.conn.Write(b)
			written <- err
		}()
	}
	resp, reuse, err = c.readMatching(o, l, server)
	resp.Use, resp.Ended = c.use, c.ended
	if c.firstExchange && errors.Is(err, syscall.ECONNRESET) && time.Since(c.sentAt) < earlyResetWindow {
		err = errors.Wrap(ErrRefused, err.Error())
	}
	c.firstExchange = false
	if err != nil {
		return resp, false, tier.At("read answer", string(server), err)
	}
	select {
	case werr := <-written:
		return resp, reuse && werr == nil, nil
	default:
		// The server answered before it had read the body, and would read the next request as the
		// rest of the body.
		return resp, false, nil
	}
}

// readMatching reads the answer to o. Late answers to other requests that the connection has carried are
// skipped before it, and the connection is not reused. Any other answer that does not name o may be the answer
// to o all the same, so that the one behind it, which names o, would be a second one: it is malformed.
// A connection that carried an answer without an ID is not reused: a second copy of it could not be told from
// the answer to the next request.
func (c *directConn) readMatching(o *Outgoing, l *AnswerLimits, server tier.ServerID) (resp Answer, reuse bool, err error) {
	clean := true
	for range maxAnswersRead {
		resp, reuse, err = c.readFinal(o, l)
		if err != nil {
			return Answer{}, false, err
		}
		switch o.match(&resp) {
		case matchOwn:
			if err := c.checkWhole(o, &resp, reuse, server); err != nil {
				return Answer{}, false, err
			}
			return resp, reuse && clean && c.answers.idle(), nil
		case matchAnonymous:
			if c.firstExchange {
				return resp, false, nil
			}
			return Answer{}, false, c.reject(StrayUnnamed, o, server, &resp, "answer without an ID on a connection that had carried another request")
		case matchOther:
			if ids := resp.Header.Values(o.Names.RequestID); len(ids) != 1 || !c.carried.contains(hashID(ids[0])) {
				return Answer{}, false, c.reject(StrayOther, o, server, &resp, "answer names no request that the connection has carried")
			}
			resp.Reservation.Release()
			c.discarded(StrayOther, o, server, &resp)
			clean = false
		}
	}
	return Answer{}, false, errors.Wrap(ErrMalformed, "received only answers to other requests")
}

// checkWhole returns an error if another answer begins within the own one, and reports bytes behind it.
func (c *directConn) checkWhole(o *Outgoing, a *Answer, reuse bool, server tier.ServerID) error {
	if headSpliced(a.Header, o.Names) || c.spliced(o, a, reuse) {
		return c.reject(StraySpliced, o, server, a, errSpliced.Error())
	}
	if !c.answers.idle() {
		c.discarded(StrayTrailing, o, server, nil)
	}
	return nil
}

// reject reports a Stray after which the connection cannot be used, and returns the error for the request.
func (c *directConn) reject(kind StrayKind, o *Outgoing, server tier.ServerID, a *Answer, why string) error {
	a.Reservation.Release()
	c.discarded(kind, o, server, a)
	return errors.Wrap(ErrMalformed, why)
}

// discarded reports a Stray; a is nil for trailing bytes.
func (c *directConn) discarded(kind StrayKind, o *Outgoing, server tier.ServerID, a *Answer) {
	if c.onStray == nil {
		return
	}
	s := Stray{Kind: kind, Server: server, Use: c.use, Request: o.ID}
	if a != nil {
		s.Status, s.Answer = a.Status, a.Header.Get(o.Names.RequestID)
		s.Earlier = s.Answer != "" && c.carried.contains(hashID(s.Answer))
	}
	c.onStray(s)
}

// match tells whose answer an answer is.
type match uint8

// Values of match.
const (
	// matchOther is an answer to another request, or to none.
	matchOther match = iota
	// matchOwn is an answer that names the request.
	matchOwn
	// matchAnonymous is an answer without an ID: a refusal that the server sent before it examined a
	// request, or an answer to a request that had no ID.
	matchAnonymous
)

// match compares an answer with the request; each ID in the answer counts. Where servers sign their
// answers, a signed answer without an ID belongs to no request.
func (o *Outgoing) match(a *Answer) match {
	ids := a.Header.Values(o.Names.RequestID)
	for _, id := range ids {
		if id != "" && id != o.ID {
			return matchOther
		}
	}
	switch {
	case slices.ContainsFunc(ids, func(id string) bool { return id != "" }):
		return matchOwn
	case o.Names.Signature != "" && a.Header.Get(o.Names.Signature) != "":
		return matchOther
	}
	return matchAnonymous
}

// readFinal reads one final answer.
func (c *directConn) readFinal(o *Outgoing, l *AnswerLimits) (resp Answer, reuse bool, err error) {
	a, err := c.answers.next(&http.Request{Method: o.Method}, l, o.MaxBody)
	if err != nil {
		return Answer{}, false, err
	}
	c.setIdleLimit(a.header)
	return Answer{Status: a.status, Header: a.header, Body: a.body, Reservation: a.reservation}, !a.closing, nil
}

// setIdleLimit records until when the unused connection may be kept, from the Keep-Alive header.
func (c *directConn) setIdleLimit(h http.Header) {
	now := time.Now()
	c.idleUntil = now.Add(maxDirectIdle)
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			c.idleUntil = now.Add(min(maxDirectIdle, max(0, time.Duration(n)*time.Second-idleMargin)))
		}
	}
}
