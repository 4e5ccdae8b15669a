package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallerSendsOnce resets a connection under its second request. The caller sees that as a failure: the transport
// must not send the request again by itself, under the name of the same sending.
func TestCallerSendsOnce(t *testing.T) {
	l, err := listenOn("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var got atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			for range 2 {
				if _, err := http.ReadRequest(in); err != nil {
					break
				}
				if got.Add(1) == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
			closeWithReset(c)
		}
	}()
	f := &Fleet{port: l.Addr().(*net.TCPAddr).Port, checker: newChecker()}
	h := &host{fleet: f, id: "127.0.0.1"}
	client := &http.Client{Transport: &http.Transport{}}
	require.Equal(t, http.StatusOK, f.request(t.Context(), client, h, http.MethodGet, "/read/", sending{id: "a"}, nil).status)
	require.Zero(t, f.request(t.Context(), client, h, http.MethodGet, "/read/", sending{id: "b"}, nil).status)
	require.EqualValues(t, 2, got.Load())
}
