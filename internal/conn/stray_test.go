package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDiscardedAnswersAreReported has a server send, before or behind the answer to the second request on a connection, what does
// not answer it.
func TestDiscardedAnswersAreReported(t *testing.T) {
	named := func(id string) string {
		return "HTTP/1.1 500 Failed\r\n" + directNames.RequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name           string
		before, behind string
		want           Stray
	}{
		{"second answer to the first request", named("first"), "", Stray{Kind: StrayOther, Answer: "first", Earlier: true, Status: 500}},
		{"answer to a request of another connection", named("never"), "", Stray{Kind: StrayOther, Answer: "never", Status: 500}},
		{"answer without an ID", anonymousRefusal + "\r\n", "", Stray{Kind: StrayUnnamed, Status: 503}},
		{"bytes behind the answer", "", "HTTP/1.1 200", Stray{Kind: StrayTrailing}},
	} {
		d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				text := answerTo(req, "ok")
				if req.Header.Get(directNames.RequestID) == "second" {
					text = c.before + text + c.behind
				}
				_, _ = io.WriteString(conn, text)
			}
		})
		var got []Stray
		d.OnStray = func(s Stray) { got = append(got, s) }
		first, err := do(t, d, outgoing("first"))
		require.NoError(t, err, c.name)
		require.Equal(t, Use{Conn: 1, Place: 1}, first.Use, c.name)
		_, _ = do(t, d, outgoing("second"))
		want := c.want
		want.Server, want.Use, want.Request = "s1", Use{Conn: 1, Place: 2}, "second"
		require.Equal(t, []Stray{want}, got, c.name)
	}
}

// TestRepeatedRequestIsReported sends an ID twice over one connection.
func TestRepeatedRequestIsReported(t *testing.T) {
	d := answeringServer(t, func(_ int, req *http.Request) string {
		return answerTo(req, "ok")
	})
	var got []Repeat
	d.OnRepeat = func(r Repeat) { got = append(got, r) }
	for _, id := range []string{"a", "b", "a", "", ""} {
		_, err := do(t, d, outgoing(id))
		require.NoError(t, err)
	}
	require.Equal(t, []Repeat{{Server: "s1", Conn: 1, Request: "a"}}, got)
}
