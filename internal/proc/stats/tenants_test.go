package stats

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestBusiestTenantsAreNamed: guards against metrics that grow with the number of tenants, and against busy tenants that share a
// label because they came after others.
func TestBusiestTenantsAreNamed(t *testing.T) {
	r := NewRegistry()
	send := func(now time.Duration, n string, times int) {
		for range times {
			r.Tenant(now, TenantRequest{Tenant: tier.Tenant(n), Result: "refused", Reason: tier.ReasonQuota, Took: time.Millisecond})
		}
	}
	text := func() string {
		var b bytes.Buffer
		require.NoError(t, r.WriteText(&b))
		return b.String()
	}
	for i := range MaxTenants {
		send(0, fmt.Sprint("early/", i), 2+i)
	}
	for i := range 10_000 {
		send(0, fmt.Sprint("small", i), 1)
	}
	send(0, "busy", 30)
	require.Contains(t, text(), `tenant_requests_total{label="other tenants/refused"} 10030`)
	send(tenantPeriod, "busy", 1)
	require.Contains(t, text(), `tenant_requests_total{label="busy/refused"} 1`)
	require.Contains(t, text(), `tenant_requests_failed_total{label="busy/quota"} 1`)
	require.NotContains(t, text(), `early/0`, "the least busy tenant makes room")
	require.Contains(t, text(), `latency_seconds_count{tenant="early/1"} 3`, "tenants with one request don't")
	require.Equal(t, MaxTenants+1, strings.Count(text(), "latency_seconds_count{tenant="))
	require.LessOrEqual(t, len(r.tenants.tallies), trackedTenants)
}
