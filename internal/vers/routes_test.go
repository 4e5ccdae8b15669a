package vers

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func validRoutes() *Routes {
	return &Routes{
		Version:  7,
		Backends: []Backend{{Name: "a"}, {Name: "b"}, {Name: "c", Conns: 26}},
		Routes: []Route{
			{Name: "one", Host: "x.example", Prefix: "/", Idempotent: true, Timeout: time.Second, Service: "a"},
			{Name: "long", Host: "x.example", Prefix: "/deep/er/", Idempotent: true, Timeout: time.Second, Service: "b"},
			{Name: "split", Host: "y.example", Prefix: "/s/", Timeout: time.Second, Split: []Part{{"a", 3}, {"b", 1}}},
			{Name: "all", Host: "y.example", Prefix: "/g/", Idempotent: true, Timeout: time.Second, Gather: []tier.Service{"a", "b", "c"}, Top: 5, MinShare: 0.75},
		},
	}
}

func TestLongestPrefixOfTheHostIsMatched(t *testing.T) {
	r := validRoutes()
	require.NoError(t, r.Check())
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/", "one"},
		{"x.example", "/deep/", "one"},
		{"x.example", "/deep/er/z", "long"},
		{"X.Example:8226", "/deep/er/z", "long"},
		{"y.example", "/g/1", "all"},
		{"y.example", "/g", ""},
		{"z.example", "/", ""},
	} {
		got := ""
		if m := r.Match(c.host, c.path); m != nil {
			got = m.Name
		}
		require.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
	require.Equal(t, 26, r.Backend("c").Conns)
}

func TestInvalidRoutesAreRefused(t *testing.T) {
	for _, c := range []struct {
		name       string
		invalidate func(*Routes)
	}{
		{"unknown service", func(r *Routes) { r.Routes[0].Service = "none" }},
		{"unknown service of a gather", func(r *Routes) { r.Routes[3].Gather[1] = "none" }},
		{"unknown service of a split", func(r *Routes) { r.Routes[2].Split[0].Service = "none" }},
		{"same host and prefix", func(r *Routes) { r.Routes[1].Prefix = "/" }},
		{"weights of 0", func(r *Routes) { r.Routes[2].Split[0].Weight, r.Routes[2].Split[1].Weight = 0, 0 }},
		{"negative weight", func(r *Routes) { r.Routes[2].Split[0].Weight = -1 }},
		{"timeout of 0", func(r *Routes) { r.Routes[0].Timeout = 0 }},
		{"prefix without slash", func(r *Routes) { r.Routes[0].Prefix = "/a" }},
		{"no host", func(r *Routes) { r.Routes[0].Host = "" }},
		{"no destination", func(r *Routes) { r.Routes[0].Service = "" }},
		{"two kinds of destination", func(r *Routes) { r.Routes[0].Gather = []tier.Service{"a"} }},
		{"gather that is not idempotent", func(r *Routes) { r.Routes[3].Idempotent = false }},
		{"same service twice in a gather", func(r *Routes) { r.Routes[3].Gather[1] = "a" }},
		{"share over 1", func(r *Routes) { r.Routes[3].MinShare = 1.1 }},
		{"service twice", func(r *Routes) { r.Backends[1].Name = "a" }},
		{"service without name", func(r *Routes) { r.Backends[1].Name = "" }},
	} {
		r := validRoutes()
		c.invalidate(r)
		require.Error(t, r.Check(), c.name)
	}
}

// TestDeeplyNestedDocumentIsRefused: guards against a routing table that ends the process by a stack overflow.
func TestDeeplyNestedDocumentIsRefused(t *testing.T) {
	for _, doc := range []string{
		strings.Repeat("[", 4<<20),
		strings.Repeat(`{"routes":`, 1<<20),
		`{"version": 1, "routes": [], "services": [{"name": "s", "more": ` + strings.Repeat("[", 2<<20) + strings.Repeat("]", 2<<20) + `}]}`,
	} {
		_, err := DecodeRoutes([]byte(doc))
		require.ErrorIs(t, err, jsonc.ErrTooDeep)
	}
}
