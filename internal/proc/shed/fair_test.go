package shed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestTenantsShareWhatIsAdmitted replays tenants that ask at different rates while half of all requests is admitted: guards
// against a large tenant that takes the room of the small ones, and against a tenant that is starved.
func TestTenantsShareWhatIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		name string
		// per are the requests of each tenant in each step, weights their weights, want the shares that they get.
		per, weights, want []float64
	}{
		{"equal tenants", []float64{1, 1, 1, 1}, []float64{1, 1, 1, 1}, []float64{0.5, 0.5, 0.5, 0.5}},
		{"asked in proportion to the weights", []float64{4, 2}, []float64{20, 10}, []float64{0.5, 0.5}},
		{"one asks three times its part", []float64{6, 2, 2, 2}, []float64{1, 1, 1, 1}, []float64{0.25, 0.75, 0.75, 0.75}},
		{"no weight counts as the mean", []float64{4, 2, 3}, []float64{20, 10, 0}, []float64{0.5, 0.5, 0.5}},
		{"one asks nearly everything", []float64{18, 1, 1}, []float64{1, 1, 1}, []float64{8.0 / 18, 1, 1}},
		{"a small weight is not starved", []float64{10, 10}, []float64{1, 99}, []float64{0.25, 0.99}},
	} {
		f := &fair{}
		shares := make([]float64, len(c.per))
		for now := time.Duration(0); now < 10*time.Second; now += replayStep {
			for i, n := range c.per {
				for range int(n) {
					shares[i] = f.ask(now, tier.Tenant(rune('a'+i)), c.weights[i], 0.5)
				}
			}
		}
		for i := range shares {
			require.InDelta(t, c.want[i], shares[i], 0.02, "%s: tenant %d", c.name, i)
		}
	}
}
