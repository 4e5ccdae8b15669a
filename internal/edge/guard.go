package edge

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/reqst"
)

const (
	// callerDivisor divides the process's memory limit to get the default of what callers may hold: the collector's limit is half
	// of it, which the routing table, the membership and the answers of servers need as well.
	callerDivisor = 4
	// callerConnShare is the part of the process's descriptors that callers' connections may take, in eighths; the rest is for servers,
	// other nodes and files, and for connections that are about to end.
	callerConnShare = 4
	// bodyShare is the part of the budget for bodies that those of callers may take together, in eighths, so that servers' answers
	// find room.
	bodyShare = 6
	eighths   = 8
)

// Weights of the listeners' shares of what callers may hold.
const (
	callersWeight = 4
	controlWeight = 3
	pagesWeight   = 1
)

// Use tells what a Listener serves.
type Use string

// Uses of listeners. The zero value stands for the listener of the node's callers, if the node is its handler, or for UsePages.
const (
	UseCallers Use = "callers"
	// UseControl serves announcements, routing tables and operators; the others read no bodies.
	UseControl Use = "control"
	UseReady   Use = "ready"
	UseEntries Use = "entries"
	UseMetrics Use = "metrics"
	UsePages   Use = "pages"
)

func (u Use) weight() int64 {
	switch u {
	case UseCallers:
		return callersWeight
	case UseControl:
		return controlWeight
	case UseReady, UseEntries, UseMetrics, UsePages:
	}
	return pagesWeight
}

func (n *Node) useOf(l Listener) Use {
	switch {
	case l.Use != "":
		return l.Use
	case l.Handler == http.Handler(n):
		return UseCallers
	}
	return UsePages
}

// buildCallers creates the budget of what callers hold, unless nothing limits it.
func (n *Node) buildCallers() {
	held := n.Settings.CallerBytes
	if held == 0 {
		held = n.Settings.MemoryBytes / callerDivisor
	}
	if held == 0 {
		return
	}
	n.callers = &conn.CallerBudget{Limit: held, Bodies: n.budget.Limit / eighths * bodyShare, Conns: descriptors() / eighths * callerConnShare, OnYield: n.callerYielded}
}

// descriptors returns the process's limit of open descriptors, or 0 if it is unknown or there is none.
func descriptors() int {
	const unlimited = 1 << 30
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil || r.Cur > unlimited {
		return 0
	}
	return int(r.Cur)
}

// callerYielded counts and logs a connection that was closed, or whose request was refused, to make room for others.
func (n *Node) callerYielded(y conn.Yield) {
	n.Stats.Count("callers_yielded", y.Listener+"/"+string(y.Kind))
	if n.yieldLog.Allow(n.Clock.Now()) {
		event.CallerYielded.Log(n.Log, nil, logrus.Fields{"listener": y.Listener, "kind": y.Kind, "remote": y.Remote, "held": y.Held, "crowd": y.Crowd})
	}
}

// callerListener returns a listener that accounts for what callers hold.
func (n *Node) callerListener(u Use) func(net.Listener) net.Listener {
	if n.callers == nil {
		return nil
	}
	return func(base net.Listener) net.Listener { return n.callers.Listener(base, string(u), u.weight()) }
}

// guard accounts for the requests of one listener before its handler runs.
type guard struct {
	node *Node
	next http.Handler
	use  Use
}

// ServeHTTP refuses a request for which there is no room, and reads the body of one that its handler expects to be short.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := conn.CallerFrom(r.Context())
	hasBody := r.Body != nil && r.Body != http.NoBody
	reads := hasBody && (g.use == UseCallers || g.use == UseControl)
	if !c.Begin(r.Header, reads) {
		g.node.refuse(w, http.StatusServiceUnavailable)
		c.DropHead(r)
		return
	}
	defer c.DropHead(r)
	switch {
	case !hasBody || g.use == UseCallers:
		g.next.ServeHTTP(w, r)
	case reads:
		g.serveWithBody(c, w, r)
	default:
		// Nobody reads the body: the connection ends with the answer.
		w.Header().Set("Connection", "close")
		g.next.ServeHTTP(w, r)
	}
}

func (g *guard) serveWithBody(c *conn.Caller, w http.ResponseWriter, r *http.Request) {
	body, room, err := conn.ReadCallerBody(c, r.Body, r.ContentLength, maxDocumentBytes, g.node.budget)
	defer room.Release()
	switch {
	case err == nil && c.Run():
		r.Trailer = nil
		whole := r.WithContext(r.Context())
		whole.Body = io.NopCloser(bytes.NewReader(body))
		g.next.ServeHTTP(w, whole)
	case errors.Is(err, conn.ErrBodyTooLong):
		g.node.refuse(w, http.StatusRequestEntityTooLarge)
	case err == nil || errors.Is(err, conn.ErrNoRoom) || c.Yields():
		g.node.refuse(w, http.StatusServiceUnavailable)
	default:
		g.node.refuse(w, http.StatusRequestTimeout)
	}
}

// refuse answers a request that was not read to its end and has not run.
func (n *Node) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	out := reqst.Outbound{Status: status}
	if status == http.StatusServiceUnavailable {
		out.RetryAfter = noRoomRetryAfter
	}
	n.respond(w, out)
}

// setCallerGauges sets the gauges of what callers hold.
func (n *Node) setCallerGauges() {
	held, conns := n.callers.Held()
	n.Stats.Gauge("callers_held_bytes", "", float64(held))
	n.Stats.Gauge("callers_connections", "", float64(conns))
}
