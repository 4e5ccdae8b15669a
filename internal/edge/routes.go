package edge

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// table is a routing table in force, with the document that it came from.
type table struct {
	routes *vers.Routes
	doc    store.RoutesDoc
}

// ErrInvalidRoutes says that a routing table was refused for its content.
var ErrInvalidRoutes = errors.New("routing table is invalid")

// ApplyRoutes checks a routing table and makes it durable on a majority. It
// returns the version in force after that, which is higher than the table's
// own if another one has overtaken it.
func (n *Node) ApplyRoutes(ctx context.Context, doc []byte, by tier.Operator, why string) (vers.RoutesVersion, error) {
	t, err := n.decode(doc)
	if err != nil {
		return 0, errors.Wrap(ErrInvalidRoutes, err.Error())
	}
	b, err := pack(doc)
	if err != nil {
		return 0, errors.Wrap(err, "compress routing table")
	}
	rep, err := n.ask(ctx, question{Apply: &store.RoutesDoc{Version: t.Version, Document: b, Author: by, Reason: why}})
	if err != nil {
		return 0, err
	}
	return rep.Version, nil
}

// ReadDocument reads a whole routing table of bounded length.
func ReadDocument(r io.Reader) ([]byte, error) {
	doc, err := io.ReadAll(io.LimitReader(r, mostDocument+1))
	if err == nil && len(doc) > mostDocument {
		err = errors.Errorf("a routing table has at most %d bytes", mostDocument)
	}
	return doc, err
}

// RoutesStatus returns the status of an answer to an operator whose routing
// table was not taken: 400 for its content, 503 where it may or may not be taken.
func RoutesStatus(err error) int {
	if errors.Is(err, ErrInvalidRoutes) {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// ReadRoutes returns the newest accepted routing table as its operator sent
// it; a quorum has confirmed that it is the newest.
func (n *Node) ReadRoutes(ctx context.Context) (vers.RoutesVersion, []byte, error) {
	rep, err := n.ask(ctx, question{})
	if err != nil || rep.Version == 0 {
		return 0, nil, err
	}
	doc, err := unpack(rep.Doc.Document)
	return rep.Version, doc, errors.Wrap(err, "unpack routing table")
}

func (n *Node) decode(doc []byte) (*vers.Routes, error) {
	t, err := n.Decode(doc)
	if err != nil {
		return nil, err
	}
	return t, t.Check()
}

// takeRoutes puts a committed routing table in force; a node never goes back to an older one.
func (n *Node) takeRoutes(d store.RoutesDoc) {
	if d.Version <= n.routesVersion() {
		return
	}
	doc, err := unpack(d.Document)
	if err != nil {
		event.RoutesUnreadable.Log(n.Log, err, logrus.Fields{"version": d.Version})
		return
	}
	t, err := n.decode(doc)
	if err != nil {
		event.RoutesUnreadable.Log(n.Log, err, logrus.Fields{"version": d.Version})
		return
	}
	next := &table{routes: t, doc: d}
	for {
		old := n.table.Load()
		if old != nil && old.doc.Version >= d.Version {
			return
		}
		if n.table.CompareAndSwap(old, next) {
			break
		}
	}
	event.RoutesInForce.Log(n.Log, nil, logrus.Fields{"version": d.Version, "routes": len(t.Routes)})
	select {
	case n.newTable <- struct{}{}:
	default:
	}
	n.gossip.setRoutes(d.Version)
	n.noteReady()
}

func (n *Node) routesVersion() vers.RoutesVersion {
	if t := n.table.Load(); t != nil {
		return t.doc.Version
	}
	return 0
}

// Routes returns the routing table in force, or nil.
func (n *Node) Routes() *vers.Routes {
	if t := n.table.Load(); t != nil {
		return t.routes
	}
	return nil
}
