package reqst

import (
	"context"
	"net/http"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Proof proves that the routing table of this node is recent enough for its keys to be valid.
type Proof interface {
	// Valid reports whether requests with keys may be served now.
	Valid() bool
}

// Quota holds this node's part of the tenants' quotas.
type Quota interface {
	// Take takes one request from a tenant's quota; it may wait up to limit for other nodes.
	Take(ctx context.Context, n *vers.Tenant, limit time.Duration) QuotaResult
	// Return gives back the request of an earlier Take that did not run.
	Return(n *vers.Tenant, token quota.Token)
}

// QuotaResult is the result of Quota.Take. Unless Granted is set, Known tells whether the quota is exhausted or could not be
// determined, and RetryAfter when to ask again.
type QuotaResult struct {
	Granted    bool
	Known      bool
	RetryAfter time.Duration
	// Token is what was taken.
	Token quota.Token
}

const (
	// quotaTargetDivisor divides a route's target to give the time in which a request's quota must be determined, at least
	// minQuotaTime: two calls to other zones, the first of which times out.
	quotaTargetDivisor = 10
	minQuotaTime       = 60 * time.Millisecond
)

// identify returns the tenant of a request, or nil where no key is needed, and removes the caller's key and tenant from the
// headers. refused is the answer if the request must not be served.
func (d *Forwarder) identify(in *Inbound, t *vers.Routes, r *vers.Route) (n *vers.Tenant, refused *Outbound) {
	if !t.Keyed() {
		return nil, nil
	}
	keys := in.Header[d.Names.Credential]
	delete(in.Header, d.Names.Credential)
	delete(in.Header, d.Names.Tenant)
	if r.Public {
		in.Tenant = ""
		return nil, nil
	}
	switch {
	case in.Relayed && in.Tenant != "":
		n = t.Tenant(in.Tenant)
	case len(keys) == 1:
		n = t.TenantByKey(keys[0])
	}
	if n == nil {
		return nil, d.unknownKey()
	}
	in.Tenant = n.Name
	if d.Proof != nil && !in.Relayed && !d.proven(t) {
		out := refusal(tier.ReasonUnproven, shortRetryAfter)
		return nil, &out
	}
	return n, nil
}

// proven reports whether there is a valid proof for a routing table. A proof that is valid may count for a table that has
// replaced it since the request looked it up, and in which the key is gone.
func (d *Forwarder) proven(t *vers.Routes) bool { return d.Proof.Valid() && d.Routes() == t }

// unknownKey is the answer to a request without a valid key. A node whose table may be outdated cannot say that a key is
// unknown.
func (d *Forwarder) unknownKey() *Outbound {
	if d.RoutesRecent != nil && !d.RoutesRecent() {
		out := refusal(tier.ReasonNoControl, shortRetryAfter)
		return &out
	}
	return &Outbound{Status: http.StatusUnauthorized, Reason: tier.ReasonKey}
}

// takeQuota takes a request from its tenant's quota, and returns the refusal if there is nothing left. A relayed request was
// counted at the first node.
func (d *Forwarder) takeQuota(ctx context.Context, in *Inbound, r *vers.Route, n *vers.Tenant) *Outbound {
	if !d.limited(in, n) {
		return nil
	}
	res := d.Quota.Take(ctx, n, max(r.Objective()/quotaTargetDivisor, minQuotaTime))
	switch {
	case res.Granted:
		in.quota = res.Token
		return nil
	case res.Known:
		return &Outbound{Status: http.StatusTooManyRequests, Reason: tier.ReasonQuota, RetryAfter: res.RetryAfter}
	}
	out := refusal(tier.ReasonNoQuota, max(shortRetryAfter, res.RetryAfter))
	return &out
}

// returnQuota gives back what a request took from its tenant's quota if it was sent to no server, by this node or another.
func (d *Forwarder) returnQuota(f *forwarding, in *Inbound, out *Outbound) {
	if d.limited(in, f.tenant) && saysNotRun(out.Status) && !f.passedOn && (f.plan == nil || !f.plan.Sent()) {
		d.Quota.Return(f.tenant, in.quota)
	}
}

func (d *Forwarder) limited(in *Inbound, n *vers.Tenant) bool {
	return d.Quota != nil && n != nil && n.Rate > 0 && !in.Relayed
}
