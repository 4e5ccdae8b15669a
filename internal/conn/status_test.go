package conn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// statusCases lists what a server sends before a second answer with the same ID, and the status that the request gets; 0 means
// none.
var statusCases = []struct {
	status string
	want   int
}{
	{"000", 0},
	{"001", 0},
	{"042", 0},
	{"099", 0},
	{"+42", 0},
	{"600", 600},
	{"999", 999},
}

// TestStatusBelow100IsNoAnswer guards against a server's answer that is taken for an interim one: the answer behind it, which has
// the same ID, is given to no request, and the connection ends. A status from 600 is one of a final answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, c := range statusCases {
		for _, interim := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n"} {
			d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
					id := directNames.RequestID + ": " + req.Header.Get(directNames.RequestID)
					_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 %s X\r\n%s\r\nContent-Length: 0\r\n\r\n%s", interim, c.status, id, answerTo(req, "second"))
				}
			})
			a, err := doSent(t, d, outgoing("own"))
			if c.want == 0 {
				require.ErrorIs(t, err, ErrMalformed, c.status)
				require.NotErrorIs(t, err, ErrNotSent, c.status)
			} else {
				require.NoError(t, err, c.status)
				require.Equal(t, c.want, a.Status)
				require.Empty(t, a.Body)
			}
			require.Zero(t, d.Idle(), c.status)
		}
	}
}

// TestStatusBelow100IsNoAnswerToASearch is the same for the connections of nodes of the serve kind.
func TestStatusBelow100IsNoAnswerToASearch(t *testing.T) {
	for _, c := range statusCases {
		d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				id := tier.HeaderRequestID + ": " + req.Header.Get(tier.HeaderRequestID)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\n{}", c.status, id, id)
			}
		})
		l := &transport{spares: &spares{address: d.Address}, base: url.URL{Scheme: "http", Host: d.Address}, limits: DefaultAnswerLimits()}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		a, err := l.post(ctx, "/x", http.Header{tier.HeaderRequestID: {"own"}}, []byte("{}"))
		if c.want == 0 {
			require.ErrorIs(t, err, ErrMalformed, c.status)
		} else {
			require.NoError(t, err)
			require.Equal(t, c.want, a.status)
		}
		cancel()
		l.closeIdle(true)
	}
}

// TestSplicedStatusOfAnyClass guards against an answer that goes on with one of an unusual status and is taken for whole.
func TestSplicedStatusOfAnyClass(t *testing.T) {
	for _, status := range []string{"000", "200", "999"} {
		require.True(t, holdsStatusLine("200 OHTTP/1.1 "+status+" X"), status)
	}
	require.False(t, holdsStatusLine("200 HTTP/1.1 is spoken here"))
}
