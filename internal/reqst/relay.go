package reqst

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// maxRelays is the maximum number of nodes through which a request is sent one after another: the first may be cut off
	// as well without knowing it yet.
	maxRelays = 2
	// relayAvoidance is how long a node that did not answer or cannot serve is not relayed to.
	relayAvoidance = time.Second
	// relayShareDivisor divides the time left of an idempotent request to give the time for the first node.
	relayShareDivisor = 2
)

// relayPeers chooses the nodes to relay through, in turn. It does no I/O and is not safe for concurrent use.
type relayPeers struct {
	next       int
	avoidUntil map[tier.NodeID]time.Duration
}

// pick returns the next node of the list that is not avoided; ok is false if there is none.
func (p *relayPeers) pick(now time.Duration, list []tier.NodeID) (id tier.NodeID, ok bool) {
	for range list {
		id = list[p.next%len(list)]
		p.next++
		if now >= p.avoidUntil[id] {
			return id, true
		}
	}
	return "", false
}

func (p *relayPeers) avoid(now time.Duration, id tier.NodeID) {
	if p.avoidUntil == nil {
		p.avoidUntil = map[tier.NodeID]time.Duration{}
	}
	p.avoidUntil[id] = now + relayAvoidance
}

// relayable reports whether a request may be sent through another node: only one that comes from a caller, so that it
// takes one hop at most.
func (d *Forwarder) relayable(in *Inbound) bool {
	return d.RelayTo != nil && !in.Relayed
}

// pickRelay returns a node that reaches the servers, as far as is known; ok is false if there is none.
func (d *Forwarder) pickRelay(now time.Duration) (id tier.NodeID, ok bool) {
	list := d.RelayPeers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relays.pick(now, list)
}

// relay sends a request through another node, because this one is cut off from the servers. ok is false if no node
// received it; the request has then not run.
func (d *Forwarder) relay(ctx context.Context, in *Inbound, r *vers.Route, version vers.RoutesVersion, began time.Duration) (out Outbound, ok bool) {
	deadline := began + in.timeLeft(r)
	mayHaveRun := false
	for range maxRelays {
		now := d.Clock.Now()
		peer, found := d.pickRelay(now)
		if !found || now >= deadline {
			break
		}
		next, err := d.relayOnce(ctx, peer, in, r, version, deadline-now)
		switch {
		case errors.Is(err, conn.ErrNotSent):
			continue
		case err == nil && mayHaveRun:
			out, ok = next.afterRun(), true
		case err == nil:
			out, ok = next, true
		default:
			mayHaveRun = true
			out, ok = lostRelay(d.Clock.Now() >= deadline), true
		}
		if !d.relayAgain(ctx, r, &out, err) {
			break
		}
	}
	if ok {
		d.recordRelayed(r, &out, d.Clock.Now()-began)
	}
	return out, ok
}

// afterRun returns the answer to a request of which an earlier attempt may have run: a refusal then no longer means that it
// has not run. The answer of another status is not the server's and lacks its headers, the signature included.
func (o Outbound) afterRun() Outbound {
	if !saysNotRun(o.Status) {
		return o
	}
	return Outbound{Status: http.StatusBadGateway, Reason: o.Reason, RetryAfter: o.RetryAfter, Release: o.Release}
}

// saysNotRun reports whether a status promises that a request has not run and will not.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// lostRelay is the answer to a request that another node received and did not answer.
func lostRelay(late bool) Outbound {
	if late {
		return Outbound{Status: http.StatusGatewayTimeout, Reason: tier.ReasonDeadline}
	}
	return Outbound{Status: http.StatusBadGateway, Reason: tier.ReasonLost, RetryAfter: shortRetryAfter}
}

// relayAgain reports whether a request may go through one more node: it has not run, or it is idempotent and the budget
// allows that servers get it once more.
func (d *Forwarder) relayAgain(ctx context.Context, r *vers.Route, out *Outbound, err error) bool {
	if err == nil {
		return out.Reason == tier.ReasonIsolated
	}
	return r.Idempotent && ctx.Err() == nil && d.spendRepeats(r.Services())
}

// relayOnce sends a request through one node. An error that does not wrap conn.ErrNotSent means that it may have run.
func (d *Forwarder) relayOnce(ctx context.Context, peer tier.NodeID, in *Inbound, r *vers.Route, version vers.RoutesVersion, left time.Duration) (Outbound, error) {
	began := d.Clock.Now()
	forward := *in
	forward.Relayed, forward.RoutesVersion, forward.TimeLeft = true, version, left
	wait := left
	if r.Idempotent {
		wait = max(left/relayShareDivisor, min(left, r.Objective()))
	}
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out, err := d.RelayTo(callCtx, peer, &forward)
	now := d.Clock.Now()
	switch {
	case err == nil:
		d.Stats.Latency("relay", r.Name, now-began)
		if out.Reason == tier.ReasonIsolated {
			d.avoidRelay(now, peer)
		}
	case ctx.Err() == nil:
		d.avoidRelay(now, peer)
		event.RelayFailed.Log(d.Log, err, logrus.Fields{"request": in.ID, "route": r.Name, "peer": peer})
	}
	return out, err
}

func (d *Forwarder) recordRelayed(r *vers.Route, out *Outbound, took time.Duration) {
	d.Stats.Latency("route", r.Name, took)
	d.Stats.Count("requests", r.Name+"/"+strconv.Itoa(out.Status))
	d.Stats.Count("relays", r.Name+"/"+strconv.Itoa(out.Status))
}

// spendRepeats spends one extra sub-request of each service from the budget; it returns false if one has none left.
func (d *Forwarder) spendRepeats(services []tier.Service) bool {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	fixed := d.fixedAllowance(now)
	for _, s := range services {
		if !d.extraBudget(s).Spend(now, fixed) {
			d.Stats.Count("budget_empty", string(s))
			return false
		}
	}
	return true
}

func (d *Forwarder) avoidRelay(now time.Duration, id tier.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relays.avoid(now, id)
}
