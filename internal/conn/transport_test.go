package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func transportTo(address string) *transport {
	return &transport{spares: &spares{address: address}, base: url.URL{Scheme: "http", Host: address}, limits: DefaultAnswerLimits()}
}

// echoServer starts a server that echoes request bodies and counts its connections.
func echoServer(t testing.TB) (*transport, *atomic.Int64) {
	t.Helper()
	var opened atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/close" {
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path == "/hints" {
			w.WriteHeader(http.StatusEarlyHints)
		}
		_, _ = io.Copy(w, r.Body)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	l := transportTo(s.Listener.Addr().String())
	t.Cleanup(func() { l.closeIdle(true) })
	return l, &opened
}

func TestTransportReusesConnections(t *testing.T) {
	l, opened := echoServer(t)
	for i, c := range []struct {
		path string
		want int64
	}{
		{SearchPath, 1}, {SearchPath, 1}, {"/hints", 1}, {SearchPath, 1}, {"/close", 1}, {SearchPath, 2}, {SearchPath, 2},
	} {
		body := fmt.Sprintf(`{"n":%d}`, i)
		a, err := l.post(context.Background(), c.path, http.Header{}, []byte(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.status)
		require.JSONEq(t, body, string(a.body))
		require.Equal(t, c.want, opened.Load(), "request %d to %s", i, c.path)
	}
	l.closeIdle(false)
	_, err := l.post(context.Background(), SearchPath, http.Header{}, []byte(`1`))
	require.NoError(t, err)
	require.Equal(t, int64(3), opened.Load())
	l.closeIdle(true)
	_, err = l.post(context.Background(), SearchPath, http.Header{}, []byte(`1`))
	require.NoError(t, err)
	require.Empty(t, l.idle.list, "no connection is kept after the final close")
}

// rawServer starts a server that runs f for each connection.
func rawServer(t *testing.T, f func(net.Conn)) *transport {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return transportTo(n.Addr().String())
}

// takeRequest reads one request from a connection and discards it.
func takeRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func TestConnectionThatTheServerClosedIsPassedOver(t *testing.T) {
	closed := make(chan struct{}, 1)
	l := rawServer(t, func(c net.Conn) {
		takeRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
		_ = c.Close()
		closed <- struct{}{}
	})
	for range 3 {
		_, err := l.post(context.Background(), SearchPath, http.Header{}, []byte(`1`))
		require.NoError(t, err)
		<-closed
		eventually(t, func() bool { return !isReusable(l.idle.list[0].conn) })
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan error, 2)
	arrived := make(chan struct{}, 2)
	l := rawServer(t, func(c net.Conn) {
		takeRequest(c)
		arrived <- struct{}{}
		_, err := c.Read(make([]byte, 1))
		gone <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := l.post(ctx, SearchPath, http.Header{}, []byte(`1`))
	require.ErrorIs(t, err, context.Canceled)
	require.Error(t, <-gone, "the server sees the cancellation")
	require.Empty(t, l.idle.list)

	ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err = l.post(ctx, SearchPath, http.Header{}, []byte(`1`))
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// lateContext is a context whose deadline has passed but whose timer has not fired yet.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now(), true }

func TestConnectionTimerMayFireBeforeContext(t *testing.T) {
	timeout := os.ErrDeadlineExceeded
	require.ErrorIs(t, ctxError(lateContext{context.Background()}, timeout), context.DeadlineExceeded)
	require.NoError(t, ctxError(lateContext{context.Background()}, nil))
	require.Equal(t, timeout, ctxError(context.Background(), timeout))
}

// TestBadAnswers checks that bad answers end in an error and use bounded memory.
func TestBadAnswers(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"empty answer", ""},
		{"not HTTP", "hello\r\n\r\n"},
		{"header cut short", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"},
		{"endless header", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Fill: "+strings.Repeat("x", 4000)+"\r\n", 2*(MaxAnswerBytes+1<<20)/4000)},
	} {
		l := rawServer(t, func(conn net.Conn) {
			takeRequest(conn)
			_, _ = io.WriteString(conn, c.text)
			_ = conn.Close()
		})
		_, err := l.post(context.Background(), SearchPath, http.Header{}, []byte(`1`))
		require.Error(t, err, c.name)
		require.Empty(t, l.idle.list, c.name)
	}
}

func BenchmarkPost(b *testing.B) {
	l, _ := echoServer(b)
	h := http.Header{"Content-Type": {"application/json"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.post(context.Background(), SearchPath, h, []byte(`{"x":1}`)); err != nil {
			b.Fatal(err)
		}
	}
}
