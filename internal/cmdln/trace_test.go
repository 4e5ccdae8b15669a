package cmdln

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTracePrintsRequestAndNearbyEvents checks that trace leaves out lines of another request, of a node
// that did not log the request, and of events logged long before it.
func TestTracePrintsRequestAndNearbyEvents(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a.log", `{"event":200,"msg":"node started","time":"2026-12-04T07:00:00.000Z"}
{"event":216,"msg":"host changed","host":"10.0.0.7","state":"down","time":"2026-12-04T07:10:00.500Z"}
{"event":311,"msg":"request failed","request":"id-1","reason":"connection_lost","tries":["3 i-7 +0ms for 400ms connection_lost"],"time":"2026-12-04T07:10:01.000Z"}
{"event":311,"msg":"request failed","request":"id-2","time":"2026-12-04T07:10:01.100Z"}
{"event":345,"msg":"request refused","request":"id-4","reason":"quota","route":"search","status":429,"tenant":"acme","time":"2026-12-04T07:20:01.000Z"}
not a line of ours
`)
	b := write("b.log", `{"event":212,"msg":"routing table in force","time":"2026-12-04T07:10:01.000Z"}`)
	var out, errs bytes.Buffer
	require.Zero(t, Main([]string{"trace", "id-1", a, b}, &out, &errs), errs.String())
	require.Equal(t, `07:10:00.500 a.log 216 host changed  host=10.0.0.7 state=down
07:10:01.000 a.log 311 request failed  reason=connection_lost request=id-1
             3 i-7 +0ms for 400ms connection_lost
`, out.String())
	out.Reset()
	require.Zero(t, Main([]string{"trace", "id-4", a, b}, &out, &errs), errs.String())
	require.Equal(t, `07:20:01.000 a.log 345 request refused  reason=quota request=id-4 route=search status=429 tenant=acme
             the tenant's quota was used up on all control hosts
`, out.String())
	require.Equal(t, ExitFailed, Main([]string{"trace", "id-3", a}, &out, &errs))
}
