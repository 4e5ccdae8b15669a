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

// table is a routing table in force and the document that it was decoded from.
type table struct {
	routes *vers.Routes
	doc    store.RoutesDoc
}

// ErrInvalidRoutes means that a routing table was refused because of its content.
var ErrInvalidRoutes = errors.New("routing table is invalid")

// ApplyRoutes validates a routing table and commits it on a majority. It returns the version in
// force afterwards, which is higher than the table's own if a newer one was committed first.
func (n *Node) ApplyRoutes(ctx context.Context, doc []byte, author tier.Operator, reason string) (vers.RoutesVersion, error) {
	t, err := n.decode(doc)
	if err != nil {
		return 0, errors.Wrap(ErrInvalidRoutes, err.Error())
	}
	b, err := compress(doc)
	if err != nil {
		return 0, errors.Wrap(err, "compress routing table")
	}
	rep, err := n.callLeader(ctx, controlRequest{Apply: &store.RoutesDoc{Version: t.Version, Document: b, Author: author, Reason: reason}})
	if err != nil {
		return 0, err
	}
	return rep.Version, nil
}

// ReadDocument reads a routing table of at most maxDocumentBytes.
func ReadDocument(r io.Reader) ([]byte, error) {
	doc, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err == nil && len(doc) > maxDocumentBytes {
		err = errors.Errorf("a routing table has at most %d bytes", maxDocumentBytes)
	}
	return doc, err
}

// RoutesStatus returns the HTTP status for a routing table that could not be applied: 400 if its
// content is invalid, 503 if it may or may not have been committed.
func RoutesStatus(err error) int {
	if errors.Is(err, ErrInvalidRoutes) {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// ReadRoutes returns the latest committed routing table as the operator sent it; a quorum has
// confirmed that it is the latest.
func (n *Node) ReadRoutes(ctx context.Context) (vers.RoutesVersion, []byte, error) {
	rep, err := n.callLeader(ctx, controlRequest{})
	if err != nil || rep.Version == 0 {
		return 0, nil, err
	}
	doc, err := decompress(rep.Doc.Document)
	return rep.Version, doc, errors.Wrap(err, "unpack routing table")
}

func (n *Node) decode(doc []byte) (*vers.Routes, error) {
	t, err := n.Decode(doc)
	if err != nil {
		return nil, err
	}
	return t, t.Check()
}

// installRoutes puts a committed routing table in force unless the current one is as new; a node
// never returns to an older one.
func (n *Node) installRoutes(d store.RoutesDoc) {
	if d.Version <= n.routesVersion() {
		return
	}
	doc, err := decompress(d.Document)
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
	case n.tableChanged <- struct{}{}:
	default:
	}
	n.currency.installed(d.Version)
	n.quotas.routesChanged(t)
	n.gossip.setRoutes(d.Version)
	n.publishReady()
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
