package conn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoConnectionCarriesAnIDTwice sends IDs in several orders; want lists the connection of each request.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	for _, c := range []struct {
		ids  []string
		want []uint64
	}{
		{[]string{"a", "b", "c"}, []uint64{1, 1, 1}},
		{[]string{"a", "a", "a"}, []uint64{1, 2, 3}},
		{[]string{"a", "a", "b", "a", "b", "c"}, []uint64{1, 2, 2, 3, 3, 3}},
		{[]string{"a", "b", "b", "a", "c"}, []uint64{1, 1, 2, 2, 2}},
	} {
		d := answeringServer(t, func(_ int, req *http.Request) string {
			return answerTo(req, "ok")
		})
		var got []uint64
		for i, id := range c.ids {
			a, err := doWithVerify(t, d, outgoing(id), i%2 == 0)
			require.NoError(t, err)
			got = append(got, a.Use.Conn)
		}
		require.Equal(t, c.want, got, "%v", c.ids)
		require.Equal(t, 1, d.Idle(), "%v: a new connection replaces one that has carried the ID", c.ids)
	}
}

// TestConnectionIsClosedWhenItsHistoryIsFull sends more requests than a connection can tell apart.
func TestConnectionIsClosedWhenItsHistoryIsFull(t *testing.T) {
	d := answeringServer(t, func(_ int, req *http.Request) string {
		return answerTo(req, "ok")
	})
	for i := range 2*maxHistory + 1 {
		a, err := do(t, d, outgoing(fmt.Sprint("id", i)))
		require.NoError(t, err)
		require.Equal(t, Use{Conn: uint64(i/maxHistory) + 1, Place: i%maxHistory + 1}, a.Use)
	}
	require.Equal(t, 1, d.Idle())
}

// TestRepeatsStayWithinTheServersConnections sends one ID again and again to a server that resets connections beyond two.
func TestRepeatsStayWithinTheServersConnections(t *testing.T) {
	var open atomic.Int64
	d := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer open.Add(-1)
		if open.Add(1) > 2 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
			_, _ = io.WriteString(c, answerTo(req, "ok"))
		}
	})
	for range 40 {
		_, err := do(t, d, outgoing("a"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return open.Load() == 1 }, 10*time.Second, time.Millisecond, "the connections before are closed")
	}
}
