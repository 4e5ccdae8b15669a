package cmdln

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/edge"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
)

// TestZoneAndTenantCommands lists commands, the call that each makes and what it prints. It guards against an order with the wrong
// method or zone.
func TestZoneAndTenantCommands(t *testing.T) {
	priority := 0
	set := evac.Set{Version: 3, Zones: []evac.Entry{{Zone: "a1", Author: "ana", Reason: "power"}}}
	for _, c := range []struct {
		args  string
		call  string
		reply any
		want  []string
	}{
		{"zone evacuate a1 --reason power", "POST /v1/ops/evacuations/a1", set, []string{"zone a1 is evacuated (set 3)"}},
		{"zone restore b", "DELETE /v1/ops/evacuations/b", set, []string{"zone b is not evacuated (set 3)"}},
		{
			"zone status", "GET /v1/ops/evacuations",
			edge.ZonesReport{Committed: &set, InForce: 2, Zones: []edge.ZoneCount{{Zone: "a1", Hosts: 4, Servers: 9, Evacuated: true}, {Zone: "b"}}},
			[]string{"set 2 in force at this node, set 3 committed", "a1", "ana", "power", "b"},
		},
		{"zone status", "GET /v1/ops/evacuations", edge.ZonesReport{Problem: "nobody leads"}, []string{"nobody leads"}},
		{
			"tenants", "GET /v1/ops/tenants",
			[]edge.TenantReport{{Name: "big", Keys: 2, Rate: 46, Burst: 10, Priority: &priority}, {Name: "small", Keys: 1}},
			[]string{"big", "46", "small", "unlimited", "of the route"},
		},
	} {
		call := ""
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			call = r.Method + " " + r.URL.Path
			_ = json.NewEncoder(w).Encode(c.reply)
		}))
		var out, errs bytes.Buffer
		code := Main(append([]string{"--entries", srv.Listener.Addr().String()}, strings.Fields(c.args)...), &out, &errs)
		srv.Close()
		require.Equal(t, ExitOK, code, "%s: %s", c.args, errs.String())
		require.Equal(t, c.call, call)
		for _, w := range c.want {
			require.Contains(t, out.String(), w, c.args)
		}
	}
}
