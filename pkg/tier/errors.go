package tier

import (
	"errors"
	"fmt"
)

// Errors that callers of this module may test for with errors.Is.
var (
	// ErrNotLeader says that the control replica asked does not lead.
	ErrNotLeader = errors.New("not the control leader")
	// ErrNoControl says that no control replica with a quorum was reached.
	ErrNoControl = errors.New("no control quorum reached")
	// ErrVersionRace says that the configuration moved on from the base version.
	ErrVersionRace = errors.New("configuration version has moved on")
	// ErrCorrupt says that durable state is damaged.
	ErrCorrupt = errors.New("durable state is corrupt")
	// ErrFolderInUse says that another process uses the data folder.
	ErrFolderInUse = errors.New("data folder is in use")
)

// StepError carries the step and the peer at which an error arose.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error gives "step peer: cause".
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
