package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// bodyServer serves requests whose bodies are read as those of callers; after calls the handler
// between reading and answering.
func bodyServer(t *testing.T, limits CallerLimits, budget *conn.Budget, after func(*http.Request)) string {
	n := &Node{Settings: Settings{Limits: limits}, Names: tier.DefaultHeaders(), budget: budget}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in, room, status := n.readRequest(w, r)
		defer room.Release()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if after != nil {
			after(r)
		}
		_, _ = fmt.Fprintf(w, "%d bytes, %t", len(in.Body), r.Context().Err() == nil)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestBodyThatDoesNotArriveIsGivenUp has a caller send a body a byte at a time without end.
func TestBodyThatDoesNotArriveIsGivenUp(t *testing.T) {
	const wait = 200 * time.Millisecond
	for _, c := range []struct {
		name, header string
		timeout      time.Duration
	}{
		{"caller's deadline", "X-Deadline-Ms: 200\r\n", time.Hour},
		{"caller's deadline, no time limit", "X-Deadline-Ms: 200\r\n", 0},
		{"time limit", "", wait},
		{"time limit before the caller's deadline", "X-Deadline-Ms: 3600000\r\n", wait},
	} {
		budget := &conn.Budget{Limit: 1 << 20}
		address := bodyServer(t, CallerLimits{BodyBytes: 1 << 20, BodyTimeout: c.timeout}, budget, nil)
		k, err := net.Dial("tcp", address)
		require.NoError(t, err)
		began := time.Now()
		_, err = io.WriteString(k, "POST / HTTP/1.1\r\nHost: x\r\n"+c.header+"Transfer-Encoding: chunked\r\n\r\n")
		require.NoError(t, err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
				_, err = io.WriteString(k, "1\r\nx\r\n")
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(k), nil)
		require.NoError(t, err, c.name)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode, c.name)
		require.GreaterOrEqual(t, time.Since(began), wait, c.name)
		require.Zero(t, budget.Held(), c.name)
		require.NoError(t, k.Close())
		<-ended
	}
}

// TestDeadlineOfABodyEndsWithIt has the handler go on for longer than the body's time limit: the
// request is not cancelled, and the connection is used again.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	const wait = 50 * time.Millisecond
	address := bodyServer(t, CallerLimits{BodyBytes: 1 << 20, BodyTimeout: wait}, nil, func(*http.Request) { time.Sleep(3 * wait) })
	k, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = k.Close() }()
	r := bufio.NewReader(k)
	for range 3 {
		_, err = io.WriteString(k, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
		require.NoError(t, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "5 bytes, true", string(b))
	}
}

// TestAnnouncementThatDoesNotArriveIsGivenUp has a server send an announcement without end.
func TestAnnouncementThatDoesNotArriveIsGivenUp(t *testing.T) {
	n := &Node{Settings: Settings{Limits: CallerLimits{HeaderTimeout: time.Minute, BodyTimeout: 200 * time.Millisecond}}}
	read := make(chan error, 1)
	srv := n.httpServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := ReadDocument(r.Body)
		read <- err
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	k, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(k, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	require.NoError(t, err)
	for err == nil {
		time.Sleep(time.Millisecond)
		_, err = io.WriteString(k, "1\r\nx\r\n")
	}
	var timeout net.Error
	require.ErrorAs(t, <-read, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, k.Close())
	require.NoError(t, srv.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}

// TestBodiesShareTheBudget has a body that holds most of the budget while another one arrives.
func TestBodiesShareTheBudget(t *testing.T) {
	budget := &conn.Budget{Limit: 100 << 10}
	arrived, release := make(chan struct{}), make(chan struct{})
	address := bodyServer(t, CallerLimits{BodyBytes: 1 << 20}, budget, func(r *http.Request) {
		if r.URL.Path == "/first" {
			close(arrived)
			<-release
		}
	})
	post := func(path string, size int) int {
		resp, err := http.Post("http://"+address+path, "", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	first := make(chan int)
	go func() { first <- post("/first", 80<<10) }()
	<-arrived
	require.Equal(t, http.StatusServiceUnavailable, post("/second", 80<<10))
	require.Equal(t, http.StatusOK, post("/small", 2<<10), "a small body needs no room")
	require.Equal(t, http.StatusRequestEntityTooLarge, post("/long", 2<<20))
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Eventually(t, func() bool { return budget.Held() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, post("/second", 80<<10))
}
