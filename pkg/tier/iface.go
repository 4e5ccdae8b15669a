package tier

import (
	"context"
	"time"
)

// Clock returns monotonic time since an arbitrary origin. Decision logic takes times as arguments; only drivers read a
// Clock.
type Clock interface {
	Now() time.Duration
}

// Sender sends one encoded message to a node without waiting for its delivery.
type Sender interface {
	Send(to NodeID, payload []byte)
}

// File is the part of os.File that a durable log needs.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Candidate is a server that a sub-request could be sent to.
type Candidate struct {
	Server ServerID
	Zone   Zone
}

// Selector chooses the server for a sub-request.
type Selector interface {
	// Pick returns the index of the chosen candidate, or -1 if none is suitable.
	Pick(now time.Duration, service Service, shard Shard, list []Candidate) int
}

// Proposer makes a command durable on a majority of control replicas. An
// error means that the command may or may not take effect.
type Proposer[C, R any] interface {
	Propose(ctx context.Context, cmd C) (R, error)
}

type wallClock struct{ start time.Time }

func (c wallClock) Now() time.Duration { return time.Since(c.start) }

// NewClock returns the process's monotonic clock.
func NewClock() Clock { return wallClock{start: time.Now()} }
