package client

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestStatusBelow100IsNoResponse guards against a response without a valid status that is given to the caller, or taken for a
// refusal by the entry; and against the response behind it.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "042", "099"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status)
				}()
			}
		}()
		cl := &Client{Entries: []string{l.Addr().String()}}
		cl.cachedEntries, cl.cachedUntil = cl.Entries, time.Now().Add(time.Hour)
		for range 3 {
			err = cl.Do(testContext(t), l.Addr().String(), http.MethodGet, "/v1/entries", nil, &tier.EntriesAnswer{})
			require.ErrorIs(t, err, ErrNoStatus)
			req, err := http.NewRequest(http.MethodGet, "http://x.example/", nil)
			require.NoError(t, err)
			resp, err := cl.Forward(testContext(t), req)
			require.ErrorIs(t, err, ErrNoStatus)
			require.Nil(t, resp)
		}
		_ = l.Close()
	}
}
