package event

import (
	"context"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines waiting for the output, about 300 kB.
const maxQueuedLines = 1024

// Queue is an io.Writer that writes log lines in the background. If the queue is full, a line is dropped and counted,
// so that a slow output never blocks a request.
type Queue struct {
	// Out is the output that the lines are written to.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Int64
}

// Start initializes the queue. It must be called before Write.
func (q *Queue) Start() { q.lines = make(chan []byte, maxQueuedLines) }

// Write enqueues a copy of one line. It never fails and never blocks.
func (q *Queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx is done, then flushes the queue.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case p := <-q.lines:
			// A failure of the log output cannot be logged.
			_, _ = q.Out.Write(p)
		case <-ctx.Done():
			q.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes all queued lines.
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
