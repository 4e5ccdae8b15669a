package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/netutil"
)

// gatedListener holds back Accept while the gate is closed, like a process that is busy.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// drainServer serves requests on a DrainListener; hold delays each answer until it is closed. With a
// gate, connections are accepted only once it is closed.
func drainServer(t *testing.T, gate chan struct{}, hold <-chan struct{}) (*http.Server, *DrainListener, chan error) {
	l, err := Listen("127.0.0.1:0", func(base net.Listener) net.Listener {
		if gate == nil {
			return base
		}
		return &gatedListener{base, gate}
	})
	require.NoError(t, err)
	srv := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold != nil {
			<-hold
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	return srv, l, ended
}

func readPath(r *bufio.Reader) (string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(b), err
}

// TestStopAnswersConnectionsThatWaitToBeAccepted opens connections and sends requests on them while
// the process does not accept, and then stops it: each request is answered.
func TestStopAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	const conns = 20
	gate := make(chan struct{})
	srv, l, ended := drainServer(t, gate, nil)
	var list []net.Conn
	for i := range conns {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		require.NoError(t, err)
		list = append(list, c)
	}
	stopped := make(chan error, 1)
	go func() {
		time.AfterFunc(20*time.Millisecond, func() { close(gate) })
		l.Drain(context.Background(), srv)
		stopped <- srv.Close()
	}()
	for i, c := range list {
		path, err := readPath(bufio.NewReader(c))
		require.NoError(t, err, "request %d", i)
		require.Equal(t, fmt.Sprint("/", i), path)
		require.NoError(t, c.Close())
	}
	require.NoError(t, <-stopped)
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
	_, err := net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}

// TestStopAnswersARequestThatIsHalfRead stops the server while half of a request has arrived, on a
// new connection and on one that has carried another request.
func TestStopAnswersARequestThatIsHalfRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		srv, l, ended := drainServer(t, nil, nil)
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		r := bufio.NewReader(c)
		if kept {
			_, err = io.WriteString(c, "GET /before HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(t, err)
			path, err := readPath(r)
			require.NoError(t, err)
			require.Equal(t, "/before", path)
		}
		_, err = io.WriteString(c, "GET /half HTTP/1.1\r\nHo")
		require.NoError(t, err)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			l.Drain(context.Background(), srv)
			_ = srv.Close()
		}()
		// The second half comes once the server no longer listens.
		eventually(t, func() bool {
			k, err := net.Dial("tcp", l.Addr().String())
			if err == nil {
				_ = k.Close()
			}
			return err != nil
		})
		_, err = io.WriteString(c, "st: x\r\n\r\n")
		require.NoError(t, err)
		path, err := readPath(r)
		require.NoError(t, err, "kept %t", kept)
		require.Equal(t, "/half", path)
		require.NoError(t, c.Close())
		<-stopped
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	}
}

// TestStopUnderLoadCutsNothingOff has callers open a connection for each request while the server
// stops: each request on an established connection is answered.
func TestStopUnderLoadCutsNothingOff(t *testing.T) {
	for range 3 {
		srv, l, ended := drainServer(t, nil, nil)
		var wg sync.WaitGroup
		var mu sync.Mutex
		cut := 0
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						return
					}
					_, err = io.WriteString(c, "GET /new HTTP/1.1\r\nHost: x\r\n\r\n")
					if err == nil {
						_, err = readPath(bufio.NewReader(c))
					}
					_ = c.Close()
					if err != nil {
						mu.Lock()
						cut++
						mu.Unlock()
						return
					}
				}
			}()
		}
		time.Sleep(5 * time.Millisecond)
		l.Drain(context.Background(), srv)
		require.NoError(t, srv.Close())
		wg.Wait()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
		require.Zero(t, cut)
	}
}

// TestIdleConnectionsDoNotDelayAStop has callers keep connections open without a request.
func TestIdleConnectionsDoNotDelayAStop(t *testing.T) {
	srv, l, ended := drainServer(t, nil, nil)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	r := bufio.NewReader(c)
	_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, err = readPath(r)
	require.NoError(t, err)
	l.Drain(context.Background(), srv)
	require.NoError(t, srv.Close())
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}

// TestLimitedListenerSeesUnreadBytes has a listener with a limit of connections, which wraps them: a
// request that has arrived and that nobody has read keeps its connection from counting as unused.
func TestLimitedListenerSeesUnreadBytes(t *testing.T) {
	l, err := Listen("127.0.0.1:0", func(base net.Listener) net.Listener { return netutil.LimitListener(base, 2) })
	require.NoError(t, err)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	l.ConnState(accepted, http.StateIdle)
	d := accepted.(*drainConn)
	require.True(t, d.unused(false))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	eventually(t, func() bool { return !d.unused(false) })
	require.NoError(t, d.CloseWrite())
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, accepted.Close())
	require.NoError(t, c.Close())
	require.NoError(t, l.Close())
}
