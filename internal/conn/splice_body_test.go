package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCutBodyIsNotFilledByTheNextAnswer has a server send a part of a body, and then on the same connection another answer, which
// makes up the length that was stated, or is taken for more of a body without a length.
func TestCutBodyIsNotFilledByTheNextAnswer(t *testing.T) {
	for _, other := range []string{"first", "second"} {
		testCutBody(t, "HTTP/1.1 500 Failed\r\nDate: Sat, 05 Dec 2026 08:00:00 GMT\r\n"+directNames.RequestID+": "+other+"\r\nContent-Length: 4\r\n\r\nold!")
	}
}

func testCutBody(t *testing.T, stray string) {
	t.Helper()
	const id = "second"
	name := directNames.RequestID + ": "
	part := strings.Repeat("r", 40)
	sized := func(missing int) string {
		return "HTTP/1.1 200 OK\r\n" + name + id + "\r\nContent-Length: " + strconv.Itoa(len(part)+missing) + "\r\n\r\n" + part
	}
	type answer struct{ name, text string }
	list := []answer{
		{"no length", "HTTP/1.1 200 OK\r\n" + name + id + "\r\n\r\n" + part + stray},
		{"no length, cut", "HTTP/1.1 200 OK\r\n" + name + id + "\r\n\r\n" + part + stray[:70]},
		{"chunk", "HTTP/1.1 200 OK\r\n" + name + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(part)+len(stray)), 16) + "\r\n" + part + stray + "\r\n0\r\n\r\n"},
	}
	for missing := 1; missing <= len(stray); missing++ {
		list = append(list, answer{"length, " + strconv.Itoa(missing) + " bytes missing", sized(missing) + stray})
	}
	for _, c := range list {
		d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if req := readRequest(t, r); req != nil {
				_, _ = io.WriteString(conn, answerTo(req, "ok"))
			}
			if readRequest(t, r) != nil {
				_, _ = io.WriteString(conn, c.text)
			}
		})
		_, err := doSent(t, d, outgoing("first"))
		require.NoError(t, err, c.name)
		a, err := doSent(t, d, outgoing(id))
		require.ErrorIs(t, err, ErrMalformed, "%s: %d %q", c.name, a.Status, a.Body)
		require.NotErrorIs(t, err, ErrNotSent, c.name)
		require.Zero(t, d.Idle(), c.name)
	}
}

// TestWholeBodiesThatLookLikeAnswersPass: guards against taking what a body says of HTTP, or what follows it, for a second answer
// in it.
func TestWholeBodiesThatLookLikeAnswersPass(t *testing.T) {
	name := directNames.RequestID + ": x\r\n"
	for _, c := range []struct {
		status         int
		body, trailing string
	}{
		{status: 200, body: ""},
		{status: 200, body: "HTTP/1."},
		{status: 200, body: "H", trailing: "HTTP/1.1 200 OK\r\n" + name},
		{status: 200, body: "records", trailing: "HTTP/1.1 200 OK\r\n" + name},
		{status: 200, body: "the server says HTTP/1.1 200 OK"},
		{status: 200, body: "HTTP/1.1 200 OK\nContent-Length: 0\n\n" + name},
		{status: 200, body: "GET / HTTP/1.1\r\n" + name},
		{status: 200, body: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"},
		{status: 200, body: "HTTP/1.1 200 OK\r\nnot a header\r\n" + name},
		{status: 200, body: "HTTP/1.1 200 OK\r\n" + name + "Content-Length: 1\r\n\r\n1"},
		{status: 200, body: strings.Repeat("HTTP/1.HTTP/1.1 HTTP/1.1 20 ", 5000)},
		{status: 500, body: "HTTP/1.1 200 OK\r\n" + directNames.RequestID + ": id\r\n\r\n"},
	} {
		d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(conn, strings.Replace(answerTo(req, c.body), "200 OK", strconv.Itoa(c.status)+" "+http.StatusText(c.status), 1)+c.trailing)
			}
		})
		a, err := doSent(t, d, outgoing("id"))
		require.NoError(t, err, "%d %.60q", c.status, c.body)
		require.Equal(t, c.status, a.Status)
		require.Equal(t, c.body, string(a.Body))
	}
}
