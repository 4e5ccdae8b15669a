package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const anonymousRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"

// TestLateCopyOfARefusalIsNoAnswerToTheNextRequest has a server refuse a request without naming its
// ID, run the next one on the same connection, and send the refusal once more before that answer.
// The second request ran, so it must not be reported as not run.
func TestLateCopyOfARefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	refusal := anonymousRefusal + directNames.NotRun + ": 1\r\n\r\n"
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusBadRequest} {
		d := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			refused := 0
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				text := fmt.Sprintf("HTTP/1.1 %d refused\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, directNames.NotRun)
				if req.Header.Get(directNames.RequestID) == "first" {
					refused++
					_, _ = io.WriteString(c, text)
					continue
				}
				if refused > 0 {
					_, _ = io.WriteString(c, refusal)
				}
				_, _ = io.WriteString(c, answerTo(req, "ran"))
			}
		})
		a, err := doWithVerify(t, d, outgoing("first"), true)
		require.NoError(t, err, "a refusal that the server sent before it examined the request has no ID")
		require.Equal(t, status, a.Status)
		require.NotEmpty(t, a.Header.Get(directNames.NotRun))
		a, err = doWithVerify(t, d, outgoing("second"), true)
		require.NoError(t, err)
		require.Equal(t, "ran", string(a.Body))
	}
}

// TestAnonymousRefusalOnAUsedConnectionMayHaveRun has a server answer the second request on a
// connection by a refusal without an ID: it may be meant for the first one.
func TestAnonymousRefusalOnAUsedConnectionMayHaveRun(t *testing.T) {
	d := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
			if req.Header.Get(directNames.RequestID) == "first" {
				_, _ = io.WriteString(c, answerTo(req, "ran"))
				continue
			}
			_, _ = io.WriteString(c, anonymousRefusal+directNames.NotRun+": 1\r\n\r\n")
		}
	})
	_, err := doWithVerify(t, d, outgoing("first"), true)
	require.NoError(t, err)
	require.Equal(t, 1, d.Idle())
	_, err = doWithVerify(t, d, outgoing("second"), true)
	require.ErrorIs(t, err, ErrMalformed)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Zero(t, d.Idle(), "the connection is closed")
}

// TestBytesOnAnIdleConnection has a server send bytes on a connection after it was checked and
// before the next request is written on it: the answer to an earlier request is skipped, and what
// cannot be assigned is an error that does not claim that the request did not run.
func TestBytesOnAnIdleConnection(t *testing.T) {
	for _, c := range []struct {
		name, stray string
		ok          bool
	}{
		{"answer to another request", "HTTP/1.1 200 OK\r\n" + directNames.RequestID + ": first\r\nContent-Length: 4\r\n\r\nold!", true},
		{"refusal without an ID", anonymousRefusal + directNames.NotRun + ": 1\r\n\r\n", false},
		{"time-out without an ID", "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
		{"success without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nold!", false},
		{"no answer", "\x00\x01\x02\r\n\r\n", false},
	} {
		sent, strayed := make(chan struct{}), make(chan struct{})
		d := scriptedServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(conn, answerTo(req, "of "+req.Header.Get(directNames.RequestID)))
				if n == 0 && req.Header.Get(directNames.RequestID) == "first" {
					<-sent
					_, _ = io.WriteString(conn, c.stray)
					close(strayed)
				}
			}
		})
		_, err := do(t, d, outgoing("first"))
		require.NoError(t, err, c.name)
		// The connection is taken as checked, then the bytes arrive, then the request is written.
		dc, err := d.get(context.Background(), "second", true)
		require.NoError(t, err, c.name)
		close(sent)
		<-strayed
		a, reuse, err := dc.exchange(outgoing("second"), d.limits(), "s1", time.Second)
		require.Equal(t, c.ok, err == nil, "%s: %v", c.name, err)
		if c.ok {
			require.Equal(t, "of second", string(a.Body), c.name)
		}
		require.False(t, reuse, c.name)
		require.NotErrorIs(t, err, ErrNotSent, c.name)
		require.NotErrorIs(t, err, ErrRefused, c.name)
		require.NoError(t, dc.Close())
	}
}

