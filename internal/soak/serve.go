package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Headers of the soak's own, which nodes pass on: the sending that a request belongs to, and the run of an answer.
const (
	headerSending = "X-Soak-Sending"
	headerRun     = "X-Soak-Run"
)

// reply is what a server writes in answer to a request.
type reply struct {
	status int
	// id is the request id; if it is empty, the reply names no request.
	id     string
	run    string
	notRun bool
	body   []byte
}

func (p reply) encode() []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n", p.status, http.StatusText(p.status), len(p.body), headerRun, p.run)
	if p.id != "" {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", tier.HeaderRequestID, p.id)
	}
	if p.notRun {
		_, _ = fmt.Fprintf(&b, "%s: 1\r\n", tier.HeaderNotRun)
	}
	b.WriteString("\r\n")
	b.Write(p.body)
	return b.Bytes()
}

// serverConn is an accepted connection of a server. It writes answers itself, since net/http cannot answer a request
// twice.
type serverConn struct {
	server *server
	conn   net.Conn

	// mu orders answers and late second answers.
	mu sync.Mutex
	// held is a second answer that is due right before the next answer.
	held []byte
}

func (c *serverConn) write(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.conn.Write(b)
	return err
}

func (s *server) accept(l net.Listener) {
	defer s.wait.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.crashed || s.listener != l {
			_ = c.Close()
		} else {
			s.conns[c] = true
			s.wait.Add(1)
			go s.serve(&serverConn{server: s, conn: c})
		}
		s.mu.Unlock()
	}
}

// serve handles the requests of a connection until it is closed.
func (s *server) serve(c *serverConn) {
	defer s.wait.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c.conn)
		_ = c.conn.Close()
	}()
	for in := bufio.NewReader(c.conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || s.handle(c, r, body) != nil {
			return
		}
	}
}

// handle runs a request, records it and answers it.
func (s *server) handle(c *serverConn, r *http.Request, body []byte) error {
	id, sending := r.Header.Get(tier.HeaderRequestID), r.Header.Get(headerSending)
	if want := r.Header.Get(tier.DefaultHeaders().Expect); want != "" && want != s.id {
		return c.write(reply{status: http.StatusMisdirectedRequest, id: id}.encode())
	}
	if !strings.HasPrefix(sending, id+"/") {
		s.checker.report("%s got the request %q with the header of sending %q", s.id, id, sending)
	}
	s.checker.checkTenant(sending, r.Header)
	p := s.plan(r.Method)
	if r.URL.Path == longPath {
		p.status, p.delay = http.StatusServiceUnavailable, longWork
	}
	if p.status == http.StatusServiceUnavailable {
		s.checker.recordRefusal(sending, s.service, p.afterDrain)
	} else {
		s.checker.recordRun(sending, s.service, p.afterDrain)
	}
	if r.URL.Path == crashPath {
		s.crashLater()
		return net.ErrClosed
	}
	if p.endless {
		stand.WriteEndless(c.conn, p.endlessKind, tier.HeaderRequestID, id)
		return net.ErrClosed
	}
	time.Sleep(p.delay)
	first := reply{status: p.status, id: id, notRun: p.status == http.StatusServiceUnavailable}
	first.run = s.checker.newRun()
	first.body = s.payload(r.Method, sending+"#"+first.run, body)
	s.checker.recordAnswer(string(first.body), given{sending: sending, id: id, run: first.run, shard: s.shard, status: p.status})
	return s.answer(c, first)
}

// payload returns a body that names its run. A second answer has the same body as the first, so that it can be traced.
func (s *server) payload(method, run string, body []byte) []byte {
	if s.service != deskService {
		return stand.Records(run, s.shard)
	}
	return fmt.Appendf(nil, "%s %s of %s", method, body, run)
}
