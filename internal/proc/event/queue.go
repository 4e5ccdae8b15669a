package event

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the number of lines that may wait for the output, some 300 kB.
const queueLines = 1024

// Queue writes log lines in the background. A line that finds the queue full
// is dropped and counted, so that a slow output never holds up a request.
type Queue struct {
	// Out takes the lines.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// Start readies the queue; it must be called before Write.
func (q *Queue) Start() { q.lines = make(chan []byte, queueLines) }

// Write queues one line. It never fails and never waits.
func (q *Queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were lost.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then what is still queued.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case p := <-q.lines:
			// An output that fails cannot be told of on itself.
			_, _ = q.Out.Write(p)
		case <-ctx.Done():
			q.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes what is queued.
func (q *Queue) Flush() {
	for {
		select {
		case p := <-q.lines:
			_, _ = q.Out.Write(p)
		default:
			return
		}
	}
}
