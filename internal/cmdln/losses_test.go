package cmdln

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossesAreSummarized covers each result, causes with and without sub-requests, and windows.
func TestLossesAreSummarized(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.log")
	require.NoError(t, os.WriteFile(path, []byte(`{"event":200,"msg":"node started","time":"2026-12-04T07:00:00.000Z"}
{"event":310,"request":"1","route":"search","status":200,"late":false,"missing":0,"tries":null,"time":"2026-12-04T07:10:00.100Z"}
{"event":310,"request":"2","route":"search","status":200,"late":true,"missing":1,"tries":["3 i-7 +0ms for 90ms ","3 i-8 +20ms for 70ms hedge open"],"time":"2026-12-04T07:10:00.200Z"}
{"event":310,"request":"3","route":"search","status":200,"late":true,"missing":0,"tries":["3 i-7 +0ms for 90ms conn=4/31 ","4 i-9 +20ms for 70ms conn=1/2 hedge "],"time":"2026-12-04T07:10:02.200Z"}
{"event":310,"request":"4","route":"search","status":200,"late":false,"missing":2,"tries":["3 i-7 +0ms for 1ms conn=4/32 server_shed"],"time":"2026-12-04T07:10:00.300Z"}
{"event":311,"request":"5","route":"order","status":502,"late":false,"missing":1,"reason":"connection_lost","tries":["0 i-1 +0ms for 3ms connection_lost"],"time":"2026-12-04T07:10:00.400Z"}
{"event":311,"request":"6","route":"order","status":503,"late":false,"missing":1,"reason":"no_server","tries":null,"time":"2026-12-04T07:10:00.500Z"}
{"event":345,"request":"7","route":"parts","status":401,"reason":"key","time":"2026-12-04T07:10:00.500Z"}
{"event":345,"request":"8","route":"parts","status":429,"reason":"quota","tenant":"acme","time":"2026-12-04T07:10:00.500Z"}
{"event":345,"request":"9","route":"parts","status":503,"reason":"unproven","tenant":"acme","time":"2026-12-04T07:10:00.500Z"}
not a line of ours
`), 0o600))
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, `ROUTE   RESULT   REQUESTS  MISSING  CAUSES                            SERVERS
order   failed   1         1        connection_lost 100%              i-1 100%
order   refused  1         1        no_server 100%                    
parts   refused  3         0        key 33%, quota 33%, unproven 33%  
search  late     2         1        slow 75%, open 25%                i-7 50%, i-8 25%, i-9 25%
search  partial  1         2        server_shed 100%                  i-7 100%
`},
		{[]string{"--tenant", "acme"}, `ROUTE  RESULT   REQUESTS  MISSING  CAUSES                   SERVERS
parts  refused  2         0        quota 50%, unproven 50%  
`},
		{[]string{"--window", "2s"}, `FROM          ROUTE   RESULT   REQUESTS  MISSING  CAUSES                            SERVERS
07:10:00.000  order   failed   1         1        connection_lost 100%              i-1 100%
07:10:00.000  order   refused  1         1        no_server 100%                    
07:10:00.000  parts   refused  3         0        key 33%, quota 33%, unproven 33%  
07:10:00.000  search  late     1         1        open 50%, slow 50%                i-7 50%, i-8 50%
07:10:00.000  search  partial  1         2        server_shed 100%                  i-7 100%
07:10:02.000  search  late     1         0        slow 100%                         i-7 50%, i-9 50%
`},
	} {
		var out, errs bytes.Buffer
		require.Zero(t, Main(append(append([]string{"losses"}, c.args...), path), &out, &errs), errs.String())
		require.Equal(t, c.want, out.String())
	}
}
