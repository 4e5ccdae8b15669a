package vers

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

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
		{"negative burst", []Tenant{{Name: "a", Burst: -1}}, false},
		{"rate is not a number", []Tenant{{Name: "a", Rate: math.NaN()}}, false},
		{"long name", []Tenant{{Name: tier.Tenant(strings.Repeat("a", 1000))}}, false},
		{"huge limits", []Tenant{{Name: "a", Rate: math.MaxFloat64, Burst: math.MaxFloat64}}, true},
		{"tiny rate", []Tenant{{Name: "a", Rate: math.SmallestNonzeroFloat64}}, true},
		{"100,000 tenants", manyTenants(100_000), true},
		{"100,000 tenants, the last with the first one's key", append(manyTenants(100_000), Tenant{Name: "a", Keys: []string{"key0"}}), false},
		{"negative priority", []Tenant{{Name: "a", Priority: -1, HasPriority: true}}, false},
	} {
		r := validRoutes()
		r.Tenants = c.tenants
		err := r.Check()
		if c.valid {
			require.NoError(t, err, c.name)
			for i := range c.tenants {
				n := &c.tenants[i]
				require.LessOrEqual(t, n.Rate+n.Burst, 2*maxRate, "a quota can be computed with: %s", c.name)
				require.Positive(t, time.Duration(float64(time.Second)/max(n.Rate, minRate)), c.name)
				require.Same(t, n, r.Tenant(n.Name), c.name)
			}
			continue
		}
		require.Error(t, err, c.name)
		require.NotContains(t, err.Error(), "secret", c.name)
	}
}

func manyTenants(count int) (list []Tenant) {
	for i := range count {
		list = append(list, Tenant{Name: tier.Tenant(fmt.Sprint("t", i)), Keys: []string{fmt.Sprint("key", i)}})
	}
	return list
}

// BenchmarkTenantByKey shows that the look-up does not depend on the number of keys and does not allocate.
func BenchmarkTenantByKey(b *testing.B) {
	for _, keys := range []int{80, 100_000} {
		r := validRoutes()
		r.Tenants = manyTenants(keys)
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
