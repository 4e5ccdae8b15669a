package edge

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// kindRelay is the kind of streams that carry callers' requests.
const kindRelay conn.Kind = "relay"

// relayRequest is a caller's request that a node passes to another one.
type relayRequest struct {
	ID     string             `cbor:"1,keyasint"`
	Method string             `cbor:"2,keyasint"`
	Target string             `cbor:"3,keyasint"`
	Path   string             `cbor:"4,keyasint"`
	Host   string             `cbor:"5,keyasint"`
	Header http.Header        `cbor:"6,keyasint"`
	Body   []byte             `cbor:"7,keyasint,omitempty"`
	LeftMs tier.Millis        `cbor:"8,keyasint"`
	Routes vers.RoutesVersion `cbor:"9,keyasint"`
	// Attempts is the number of servers of each shard that may run the request; 0 means what the route allows. Repeat is set
	// if the request was counted at another node before.
	Attempts int  `cbor:"10,keyasint,omitempty"`
	Repeat   bool `cbor:"11,keyasint,omitempty"`
	// Tenant is the caller's tenant; the key stays at the first node.
	Tenant tier.Tenant `cbor:"12,keyasint,omitempty"`
}

// relayReply is the answer to a relayRequest.
type relayReply struct {
	Status       int         `cbor:"1,keyasint"`
	Header       http.Header `cbor:"2,keyasint,omitempty"`
	Body         []byte      `cbor:"3,keyasint,omitempty"`
	RetryAfterMs tier.Millis `cbor:"4,keyasint,omitempty"`
	Reason       tier.Reason `cbor:"5,keyasint,omitempty"`
	// Attempts is the greatest number of servers of one shard that may have run the request. Accounted is set if the node
	// keeps to the attempts of the request.
	Attempts  int  `cbor:"6,keyasint,omitempty"`
	Accounted bool `cbor:"7,keyasint,omitempty"`
}

// relayTo passes a caller's request to another node and returns its answer. The error wraps conn.ErrNotSent if that node
// did not receive the request. When ctx ends, the other node gives the request up.
func (n *Node) relayTo(ctx context.Context, id tier.NodeID, in *reqst.Inbound) (reqst.Outbound, error) {
	p, _ := n.peer(id)
	s, err := n.mesh.Open(ctx, p, kindRelay)
	if err != nil {
		return reqst.Outbound{}, errors.Wrap(conn.ErrNotSent, err.Error())
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	w := relayRequest{
		ID: in.ID, Method: in.Method, Target: in.Target, Path: in.Path, Host: in.Host, Header: in.Header, Body: in.Body,
		LeftMs: tier.ToMillis(in.TimeLeft), Routes: in.RoutesVersion, Attempts: in.Attempts, Repeat: in.Repeat, Tenant: in.Tenant,
	}
	if err := s.Send(w); err != nil {
		return reqst.Outbound{}, tier.At("send request", string(id), err)
	}
	var r relayReply
	room, err := s.RecvWithin(&r, n.budget)
	if err != nil {
		return reqst.Outbound{}, tier.At("await relayed answer", string(id), err)
	}
	if !conn.IsStatus(r.Status) {
		room.Release()
		return reqst.Outbound{}, tier.At("await relayed answer", string(id), errors.Errorf("status %d", r.Status))
	}
	return reqst.Outbound{
		Status: r.Status, Header: r.Header, Body: r.Body, RetryAfter: r.RetryAfterMs.Duration(), Reason: r.Reason, Attempts: max(0, r.Attempts),
		Accounted: r.Accounted, Release: room.Release,
	}, nil
}

// serveRelay forwards a request that another node passed on. The request is given up when that node cancels the stream.
func (n *Node) serveRelay(ctx context.Context, s *conn.Stream) {
	var w relayRequest
	room, err := s.RecvWithin(&w, n.budget)
	if errors.Is(err, conn.ErrNoRoom) {
		_ = s.Send(relayReply{Status: http.StatusServiceUnavailable, RetryAfterMs: tier.ToMillis(noRoomRetryAfter), Reason: tier.ReasonNoRoom, Accounted: true})
	}
	if err != nil {
		return
	}
	defer room.Release()
	ctx, cancel := n.withinGrace(ctx)
	defer cancel()
	n.workers.Go(func() {
		defer cancel()
		var none struct{}
		// Nothing follows the request: this returns when the stream is cancelled or closed.
		_ = s.Recv(&none)
	})
	out := n.forwarder.Forward(ctx, &reqst.Inbound{
		ID: w.ID, Method: w.Method, Target: w.Target, Path: w.Path, Host: w.Host, Header: w.Header, Body: w.Body, TimeLeft: w.LeftMs.Duration(),
		Relayed: true, RoutesVersion: w.Routes, Attempts: w.Attempts, Repeat: w.Repeat,
		Tenant: w.Tenant,
	})
	if out.Release != nil {
		defer out.Release()
	}
	_ = s.Send(relayReply{
		Status: out.Status, Header: out.Header, Body: out.Body, RetryAfterMs: tier.ToMillis(out.RetryAfter), Reason: out.Reason,
		Attempts: out.Attempts, Accounted: true,
	})
}
