package vers

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestInvalidTenantsAreRefused: guards against keys that belong to two tenants, and against quotas that no one can keep.
func TestInvalidTenantsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		tenants []Tenant
		valid   bool
	}{
		{"none", []Tenant{}, true},
		{"no key, no limit", []Tenant{{Name: "a"}}, true},
		{"the same key twice", []Tenant{{Name: "a", Keys: []string{"k", "k"}}}, true},
		{"shared key", []Tenant{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, false},
		{"empty key", []Tenant{{Name: "a", Keys: []string{""}}}, false},
		{"no name", []Tenant{{}}, false},
		{"name that is no header value", []Tenant{{Name: "a\r\nb"}}, false},
		{"the same name", []Tenant{{Name: "a"}, {Name: "a"}}, false},
		{"negative rate", []Tenant{{Name: "a", Rate: -1}}, false},
		{"burst is not a number", []Tenant{{Name: "a", Burst: math.NaN()}}, false},
		{"infinite rate", []Tenant{{Name: "a", Rate: math.Inf(1)}}, false},
		{"negative priority", []Tenant{{Name: "a", Priority: -1, HasPriority: true}}, false},
	} {
		r := validRoutes()
		r.Tenants = c.tenants
		err := r.Check()
		if c.valid {
			require.NoError(t, err, c.name)
			continue
		}
		require.Error(t, err, c.name)
		require.NotContains(t, err.Error(), "secret", c.name)
	}
}

// BenchmarkTenantByKey shows that the look-up does not depend on the number of keys and does not allocate.
func BenchmarkTenantByKey(b *testing.B) {
	for _, keys := range []int{80, 100_000} {
		r := validRoutes()
		for i := range keys {
			r.Tenants = append(r.Tenants, Tenant{Name: tier.Tenant(fmt.Sprint("t", i)), Keys: []string{fmt.Sprint("key", i)}})
		}
		require.NoError(b, r.Check())
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if r.TenantByKey(r.Tenants[i%keys].Keys[0]) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
