package reqst

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Results of a tenant's requests in the metrics.
const (
	resultServed  = "served"
	resultLate    = "late"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// refusalLogs bound the lines about requests that are refused before any server is chosen, apart from those about failures.
// Requests without a valid key have a limit of their own: anyone can send them at any rate.
type refusalLogs struct{ unknown, tenants event.Limit }

// refused counts and logs a request that is refused before any server is chosen. Neither the line nor a counter holds the key.
func (d *Forwarder) refused(in *Inbound, r *vers.Route, out *Outbound) Outbound {
	d.Stats.Count("requests", r.Name+"/"+strconv.Itoa(out.Status))
	d.Stats.Count("requests_failed", r.Name+"/"+string(out.Reason))
	d.countTenant(in, r, out, 0)
	limit := &d.refusalLogs.tenants
	if out.Reason == tier.ReasonKey {
		limit = &d.refusalLogs.unknown
	}
	if !limit.Allow(d.Clock.Now()) {
		d.Stats.Count("log_lines_dropped", "refusals")
		return *out
	}
	event.RequestRefused.Log(d.Log, nil, withTenant(in, logrus.Fields{
		"request": in.ID, "route": r.Name, "status": out.Status, "reason": out.Reason, "retry_ms": out.RetryAfter.Milliseconds(),
	}))
	return *out
}

// withTenant adds the tenant of a request to the fields of a log line if the routing table has tenants.
func withTenant(in *Inbound, f logrus.Fields) logrus.Fields {
	if in.Tenant != "" {
		f["tenant"] = in.Tenant
	}
	return f
}

// countTenant records a request for its tenant. A relayed request was recorded at the first node.
func (d *Forwarder) countTenant(in *Inbound, r *vers.Route, out *Outbound, took time.Duration) {
	if in.Tenant == "" || in.Relayed {
		return
	}
	q := stats.TenantRequest{Tenant: in.Tenant, Result: resultServed, Took: took}
	switch {
	case saysNotRun(out.Status):
		q.Result, q.Reason, q.Took = resultRefused, out.Reason, 0
	case out.Status >= http.StatusInternalServerError:
		q.Result, q.Reason = resultFailed, out.Reason
	case took > r.Objective()-(r.Timeout-in.timeLeft(r)):
		q.Result = resultLate
	}
	d.Stats.Tenant(d.Clock.Now(), q)
}
