package vers

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const exampleTable = `{
  // The booking counter.
  "version": 4,
  "routes": [
    {"name": "search", "host": "Book.example", "prefix": "/search/", "idempotent": true, "timeout": 800, "target": 80, "attempts": 2,
     "gather": ["a", "b"], "top": 50, "least": 0.5},
    {"name": "book", "host": "book.example", "prefix": "/book/", "timeout": 2500, "service": "a"},
    {"name": "trial", "host": "book.example", "prefix": "/trial/", "timeout": 2500, "split": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]},
  ],
  "services": [{"name": "a", "connections": 26}, {"name": "b"}],
  "limits": {"body": 65536, "read": 3000},
  "tenants": [{"name": "acme", "keys": ["secret-1", "secret-2"], "rate": 46, "burst": 12, "priority": 0}, {"name": "small"}],
}`

func TestDocumentIsDecoded(t *testing.T) {
	r, err := DecodeRoutes([]byte(exampleTable))
	require.NoError(t, err)
	require.NoError(t, r.Check())
	require.Equal(t, RoutesVersion(4), r.Version)
	m := r.Match("book.example:80", "/search/x")
	require.Equal(t, 80*time.Millisecond, m.Target)
	require.Len(t, m.Gather, 2)
	require.False(t, r.Match("book.example", "/book/1").Idempotent)
	require.InDelta(t, 9, r.Match("book.example", "/trial/").Split[0].Weight, 0)
	require.EqualValues(t, 65536, r.Limits.BodyBytes)
	require.Equal(t, &Tenant{Name: "acme", Keys: []string{"secret-1", "secret-2"}, Rate: 46, Burst: 12, HasPriority: true}, r.TenantByKey("secret-2"))
	require.Zero(t, r.Tenant("small").Rate, "no limit")
}

func TestBadDocumentsAreRefused(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`"version": 4,`, ``},
		{`"version": 4`, `"version": "four"`},
		{`"timeout": 800`, `"time_out": 800`},
		{`"limits"`, `} "limits"`},
		{`"rate": 46`, `"rate": 1e999`},
		{`"rate": 46`, `"rate": "46"`},
		{`"rate": 46`, `"rate": -0.5`},
		{`"priority": 0`, `"priority": 0.5`},
		{`"secret-2"`, `""`},
		{`"secret-2"`, `null`},
		{`"secret-2"`, `7`},
		{`"secret-1", "secret-2"`, `"secret-1" "secret-2"`},
		{`["secret-1", "secret-2"]`, `"secret-1"`},
		{`["secret-1", "secret-2"]`, `{"secret-1": true}`},
		{`{"name": "small"}`, `{"name": "small", "keys": ["secret-1"]}`},
		{`{"name": "small"}`, `{"name": "acme"}`},
		{`{"name": "small"}`, `{}`},
		{`{"name": "small"}`, `"small"`},
		{`"limits"`, `"tenants": [{"name": "first"}], "limits"`},
		{`{"name": "small"}`, `{"name": "small", "api_keys": []}`},
	} {
		r, err := DecodeRoutes([]byte(strings.Replace(exampleTable, c.old, c.new, 1)))
		if err == nil {
			err = r.Check()
		}
		require.Error(t, err, c.new)
		require.NotContains(t, err.Error(), "secret-", "the key: %s", c.new)
	}
}
