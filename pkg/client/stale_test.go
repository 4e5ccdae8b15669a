package client

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestAnswerHoldsNothingOfAnEarlierResponse has an entry answer first by a response of which a part cannot be decoded, and then by
// a whole one with fewer fields.
func TestAnswerHoldsNothingOfAnEarlierResponse(t *testing.T) {
	e := newEntry(t, func(n int, w http.ResponseWriter) {
		if n == 1 {
			_, _ = fmt.Fprint(w, `{"request_id":"first","outcome":"partial","reason":"deadline","server":"s1","data":"first","retry_after_ms":7,
				"shards":[{"shard":1,"server":"s1","data":"first"}],"missing":[{"shard":"wrong"}],"replayed":"wrong"}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"request_id":"second","outcome":"done"}`)
	})
	c := &Client{Entries: []string{e.address()}}
	q, err := c.Query(testContext(t), tier.QueryRequest{})
	require.NoError(t, err)
	require.Equal(t, tier.QueryAnswer{RequestID: "second", Outcome: tier.Done}, q)

	e.writes = nil
	w, err := c.Write(testContext(t), tier.WriteRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, tier.WriteAnswer{RequestID: "second", Outcome: tier.Done}, w)
}
