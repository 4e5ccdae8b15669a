package conn

import (
	"bytes"
	"net/http"
	"regexp"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	// protocolPrefix begins each status line.
	protocolPrefix = "HTTP/1."
	// peekBytes is how much of what follows an answer is looked at: a usual head.
	peekBytes = 512
)

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9][ \r]`)

// headSpliced reports whether a head holds the status line of another answer. A server that breaks off within a line and goes
// on with another answer leaves the status of the one with the rest of the other.
func headSpliced(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status + " ") {
		return true
	}
	for _, vs := range resp.Header {
		for _, v := range vs {
			if strings.Contains(v, protocolPrefix) && statusLine.MatchString(v+" ") {
				return true
			}
		}
	}
	return false
}

// bodySpliced reports whether another answer begins within a body, so that the body is not whole although it has its length.
// rest is what follows on the connection, and idName the header that each answer has: a document that quotes an answer lacks it.
func bodySpliced(body, rest []byte, idName string) bool {
	all := append(bytes.Clone(body), rest...)
	found := statusLine.FindIndex(all)
	if found == nil || found[0] >= len(body) {
		return false
	}
	head := bytes.ToLower(all[found[0]:])
	return bytes.Contains(head, []byte("\r\n"+strings.ToLower(idName)+":"))
}

// mayHoldAnswer reports whether a body holds the beginning of a status line, or ends within one.
func mayHoldAnswer(body []byte) bool {
	if bytes.Contains(body, []byte(protocolPrefix)) {
		return true
	}
	for n := min(len(body), len(protocolPrefix)-1); n > 0; n-- {
		if bytes.HasSuffix(body, []byte(protocolPrefix[:n])) {
			return true
		}
	}
	return false
}

// following returns what the connection holds beyond the last answer, up to peekBytes, without reading it.
func (c *directConn) following() []byte {
	b := c.answers.buffered()
	if len(b) >= peekBytes {
		return b
	}
	var p [peekBytes]byte
	n := 0
	_ = c.raw.Read(func(fd uintptr) bool {
		n, _, _ = unix.Recvfrom(int(fd), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return append(bytes.Clone(b), p[:max(n, 0)]...)
}