// TestLateCopiesAreNoAnswersToFirstNodes has a server of the owners' protocol refuse a search, run
// the next one on the same connection and send a copy of the refusal before its answer.
func TestLateCopiesAreNoAnswersToFirstNodes(t *testing.T) {
	snapshot := tier.Snapshot{Version: 7, Shards: 1}
	for _, c := range []struct{ name, refusal string }{
		{"not run", "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: first\r\n" + tier.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"not held", "HTTP/1.1 409 Conflict\r\nX-Request-Id: first\r\nContent-Length: 0\r\n\r\n"},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: first\r\nContent-Length: 0\r\n\r\n"},
		{"not run, without an ID", anonymousRefusal + tier.HeaderNotRun + ": 1\r\n\r\n"},
	} {
		l := rawServer(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(conn, c.refusal)
			}
		})
		sent := http.Header{tier.HeaderRequestID: {"second"}, tier.HeaderVersion: {"7"}, tier.HeaderShard: {"0/1"}}
		a, err := l.post(context.Background(), SearchPath, sent, []byte(`1`))
		require.NoError(t, err, c.name)
		rep := Reply{}
		applySearchAnswer(sent, snapshot, a, &rep)
		require.Equal(t, ResultFailed, rep.Result, c.name)
		require.Equal(t, tier.ReasonTruncated, rep.Reason, c.name)
		require.Empty(t, l.idle.list, "%s: a connection that carried an answer to another request is closed", c.name)
	}
}

// TestServerThatDiesInTheMiddleOfAHeadIsDead has a server break off in a header line and stop
// listening: the answer is malformed, and the death is noticed.
func TestServerThatDiesInTheMiddleOfAHeadIsDead(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := n.Accept()
		if err != nil {
			return
		}
		takeRequest(c)
		_ = n.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Requ")
		_ = c.Close()
	}()
	deaths := 0
	o := &Owner{
		Clock: tier.NewClock(), MaySend: func(tier.ServerID) bool { return true }, Limits: DefaultAnswerLimits(),
		Settings: func(tier.Service, tier.ServerID) Settings {
			return Settings{MaxQueue: 1, SilenceTimeout: 10 * time.Second}
		},
		OnDeath:    func(Death) { deaths++ },
		OnSilent:   func(tier.ServerID, tier.RequestID) {},
		OnRejected: func(tier.ServerID, tier.RequestID, tier.Reason) {},
	}
	o.Update(map[tier.ServerID]tier.Announcement{"s1": {Server: "s1", Instance: 1, Address: n.Addr().String(), Slots: 1, Conns: 1}}, func(tier.Announcement) bool { return false })
	rep := o.Query(context.Background(), &Batch{Request: "id", Body: []byte(`1`)}, Sub{Server: "s1"}, o.Clock.Now()+10*time.Second)
	require.Equal(t, ResultFailed, rep.Result)
	require.Equal(t, tier.ReasonTruncated, rep.Reason)
	require.True(t, rep.Died)
	require.Equal(t, 1, deaths)
}

// TestLateSecondAnswerIsNotTakenForARepeat sends requests once more over the connections that carried them. The server answers
// each request, and before its next answer to the same ID on a connection it sends a second answer to the earlier one.
func TestLateSecondAnswerIsNotTakenForARepeat(t *testing.T) {
	text := func(id string, status int, header string) string {
		return fmt.Sprintf("HTTP/1.1 %d -\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", status, directNames.RequestID, id, header)
	}
	for _, c := range []struct {
		name          string
		answer, stray int
		strayHeader   string
	}{
		{"a success after a failure", http.StatusInternalServerError, http.StatusOK, ""},
		{"a refusal after a run", http.StatusOK, http.StatusServiceUnavailable, directNames.NotRun + ": 1\r\n"},
	} {
		for _, order := range [][]string{{"a", "a"}, {"a", "a", "a"}, {"a", "b", "a"}, {"a", "b", "c", "b", "a"}} {
			d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				answered := map[string]bool{}
				for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
					id := req.Header.Get(directNames.RequestID)
					out := text(id, c.answer, "")
					if answered[id] {
						out = text(id, c.stray, c.strayHeader) + out
					}
					answered[id] = true
					_, _ = io.WriteString(conn, out)
				}
			})
			for i, id := range order {
				a, err := do(t, d, outgoing(id))
				require.NoError(t, err, "%s: request %d of %v", c.name, i, order)
				require.Equal(t, c.answer, a.Status, "%s: request %d of %v", c.name, i, order)
				require.Empty(t, a.Header.Get(directNames.NotRun), "%s: request %d of %v", c.name, i, order)
			}
		}
	}
}
