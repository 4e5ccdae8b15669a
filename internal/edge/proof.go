package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/proof"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// DefaultRevocationLimit is the time in which a revocation holds if the settings name none.
	DefaultRevocationLimit = 5 * time.Second
	// proofTick is how often a node looks whether to ask for a proof, and whether its own has expired.
	proofTick = 25 * time.Millisecond
)

// kindProof asks a node for its currency proof.
const kindProof conn.Kind = "proof"

// Revocation configures currency proofs. If Strict is set, a key that a routing table no longer lists is refused by all nodes
// Limit after the table was acknowledged, also by those that cannot have heard of it. 0 means DefaultRevocationLimit.
type Revocation struct {
	Strict bool
	Limit  time.Duration
}

// proofRequest asks for the currency proof of a node.
type proofRequest struct{}

// proofReply is a node's currency proof, if Held is set: no routing table newer than Version had been acknowledged AgeUs
// microseconds before the answer.
type proofReply struct {
	Held    bool               `cbor:"1,keyasint,omitempty"`
	Version vers.RoutesVersion `cbor:"2,keyasint,omitempty"`
	AgeUs   int64              `cbor:"3,keyasint,omitempty"`
}

// currency holds this node's currency proof.
type currency struct {
	clock  tier.Clock
	strict bool
	// wake is signalled when a table comes into force.
	wake chan struct{}

	mu     sync.Mutex
	holder proof.Holder
	// expiry is when the proof expires, a time of clock.
	expiry atomic.Int64
	// wasHeld is whether the proof was valid when that was last logged; it is accessed by watchProof only.
	wasHeld bool
}

func newCurrency(s *Settings, clock tier.Clock) *currency {
	limit := s.Revocation.Limit
	if limit == 0 {
		limit = DefaultRevocationLimit
	}
	c := &currency{clock: clock, strict: s.Revocation.Strict, wake: make(chan struct{}, 1)}
	c.holder = proof.Holder{Self: s.ID, Lifetime: proof.Lifetime(limit), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	c.update(func(h *proof.Holder) { h.Start(clock.Now()) })
	return c
}

// update changes the holder.
func (c *currency) update(f func(h *proof.Holder)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.holder)
	c.expiry.Store(int64(c.holder.Expiry()))
}

// installed records that a table has come into force.
func (c *currency) installed(v vers.RoutesVersion) {
	c.update(func(h *proof.Holder) { h.Installed(v) })
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// held reports whether this node holds a valid proof.
func (c *currency) held() bool { return int64(c.clock.Now()) < c.expiry.Load() }

// Valid reports whether requests with keys may be served; see reqst.Proof.
func (c *currency) Valid() bool { return !c.strict || c.held() }

// ProofHeld reports whether this node holds a valid currency proof. Nodes hold one if revocation is strict, and those with a
// control replica also if a tenant has a rate.
func (n *Node) ProofHeld() bool { return n.currency.held() }

// ProofLifetime returns how long a currency proof is valid after the moment at which it was true.
func (n *Node) ProofLifetime() time.Duration { return n.currency.holder.Lifetime }

// needsProof reports whether this node must hold a currency proof.
func (n *Node) needsProof() bool {
	if n.currency.strict {
		return true
	}
	t := n.Routes()
	return t != nil && t.Limited() && n.hasReplica()
}

// hasReplica reports whether this node runs a control replica, though it may be about to be opened.
func (n *Node) hasReplica() bool { return n.Settings.Data != "" || n.isFounder() }

// unproven reports whether the node refuses requests with keys for want of a proof.
func (n *Node) unproven() bool {
	if n.currency.Valid() {
		return false
	}
	t := n.Routes()
	return t != nil && t.Keyed()
}

// routesRecent reports whether the routing table is recent enough to say that a route or a key does not exist.
func (n *Node) routesRecent() bool { return n.gossip.connected() && !n.unproven() }

// watchProof renews this node's currency proof while it needs one.
func (n *Node) watchProof(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.currency.wake:
		case <-t.C:
		}
		if !n.needsProof() {
			continue
		}
		t.Reset(proofTick)
		n.askForProof(ctx)
		n.proofChanged()
	}
}

