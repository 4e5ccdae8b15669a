package reqst

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

type fixedProof bool

func (p fixedProof) Valid() bool { return bool(p) }

// countingQuota grants requests while left is positive.
type countingQuota struct{ left int }

func (q *countingQuota) Take(context.Context, *vers.Tenant, time.Duration) QuotaResult {
	if q.left == 0 {
		return QuotaResult{Known: true, RetryAfter: time.Second}
	}
	q.left--
	return QuotaResult{Granted: true, Token: quota.Token{Grant: 7}}
}

func (q *countingQuota) Return(_ *vers.Tenant, token quota.Token) {
	if token.Grant == 7 {
		q.left++
	}
}

// TestKeysDecideWhoIsServed lists what callers send on a table with tenants, and what servers and callers get.
func TestKeysDecideWhoIsServed(t *testing.T) {
	for _, c := range []struct {
		name    string
		keys    []string
		claimed string
		public  bool
		alone   bool
		expired bool
		relayed tier.Tenant
		status  int
		tenant  tier.Tenant
		counted bool
	}{
		{name: "known key", keys: []string{"k1"}, status: 200, tenant: "one", counted: true},
		{name: "another tenant's name is not believed", keys: []string{"k1"}, claimed: "two", status: 200, tenant: "one", counted: true},
		{name: "unknown key", keys: []string{"k3"}, claimed: "one", status: 401},
		{name: "no key", claimed: "one", status: 401},
		{name: "two keys", keys: []string{"k1", "k1"}, status: 401},
		{name: "unknown key on a host that hears of no other", keys: []string{"k3"}, alone: true, status: 503},
		{name: "public route", keys: []string{"k1"}, claimed: "two", public: true, status: 200},
		{name: "public route without a proof", public: true, expired: true, status: 200},
		{name: "known key without a proof", keys: []string{"k1"}, expired: true, status: 503, counted: true},
		{name: "relayed", relayed: "two", status: 200, tenant: "two"},
		{name: "relayed, tenant removed since", relayed: "gone", status: 401},
	} {
		d := benchForwarder(t, 1)
		d.Names.Credential, d.Names.Tenant = "Credential", "Tenant"
		d.Proof = fixedProof(!c.expired)
		d.RoutesRecent = func() bool { return !c.alone }
		var log, metrics bytes.Buffer
		d.Log = logrus.New()
		d.Log.SetOutput(&log)
		table := d.Routes()
		table.Tenants = []vers.Tenant{{Name: "one", Keys: []string{"k1"}}, {Name: "two", Keys: []string{"k2"}}}
		table.Routes[0].Public = c.public
		require.NoError(t, table.Check())
		h := http.Header{"Credential": c.keys, "Tenant": {c.claimed}}
		r := &table.Routes[0]
		in := &Inbound{ID: "id", Method: http.MethodGet, Target: "/", Path: r.Prefix, Host: r.Host, Header: h, Tenant: c.relayed, Relayed: c.relayed != ""}
		out := d.Forward(t.Context(), in)
		require.Equal(t, c.status, out.Status, "%s: %s", c.name, out.Reason)
		if c.status == http.StatusOK {
			require.Equal(t, c.tenant, in.Tenant, c.name)
			require.Empty(t, in.Header, c.name)
		} else {
			require.Contains(t, log.String(), "event=345", c.name)
			require.Contains(t, log.String(), "reason="+string(out.Reason), c.name)
		}
		require.NoError(t, d.Stats.WriteText(&metrics))
		for _, key := range c.keys {
			require.NotContains(t, log.String()+metrics.String(), key, c.name)
		}
		require.Equal(t, c.counted, strings.Contains(metrics.String(), `tenant_requests_total{label="one/`), c.name)
	}
}

// TestQuotaIsTakenOnceAndGivenBack: guards against requests beyond the quota, and against a quota that refusals use up.
func TestQuotaIsTakenOnceAndGivenBack(t *testing.T) {
	d := benchForwarder(t, 1)
	d.Names.Credential = "Credential"
	q := &countingQuota{left: 2}
	d.Quota = q
	table := d.Routes()
	table.Tenants = []vers.Tenant{{Name: "one", Keys: []string{"k"}, Rate: 1}, {Name: "free", Keys: []string{"f"}}}
	require.NoError(t, table.Check())
	send := func(key string) int {
		in := &Inbound{ID: "id", Method: http.MethodGet, Target: "/", Path: table.Routes[0].Prefix, Host: table.Routes[0].Host, Header: http.Header{"Credential": {key}}}
		return d.Forward(t.Context(), in).Status
	}
	require.Equal(t, http.StatusOK, send("k"))
	require.Equal(t, 1, q.left)
	require.Equal(t, http.StatusOK, send("f"), "no limit")
	require.Equal(t, 1, q.left)
	d.Directory = &staticDirectory{}
	require.Equal(t, http.StatusServiceUnavailable, send("k"))
	require.Equal(t, 1, q.left, "what has not run is given back")
	q.left = 0
	require.Equal(t, http.StatusTooManyRequests, send("k"))
}
