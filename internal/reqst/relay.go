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
	// keepsLeases holds the nodes that are known to keep to leased attempts.
	keepsLeases map[tier.NodeID]bool
}

// pick returns the next node of the list that is not avoided, and with mustKeep is known to keep to leased attempts; ok is
// false if there is none.
func (p *relayPeers) pick(now time.Duration, list []tier.NodeID, mustKeep bool) (id tier.NodeID, ok bool) {
	for range list {
		id = list[p.next%len(list)]
		p.next++
		if now >= p.avoidUntil[id] && (!mustKeep || p.keepsLeases[id]) {
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

// pickRelay returns a node that reaches the servers, as far as is known, and whether it is known to keep to leased attempts;
// ok is false if there is none for the account.
func (d *Forwarder) pickRelay(now time.Duration, acct *account) (id tier.NodeID, keeps, ok bool) {
	if acct.left() == 0 {
		return "", false, false
	}
	list := d.RelayPeers()
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok = d.relays.pick(now, list, acct.mustKeep())
	return id, d.relays.keepsLeases[id], ok
}

// relay sends a request through another node, because this one is cut off from the servers. ok is false if no node
// received it; another node has then not run it.
func (d *Forwarder) relay(ctx context.Context, in *Inbound, r *vers.Route, version vers.RoutesVersion, began time.Duration, acct account) (out Outbound, ok bool) {
	deadline := began + in.timeLeft(r)
	var peers []tier.NodeID
	for i := range maxRelays {
		now := d.Clock.Now()
		if now >= deadline {
			break
		}
		peer, keeps, found := d.pickRelay(now, &acct)
		if !found {
			break
		}
		attempts := acct.lease(keeps, i+1 < maxRelays)
		peers = append(peers, peer)
		forward := *in
		forward.Relayed, forward.RoutesVersion, forward.TimeLeft = true, version, deadline-now
		forward.Attempts, forward.Repeat = attempts, acct.counted
		ranBefore := acct.ran
		next, err := d.relayOnce(ctx, peer, &forward, r, relayWait(r, deadline-now, acct.exhausted()))
		acct.settle(&next, err)
		if out.Release != nil && !errors.Is(err, conn.ErrNotSent) {
			out.Release()
		}
		switch {
		case errors.Is(err, conn.ErrNotSent):
			continue
		case err == nil && ranBefore:
			out, ok = next.afterRun(), true
		case err == nil:
			out, ok = next, true
		default:
			out, ok = failedRelay(err, d.Clock.Now() >= deadline), true
		}
		if !d.relayAgain(ctx, r, &out, err) {
			break
		}
	}
	if ok {
		d.recordRelayed(in, r, &out, d.Clock.Now()-began, peers)
	}
	return out, ok
}

// relayWait returns how long a node has for a request with this much time left. An idempotent request leaves time for
// another node, unless none may get it any more.
func relayWait(r *vers.Route, left time.Duration, exhausted bool) time.Duration {
	if !r.Idempotent || exhausted {
		return left
	}
	return max(left/relayShareDivisor, min(left, r.Objective()))
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

// failedRelay is the answer to a request that another node received and did not answer, or to whose answer this node has no
// room.
func failedRelay(err error, late bool) Outbound {
	if errors.Is(err, conn.ErrNoRoom) {
		return Outbound{Status: http.StatusBadGateway, Reason: tier.ReasonNoRoom, RetryAfter: shortRetryAfter}
	}
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
	// The answer of another node would find no room either.
	return !errors.Is(err, conn.ErrNoRoom) && r.Idempotent && ctx.Err() == nil && d.spendRepeats(r.Services())
}

// relayOnce sends a request through one node and waits at most so long. An error that does not wrap conn.ErrNotSent means
// that it may have run.
func (d *Forwarder) relayOnce(ctx context.Context, peer tier.NodeID, in *Inbound, r *vers.Route, wait time.Duration) (Outbound, error) {
	began := d.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out, err := d.RelayTo(callCtx, peer, in)
	now := d.Clock.Now()
	d.learnLeases(peer, &out, err)
	switch {
	case err == nil:
		d.Stats.Latency("relay", r.Name, now-began)
		if out.Reason == tier.ReasonIsolated {
			d.avoidRelay(now, peer)
		}
	case errors.Is(err, conn.ErrNoRoom):
		d.Stats.Count("relays_without_room", r.Name)
	case ctx.Err() == nil:
		d.avoidRelay(now, peer)
		event.RelayFailed.Log(d.Log, err, logrus.Fields{"request": in.ID, "route": r.Name, "peer": peer})
	}
	return out, err
}

// learnLeases records whether a node keeps to leased attempts: it says so in its answers. After an error it may have been
// replaced by an earlier build.
func (d *Forwarder) learnLeases(id tier.NodeID, out *Outbound, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || !out.Accounted {
		delete(d.relays.keepsLeases, id)
		return
	}
	if d.relays.keepsLeases == nil {
		d.relays.keepsLeases = map[tier.NodeID]bool{}
	}
	d.relays.keepsLeases[id] = true
}

// recordRelayed records statistics of a relayed request, and writes a line if it failed.
func (d *Forwarder) recordRelayed(in *Inbound, r *vers.Route, out *Outbound, took time.Duration, peers []tier.NodeID) {
	d.Stats.Latency("route", r.Name, took)
	d.Stats.Count("requests", r.Name+"/"+strconv.Itoa(out.Status))
	d.Stats.Count("relays", r.Name+"/"+strconv.Itoa(out.Status))
	if out.Status < http.StatusInternalServerError && out.Status != http.StatusTooManyRequests {
		return
	}
	d.Stats.Count("requests_failed", r.Name+"/"+string(out.Reason))
	if !d.failureLog.Allow(d.Clock.Now()) {
		d.Stats.Count("log_lines_dropped", "failures")
		return
	}
	event.RequestFailed.Log(d.Log, nil, withTenant(in, logrus.Fields{
		"request": in.ID, "route": r.Name, "status": out.Status, "reason": out.Reason, "took_ms": took.Milliseconds(), "relays": peers,
	}))
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
