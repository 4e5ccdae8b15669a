// Package terms keeps what servers state in their answers about the requests that they accept. A statement binds every
// host of the fleet, but each host receives only the answers to its own requests. The package does no I/O, takes the time
// from its caller, and is not safe for concurrent use.
package terms

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds the pause that a server may ask for.
const maxPause = time.Hour

// Rate is a number of requests per second.
type Rate float64

// Validity tells how a header of an answer is to be understood.
type Validity uint8

// A header is absent, malformed, or states a value.
const (
	Absent Validity = iota
	Malformed
	Stated
)

// Statement is what one answer of a server states.
type Statement struct {
	// LimitState tells whether the answer names a limit; Limit is the rate that the server accepts from all hosts together.
	LimitState Validity
	Limit      Rate
	// Leaving is set if the server is about to stop and wants no more requests.
	Leaving bool
	// Pause is how long the server wants no requests from this host; 0 means that it did not say.
	Pause time.Duration
}

// ParseLimit parses the value of a limit header: a decimal number that is not negative.
func ParseLimit(s string) (Rate, Validity) {
	s = strings.TrimSpace(s)
	if s == "" {
		return 0, Absent
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, Malformed
	}
	return Rate(v), Stated
}

// ParseLeaving parses the value of a header that says whether the server leaves; a malformed value says nothing.
func ParseLeaving(s string) bool {
	leaving, err := strconv.ParseBool(strings.TrimSpace(s))
	return err == nil && leaving
}

// ParsePause parses the number of seconds in a refusal after which a server accepts requests of this host again. A malformed
// value says nothing.
func ParsePause(s string) time.Duration {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return time.Duration(min(v, maxPause.Seconds()) * float64(time.Second))
}
