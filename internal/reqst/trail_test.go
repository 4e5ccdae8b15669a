package reqst

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestTriesNameTheStatusOfFailures lists how the log line of a request describes its sub-requests.
func TestTriesNameTheStatusOfFailures(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason tier.Reason
		status int
		hedge  bool
		use    conn.Use
		want   []string
	}{
		{"quick success", tier.ReasonNone, http.StatusOK, false, conn.Use{Conn: 1, Place: 1}, nil},
		{"no answer", tier.ReasonLost, 0, false, conn.Use{}, []string{"2 s1 +0ms for 1ms connection_lost"}},
		{"failure", tier.ReasonServerError, http.StatusNotFound, false, conn.Use{Conn: 3, Place: 17}, []string{"2 s1 +0ms for 1ms conn=3/17 server_error:404"}},
		{"unsigned success", tier.ReasonTruncated, http.StatusOK, false, conn.Use{}, []string{"2 s1 +0ms for 1ms truncated"}},
		{"hedge that was refused", tier.ReasonShed, http.StatusServiceUnavailable, true, conn.Use{Conn: 1, Place: 2}, []string{"2 s1 +0ms for 1ms conn=1/2 hedge server_shed:503"}},
	} {
		var log attemptLog
		log.sent(0, Action{Attempt: 0, Shard: 2, Server: "s1", Hedge: c.hedge})
		log.ended(time.Millisecond, 0, c.reason, c.status, c.use)
		require.Equal(t, c.want, log.describeProblems(time.Second, 100*time.Millisecond), c.name)
	}
}