// askForProof asks a peer if it is time to.
func (n *Node) askForProof(ctx context.Context) {
	var q proof.Ask
	var due bool
	n.currency.update(func(h *proof.Holder) { q, due = h.Next(n.LeaseClock.Now(), n.proofSources) })
	if !due {
		return
	}
	n.workers.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		a, err := n.callForProof(ctx, q.To)
		if err != nil {
			n.Stats.Count("proof_questions", "unanswered")
			return
		}
		behind := false
		n.currency.update(func(h *proof.Holder) { behind = h.Answered(n.LeaseClock.Now(), q, a) })
		switch {
		case !a.Known:
			n.Stats.Count("proof_questions", "no_proof")
		case behind:
			n.Stats.Count("proof_questions", "newer_table")
			n.fetchRoutes(n.ctx, q.To)
		default:
			n.Stats.Count("proof_questions", "proof")
		}
	})
}

// proofSources returns the peers that may have a proof. Without strict revocation only hosts with a replica have one.
func (n *Node) proofSources() proof.Sources {
	s := proof.Sources{Replica: n.hasReplica()}
	var peers []proof.Peer
	for _, h := range n.gossip.list() {
		replica := h.Replica != ""
		if h.ID != n.Settings.ID && h.State != spread.HostDown && (replica || n.currency.strict) {
			peers = append(peers, proof.Peer{ID: h.ID, Replica: replica})
		}
	}
	if len(peers) == 0 {
		for _, id := range n.gossip.seeds() {
			if id != n.Settings.ID {
				peers = append(peers, proof.Peer{ID: id})
			}
		}
	}
	s.Peers = proof.Preferred(n.Settings.ID, peers)
	return s
}

// callForProof asks a peer for its proof, or this node's own replica whether it leads.
func (n *Node) callForProof(ctx context.Context, to tier.NodeID) (proof.Answer, error) {
	if to == n.Settings.ID {
		return n.confirmProof(ctx), nil
	}
	p, _ := n.peer(to)
	var rep proofReply
	if err := n.mesh.Call(ctx, p, kindProof, proofRequest{}, &rep); err != nil {
		return proof.Answer{}, err
	}
	return proof.Answer{Known: rep.Held, Version: rep.Version, Age: time.Duration(rep.AgeUs) * time.Microsecond}, nil
}

// confirmProof reads the newest version from this node's replica once a quorum has confirmed that it leads.
func (n *Node) confirmProof(ctx context.Context) proof.Answer {
	r := n.replica.Load()
	if r == nil {
		return proof.Answer{}
	}
	rep, err := n.readControl(ctx, r, false)
	switch {
	case err == nil:
		return proof.Answer{Known: true, Version: rep.Version}
	case errors.Is(err, tier.ErrNotLeader):
		return proof.Answer{Leader: r.Leader(ctx)}
	}
	return proof.Answer{}
}

func (n *Node) serveProof(_ context.Context, s *conn.Stream) {
	var q proofRequest
	if s.Recv(&q) != nil {
		return
	}
	var a proof.Answer
	n.currency.update(func(h *proof.Holder) { a = h.Lend(n.LeaseClock.Now()) })
	// The age is rounded up: a proof that seems older expires earlier.
	_ = s.Send(proofReply{Held: a.Known, Version: a.Version, AgeUs: int64((a.Age + time.Microsecond - 1) / time.Microsecond)})
}

// proofChanged publishes and logs a change of whether this node holds a proof.
func (n *Node) proofChanged() {
	c := n.currency
	held := c.held()
	if held == c.wasHeld {
		return
	}
	c.wasHeld = held
	var version vers.RoutesVersion
	c.update(func(h *proof.Holder) { version = h.Version() })
	f := logrus.Fields{"version": version, "table": n.routesVersion()}
	if held {
		event.ProofObtained.Log(n.Log, nil, f)
	} else {
		n.Stats.Count("proofs_expired", "")
		event.ProofExpired.Log(n.Log, nil, f)
	}
	if c.strict {
		n.publishReady()
	}
}

// proofGauges sets the gauges of the currency proof if this node needs one.
func (n *Node) proofGauges() {
	if !n.needsProof() {
		return
	}
	held, left := 0.0, time.Duration(n.currency.expiry.Load())-n.LeaseClock.Now()
	if left > 0 {
		held = 1
	}
	n.Stats.Gauge("proof_held", "", held)
	n.Stats.Gauge("proof_left_seconds", "", max(0, left.Seconds()))
}
