package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// record counts and logs the outcome of a request that needed a token.
func (q *quotas) record(t tier.Tenant, o quota.Outcome) {
	stats := q.node.Stats
	if o.Granted {
		stats.Count("quota_requests", "granted")
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now, note := q.now(), q.note(t)
	label := otherTenants
	if note != nil {
		label = string(t)
	}
	if !o.Known {
		stats.Count("quota_requests", "unavailable")
		stats.Count("quota_unavailable", label)
		if note != nil && due(now, &note.unavailable) {
			event.QuotaUnavailable.Log(q.node.Log, nil, logrus.Fields{"tenant": t})
		}
		return
	}
	stats.Count("quota_requests", "refused")
	stats.Count("quota_refused", label)
	if note != nil && due(now, &note.exhausted) {
		event.QuotaExhausted.Log(q.node.Log, nil, logrus.Fields{"tenant": t, "retry_ms": tier.ToMillis(o.RetryAfter)})
	}
}

// logTooSmall logs that a tenant's quota cannot be shared. It is called with mu held.
func (q *quotas) logTooSmall(now time.Duration, t tier.Tenant, voters int) {
	if note := q.note(t); note != nil && due(now, &note.small) {
		event.QuotaTooSmall.Log(q.node.Log, nil, logrus.Fields{"tenant": t, "voters": voters})
	}
}

// note returns the note of a tenant, or nil if there are too many tenants. It is called with mu held.
func (q *quotas) note(t tier.Tenant) *tenantNote {
	x := q.named[t]
	if x == nil && len(q.named) < maxNamedTenants {
		x = &tenantNote{-quotaLogInterval, -quotaLogInterval, -quotaLogInterval}
		q.named[t] = x
	}
	return x
}

// due reports whether a line may be logged now, and records that it is.
func due(now time.Duration, last *time.Duration) bool {
	if now-*last < quotaLogInterval {
		return false
	}
	*last = now
	return true
}

// setGauges sets the gauges of the quotas.
func (q *quotas) setGauges(set func(name, label string, v float64)) {
	if !q.limited.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	granting := 0.0
	if q.granting {
		granting = 1
	}
	set("quota_granting", "", granting)
	set("quota_tokens", "held", float64(q.pool.Held()))
}
