package conn

import (
	"bytes"
	"net/http"
	"regexp"
	"strings"

	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// protocolPrefix begins each status line.
	protocolPrefix = "HTTP/1."
	// peekBytes is how many of the bytes that follow an answer are looked at: a usual head.
	peekBytes = 512
	// maxHeadScan is how many bytes of a possible head in a body are searched for an ID, maxHeadScans how many heads.
	maxHeadScan  = 1 << 10
	maxHeadScans = 1 << 10
)

var lineEnd = []byte("\r\n")

// statusLine matches the beginning of an answer, also of one with a status of no class.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}[ \r]`)

// holdsStatusLine reports whether a line of a head goes on with another answer: a server broke off within it.
func holdsStatusLine(line string) bool {
	return strings.Contains(line, protocolPrefix) && statusLine.MatchString(line+" ")
}

// headSpliced reports whether a header holds the status line of another answer. The answer would have the status of the one with
// the rest of the other. Headers that the tier does not read may quote a status line as their value.
func headSpliced(h http.Header, names *tier.HeaderNames) bool {
	for k, vs := range h {
		for _, v := range vs {
			if holdsStatusLine(v) && (!strings.HasPrefix(v, protocolPrefix) || names == nil || names.Reads(k)) {
				return true
			}
		}
	}
	return false
}

// bodySearch searches a body for the beginning of another answer on the connection: the body is then not whole although it has
// its length.
type bodySearch struct {
	// idName is the header with the ID of a request.
	idName string
	// known reports whether the connection has carried a request. A document that quotes an answer names none of them.
	known func(id string) bool
	// rest is what follows the body. closing is set if nothing can follow.
	rest    []byte
	closing bool
}

// found reports whether another answer begins within the body.
func (s *bodySearch) found(body []byte) bool {
	from := 0
	for range maxHeadScans {
		i := bytes.Index(body[from:], []byte(protocolPrefix))
		if i < 0 {
			break
		}
		if s.begins(body[from+i:]) {
			return true
		}
		from += i + 1
	}
	for n := endsInPrefix(body); n > 0; n-- {
		if s.begins(body[len(body)-n:]) {
			return true
		}
	}
	return false
}

// begins reports whether the end of a body, with the rest, begins with a status line and a header with a known ID. If the bytes end
// before such a header, the answer may have been cut there.
func (s *bodySearch) begins(b []byte) bool {
	if len(b) < maxHeadScan {
		b = append(bytes.Clone(b), s.rest...)
	}
	b = b[:min(len(b), maxHeadScan)]
	if at := statusLine.FindIndex(b[:min(len(b), len("HTTP/1.1 200 "))]); at == nil || at[0] > 0 {
		return false
	}
	_, b, complete := bytes.Cut(b, lineEnd)
	for complete {
		var line []byte
		line, b, complete = bytes.Cut(b, lineEnd)
		name, value, named := strings.Cut(string(line), ":")
		switch {
		case !complete:
		case !named:
			return false
		case strings.EqualFold(name, s.idName):
			return s.known(strings.TrimSpace(value))
		}
	}
	return len(s.rest) > 0 || s.closing
}

// endsInPrefix returns how many bytes at the end of a body may be the beginning of a status line.
func endsInPrefix(body []byte) int {
	for n := min(len(body), len(protocolPrefix)-1); n > 0; n-- {
		if bytes.HasSuffix(body, []byte(protocolPrefix[:n])) {
			return n
		}
	}
	return 0
}

// mayHoldAnswer reports whether a body holds the beginning of a status line, or ends within one.
func mayHoldAnswer(body []byte) bool {
	return bytes.Contains(body, []byte(protocolPrefix)) || endsInPrefix(body) > 0
}

// spliced reports whether another answer begins within the body of the answer to o. A failure may quote an answer to the same
// request, with nothing behind it.
func (c *directConn) spliced(o *Outgoing, a *Answer, reuse bool) bool {
	if !mayHoldAnswer(a.Body) {
		return false
	}
	known := func(id string) bool { return id == o.ID || c.carried.contains(hashID(id)) }
	s := bodySearch{idName: o.Names.RequestID, known: known, rest: c.following(), closing: !reuse}
	if a.Status >= http.StatusMultipleChoices && len(s.rest) == 0 && reuse {
		return false
	}
	return s.found(a.Body)
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
