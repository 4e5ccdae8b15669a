package stand

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessBlockBytes is how much of an endless answer is written at a time.
	endlessBlockBytes = 16 << 10
	// maxEndless ends an answer that no caller closes.
	maxEndless = 30 * time.Second
)

// endlessAnswers go on until the caller closes the connection: a first text, in which ID stands for
// the header line with the request's id, then another one repeatedly.
var endlessAnswers = []struct{ first, again string }{
	{"HTTP/1.1 200 OK\r\n", "X-Fill: xxxxxxxx\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Fill: ", "xxxxxxxx"},
	{"HTTP/1.1 200 ", "xxxxxxxx"},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nID\r\n\r\n", "xxxxxxxx"},
	{"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	{"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Fill: xxxxxxxx\r\n"},
	{"", "\x00\x01\x02\x03"},
}

// SendEndless sends bytes that are no answer, or no end of one, until the caller closes the
// connection. kind selects one of several ways; idHeader is the name of the header with the
// request's id.
func SendEndless(w http.ResponseWriter, r *http.Request, kind int, idHeader string) {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	c, _, err := h.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	WriteEndless(c, kind, idHeader, r.Header.Get(idHeader))
}

// WriteEndless is SendEndless over a connection, which it closes; id is the request's id.
func WriteEndless(c net.Conn, kind int, idHeader, id string) {
	defer func() { _ = c.Close() }()
	a := endlessAnswers[kind%len(endlessAnswers)]
	_ = c.SetWriteDeadline(time.Now().Add(maxEndless))
	_, err := c.Write([]byte(strings.Replace(a.first, "ID", idHeader+": "+id, 1)))
	block := bytes.Repeat([]byte(a.again), endlessBlockBytes/len(a.again))
	for err == nil {
		_, err = c.Write(block)
	}
}
