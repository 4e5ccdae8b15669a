package reqst

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/shed"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestSearchIsRefusedBeforeItsFanOut: guards against searches that use servers without room, and against gates that are left
// behind by services without servers. Routes with fewer shards have no gate.
func TestSearchIsRefusedBeforeItsFanOut(t *testing.T) {
	for _, c := range []struct {
		shards int
		gated  bool
	}{{minGateShards, true}, {minGateShards - 1, false}} {
		d := benchForwarder(t, c.shards)
		r := &d.Routes().Routes[0]
		g := &shed.Gate{}
		began := d.Clock.Now() - 3*time.Second
		g.Start(began, c.shards)
		spare := len(r.Gather) - minParts(r)
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			for shard := range c.shards {
				g.Refused(began+at, shard)
			}
			g.Finished(began+at, spare, shed.FailedTime)
		}
		d.gates[r.Gather[0]] = g
		refused := 0
		for range 2 {
			in := &Inbound{ID: "id", Method: http.MethodGet, Target: r.Prefix, Path: r.Prefix, Host: r.Host, Header: http.Header{}}
			if out := d.Forward(t.Context(), in); out.Status == http.StatusServiceUnavailable {
				require.Equal(t, tier.ReasonOverload, out.Reason)
				require.Positive(t, out.RetryAfter)
				refused++
			}
		}
		require.Equal(t, c.gated, refused > 0, "%d shards", c.shards)
		d.Directory = &staticDirectory{}
		d.ForgetGone()
		require.Empty(t, d.gates)
	}
}
