package conn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSecondAnswerIsNotTakenIfTheFirstIsNotRecognized has a server fail a request by an answer that does not name it as it should,
// and send a second answer, a success that does.
func TestSecondAnswerIsNotTakenIfTheFirstIsNotRecognized(t *testing.T) {
	names := directNames
	names.Signature = "X-Signature"
	name := names.RequestID
	second := "HTTP/1.1 200 OK\r\n" + name + ": own\r\nX-Signature: b\r\nContent-Length: 6\r\n\r\nsecond"
	for _, ids := range []string{
		"", name + ":\r\n", name + ": OWN\r\n", name + ": own, own\r\n", name + ": own\r\n" + name + ": first\r\n", name + ": first\r\n" + name + ": own\r\n", name + ": never\r\n", name + ": o\r\n wn\r\n", name + " : own\r\n",
	} {
		for _, used := range []bool{false, true} {
			failure := fmt.Sprintf("HTTP/1.1 500 Failed\r\n%sX-Signature: a\r\nContent-Length: 0\r\n\r\n", ids)
			d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
					if req.Header.Get(name) == "own" {
						_, _ = io.WriteString(conn, failure+second)
						continue
					}
					_, _ = io.WriteString(conn, answerTo(req, "first"))
				}
			})
			if used {
				_, err := doSent(t, d, outgoing("first"))
				require.NoError(t, err)
			}
			o := outgoing("own")
			o.Names = &names
			a, err := doSent(t, d, o)
			if err != nil {
				require.NotErrorIs(t, err, ErrNotSent)
				require.Zero(t, d.Idle())
				continue
			}
			require.Equal(t, http.StatusInternalServerError, a.Status, "%q, used %v", ids, used)
		}
	}
}

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

// TestBytesBehindAnAnswerEndTheConnection has a server send bytes behind a whole answer: the answer counts, and no other request goes
// on that connection.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	for _, behind := range []string{"x", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n" + directNames.RequestID + ": second\r\nContent-Length: 4\r\n\r\nold!"} {
		d := scriptedServer(t, func(n int, c net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(c, answerTo(req, fmt.Sprint("own ", n))+behind)
			}
		})
		for n, id := range []string{"first", "second"} {
			a, err := do(t, d, outgoing(id))
			require.NoError(t, err, "%q", behind)
			require.Equal(t, fmt.Sprint("own ", n), string(a.Body), "%q", behind)
			require.Zero(t, d.Idle(), "%q", behind)
		}
	}
}

// TestEarlyNamedAnswerToALongBodyEndsTheConnection has a server answer by the request's ID before it reads a body that is longer than
// what the connection buffers.
func TestEarlyNamedAnswerToALongBodyEndsTheConnection(t *testing.T) {
	answered := make(chan struct{})
	d := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, answerTo(req, "early"))
		}
		<-answered
	})
	o := NewOutgoing(&directNames, http.MethodPost, "/", "x.example", "id", http.Header{}, make([]byte, oversizedBodyBytes))
	a, err := do(t, d, o)
	idle := d.Idle()
	close(answered)
	require.NoError(t, err)
	require.Equal(t, "early", string(a.Body))
	require.Zero(t, idle)
}
