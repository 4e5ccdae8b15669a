package conn

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// scriptedSecond starts a server that answers the first request on a connection, and sends before the answer to the second one, or
// in its place, what second returns.
func scriptedSecond(t *testing.T, second string) *Direct {
	return scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if req := readRequest(t, r); req != nil {
			_, _ = io.WriteString(conn, answerTo(req, "own"))
		}
		if readRequest(t, r) != nil {
			_, _ = io.WriteString(conn, second)
		}
	})
}

// TestRequestWithoutAnIDGetsNoEarlierRefusal sends a request without an ID after one with an ID: a refusal without an ID that comes
// on the connection of the earlier request may be meant for that one, so that it does not tell that the later one has not run.
func TestRequestWithoutAnIDGetsNoEarlierRefusal(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable\r\n" + directNames.NotRun + ": 1", "408 Request Timeout"} {
		d := scriptedSecond(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran")
		_, err := doSent(t, d, outgoing("first"))
		require.NoError(t, err)
		a, err := doSent(t, d, outgoing(""))
		if err == nil {
			// A connection of its own is as good: the request is the first one there.
			require.Equal(t, "own", string(a.Body), "%s: %d", status, a.Status)
		}
		require.NotErrorIs(t, err, ErrNotSent)
	}
}

// TestAnswerThatNamesTwoRequestsAnswersNone has a server name the waiting request and an earlier one in one answer.
func TestAnswerThatNamesTwoRequestsAnswersNone(t *testing.T) {
	name := directNames.RequestID + ": "
	for _, ids := range []string{name + "second\r\n" + name + "first\r\n", name + "first\r\n" + name + "second\r\n"} {
		d := scriptedSecond(t, "HTTP/1.1 200 OK\r\n"+ids+"Content-Length: 4\r\nConnection: close\r\n\r\nold!")
		_, err := doSent(t, d, outgoing("first"))
		require.NoError(t, err)
		a, err := doSent(t, d, outgoing("second"))
		require.Error(t, err, "%d %q", a.Status, a.Body)
	}
}
