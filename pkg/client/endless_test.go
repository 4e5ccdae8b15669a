package client

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestEndlessResponsesEndAtALimit has an entry send bytes without end: the client ends with an error
// and closes the connection.
func TestEndlessResponsesEndAtALimit(t *testing.T) {
	for _, c := range []struct{ name, first, again string }{
		{"header", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\nX-Fill: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10)},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Read(make([]byte, 4096))
			_, err = io.WriteString(conn, c.first)
			for err == nil {
				_, err = io.WriteString(conn, c.again)
			}
		}()
		cl := &Client{Entries: []string{l.Addr().String()}}
		var a tier.EntriesAnswer
		err = cl.Do(testContext(t), l.Addr().String(), http.MethodGet, "/v1/entries", nil, &a)
		require.Error(t, err, c.name)
		if strings.HasPrefix(c.first, "HTTP/1.1 200 OK\r\n") && c.name != "header" {
			require.ErrorIs(t, err, ErrResponseTooLong, c.name)
		}
		select {
		case <-closed:
		case <-time.After(time.Minute):
			require.Fail(t, "the connection is still open", c.name)
		}
		_ = l.Close()
	}
}
