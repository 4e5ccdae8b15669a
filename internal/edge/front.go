package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// noRoomRetryAfter is the retry delay for callers whose body finds no room: the time of a few
// requests, after which others have given back theirs.
const noRoomRetryAfter = 300 * time.Millisecond

// ServeHTTP forwards a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in, room, status := n.readRequest(w, r)
	if status != 0 {
		out := reqst.Outbound{Status: status}
		if status == http.StatusServiceUnavailable {
			out.RetryAfter = noRoomRetryAfter
		}
		if conn.CallerFrom(r.Context()).Yields() {
			w.Header().Set("Connection", "close")
		}
		n.respond(w, out)
		return
	}
	defer room.Release()
	ctx, cancel := n.withinGrace(r.Context())
	defer cancel()
	out := n.forwarder.Forward(ctx, in)
	if out.Release != nil {
		defer out.Release()
	}
	if c := conn.CallerFrom(r.Context()); c != nil {
		c.DropHead(r)
		c.Answer(int64(len(out.Body)))
	}
	n.respond(w, out)
}

// readRequest reads a request with its whole body; room is what the body takes in the node's budget.
// status is 0, or the HTTP status with which the request is refused.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request) (in *reqst.Inbound, room conn.Reservation, status int) {
	in = &reqst.Inbound{ID: r.Header.Get(n.Names.RequestID), Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header}
	if !strings.HasPrefix(in.Target, "/") {
		in.Target = r.URL.RequestURI()
	}
	in.Path, _, _ = strings.Cut(in.Target, "?")
	if ms, err := strconv.ParseInt(r.Header.Get(n.Names.Deadline), 10, 64); err == nil && ms > 0 {
		in.TimeLeft = tier.Millis(ms).Duration()
	}
	if r.Body == nil || r.Body == http.NoBody {
		return in, room, 0
	}
	limit := n.bodyLimit()
	if r.ContentLength > limit {
		return nil, room, http.StatusRequestEntityTooLarge
	}
	c := conn.CallerFrom(r.Context())
	body, room, err := n.readBody(w, r, limit, in.TimeLeft)
	r.Trailer = nil
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && !c.Run(), err != nil && c.Yields():
		room.Release()
		return nil, conn.Reservation{}, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge) || errors.Is(err, conn.ErrBodyTooLong):
		return nil, room, http.StatusRequestEntityTooLarge
	case errors.Is(err, conn.ErrNoRoom):
		return nil, room, http.StatusServiceUnavailable
	case err != nil:
		return nil, room, http.StatusRequestTimeout
	}
	in.Body = body
	return in, room, 0
}

// readBody reads a caller's body. A body that is not complete when the caller no longer waits, or
// after the time limit for bodies, is given up.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64, left time.Duration) ([]byte, conn.Reservation, error) {
	wait := n.Settings.Limits.BodyTimeout
	if left > 0 && (wait == 0 || left < wait) {
		wait = left
	}
	if wait > 0 {
		c := http.NewResponseController(w)
		// A writer without deadlines, as in tests, has no connection that could stall.
		_ = c.SetReadDeadline(time.Now().Add(wait))
		defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	}
	return conn.ReadCallerBody(conn.CallerFrom(r.Context()), http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, n.budget)
}

func (n *Node) bodyLimit() int64 {
	if t := n.Routes(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return n.Settings.Limits.BodyBytes
}

// respond writes a response. Header names keep the spelling that the server used.
func (n *Node) respond(w http.ResponseWriter, out reqst.Outbound) {
	h := w.Header()
	for k, vs := range out.Header {
		h[k] = vs
	}
	if out.Header.Get("Content-Type") == "" {
		// Without this net/http would guess a type.
		h["Content-Type"] = nil
	}
	if out.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(out.RetryAfter.Round(time.Millisecond).Seconds(), 'f', -1, 64))
	}
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if _, stated := out.Header["Content-Length"]; !stated {
		h.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	w.WriteHeader(out.Status)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_, _ = w.Write(out.Body)
}
