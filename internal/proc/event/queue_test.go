package event

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// stuck is an output that takes nothing until it is opened.
type stuck struct {
	open chan struct{}

	mu    sync.Mutex
	lines int
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines++
	return len(p), nil
}

// TestLogFloodHoldsUpNoRequest replays a flood of failures on eight requests'
// goroutines while nobody reads the output: every call returns, what does not
// fit is counted, and what fits is written once the output goes on.
func TestLogFloodHoldsUpNoRequest(t *testing.T) {
	const writers, each = 8, 2 * queueLines
	out := &stuck{open: make(chan struct{})}
	q := &Queue{Out: out}
	q.Start()
	log := logrus.New()
	log.SetOutput(q)
	log.SetFormatter(&logrus.JSONFormatter{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	var wait sync.WaitGroup
	for range writers {
		wait.Go(func() {
			for range each {
				RequestFailed.Log(log, nil, logrus.Fields{"request": "r"})
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("a request waits for the log")
	}
	// One line may be with the output already.
	require.InDelta(t, writers*each-queueLines, q.Dropped(), 1)
	close(out.open)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.InDelta(t, queueLines, out.lines, 1)
}
