package work

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestWorkersAreReusedAndEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var p Pool
	p.Start(ctx)
	var mu sync.Mutex
	ran := 0
	for range 50 {
		var round sync.WaitGroup
		for range 8 {
			round.Add(1)
			p.Go(func() {
				defer round.Done()
				mu.Lock()
				defer mu.Unlock()
				ran++
			})
		}
		round.Wait()
	}
	require.Equal(t, 400, ran)
	cancel()
	p.Wait()
}
