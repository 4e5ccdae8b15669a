package conn

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Outgoing is a request to one or more servers, encoded except for the headers that differ between
// them.
type Outgoing struct {
	// ID is the request ID, which a server echoes.
	ID string
	// Method is the HTTP method.
	Method string
	// Head is the request line and the headers that are the same for all servers.
	Head []byte
	// Body is the whole body.
	Body []byte
	// Names are the names of the platform's headers.
	Names *tier.HeaderNames
	// MaxBody lowers the limit of the answer's body; 0 leaves it as it is.
	MaxBody int64
}

// hopHeaders concern one connection only, or are set anew, and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// NewOutgoing encodes a request. The target is written exactly as the caller sent it.
func NewOutgoing(names *tier.HeaderNames, method, target, host, id string, h http.Header, body []byte) *Outgoing {
	b := make([]byte, 0, 512)
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	hopTokens := connectionTokens(h)
	for k, vs := range h {
		if hopHeaders[k] || k == names.RequestID || k == names.Deadline || k == names.Expect || hopTokens[k] {
			continue
		}
		for _, v := range vs {
			b = appendField(b, k, v)
		}
	}
	if id != "" {
		b = appendField(b, names.RequestID, id)
	}
	if len(body) > 0 || (method != http.MethodGet && method != http.MethodHead) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(body)))
	}
	return &Outgoing{ID: id, Method: method, Head: b, Body: body, Names: names}
}

// AddHeader adds a header that is the same for all servers.
func (o *Outgoing) AddHeader(name, value string) { o.Head = appendField(o.Head, name, value) }

func appendField(b []byte, k, v string) []byte {
	return append(append(append(append(b, k...), ": "...), v...), "\r\n"...)
}

// connectionTokens returns the header names that the Connection header lists.
func connectionTokens(h http.Header) map[string]bool {
	list := h["Connection"]
	if len(list) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, v := range list {
		for _, t := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(t))] = true
		}
	}
	return out
}

// StripHopHeaders removes the headers that concern one connection only.
func StripHopHeaders(h http.Header) {
	for k := range connectionTokens(h) {
		delete(h, k)
	}
	for k := range hopHeaders {
		delete(h, k)
	}
}

// Answer is a server's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Reservation is the room that Body takes; whoever drops the answer releases it.
	Reservation Reservation
	// Use is the use of the connection that carried the request.
	Use Use
	// Ended is set if the connection ended with or before the answer.
	Ended bool
}

// Errors returned by Direct.
var (
	// ErrNotSent means that no part of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused means that a server reset a new connection right after the request was sent: it
	// accepts no more connections, or its process died before it had read the whole request.
	ErrRefused = errors.New("server reset the new connection")
	// ErrMalformed means that the bytes received from a server are not an answer to the request.
	ErrMalformed = errors.New("answer is malformed")
)
