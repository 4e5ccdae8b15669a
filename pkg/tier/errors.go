package tier

import (
	"errors"
	"fmt"
)

// Errors that users of this module can test for with errors.Is.
var (
	// ErrNotLeader means that the contacted control replica is not the leader.
	ErrNotLeader = errors.New("not the control leader")
	// ErrNoControl means that no control replica with a quorum was reachable.
	ErrNoControl = errors.New("no control quorum reached")
	// ErrVersionRace means that the configuration has changed since the base version of a change.
	ErrVersionRace = errors.New("configuration version has moved on")
	// ErrCorrupt means that durable state is damaged.
	ErrCorrupt = errors.New("durable state is corrupt")
	// ErrFolderInUse means that another process uses the data folder.
	ErrFolderInUse = errors.New("data folder is in use")
)

// StepError is an error with the step and the peer at which it occurred.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error returns "step with peer: cause", or "step: cause" without a peer.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s with %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// At wraps err with the step and the peer; it returns nil for a nil err.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: err}
}
