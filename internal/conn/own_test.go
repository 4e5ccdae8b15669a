package conn

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
)

// TestCallsBetweenNodesGetTheirOwnAnswers runs calls over one link whose answers come twice, late, not at all or cut short: each call
// gets its own answer or an error.
func TestCallsBetweenNodesGetTheirOwnAnswers(t *testing.T) {
	const (
		workers, rounds = 8, 50
		late            = 20 * time.Millisecond
	)
	kinds := []string{"once", "twice", "late", "never", "cut", "damaged"}
	from, _, to := newPair(t, func(_ context.Context, s *Stream) {
		var p payload
		if s.Recv(&p) != nil {
			return
		}
		whole, err := frame.Append(nil, p)
		if err != nil {
			return
		}
		var kind string
		_, _ = fmt.Sscan(string(p.Data), &kind)
		switch kind {
		case "twice":
			_ = s.write(whole)
		case "late":
			time.Sleep(late)
		case "never":
			return
		case "cut":
			whole = whole[:len(whole)-1]
		case "damaged":
			whole[len(whole)-1] ^= 1
		}
		_ = s.write(whole)
	})
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for n := range rounds {
				kind := kinds[(w+n)%len(kinds)]
				sent := payload{fmt.Appendf(nil, "%s %d/%d", kind, w, n)}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if kind == "late" {
					cancel()
					ctx, cancel = context.WithTimeout(context.Background(), late/2)
				}
				var got payload
				err := from.Call(ctx, to, KindQuery, sent, &got)
				cancel()
				if wantErr := kind != "once" && kind != "twice"; wantErr != (err != nil) {
					t.Errorf("%s: %v", sent.Data, err)
				}
				if err == nil && string(got.Data) != string(sent.Data) {
					t.Errorf("%s got the answer of %s", sent.Data, got.Data)
				}
			}
		})
	}
	wait.Wait()
	require.Equal(t, 1, from.Links())
}
