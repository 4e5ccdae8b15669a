// Package quota divides the tenants' limits among the voters of the control group, which grant tokens, and the hosts, which
// spend one token for each request. It performs no I/O, reads no clock and is not safe for concurrent use.
package quota

import (
	"math"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Limits says how exactly limits are kept: in any Window, at most (rate x Window + burst) x (1 + Overage) + Tolerance
// requests of a tenant are sent to servers.
type Limits struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64
}

// DefaultLimits returns the limits that apply where the settings name none.
func DefaultLimits() Limits {
	return Limits{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}
}

// Sane returns the limits with the default for each value that makes no sense.
func (l Limits) Sane() Limits {
	d := DefaultLimits()
	if l.Window <= 0 {
		return d
	}
	if !(l.Overage >= 0 && l.Overage <= 1) {
		l.Overage = d.Overage
	}
	if !(l.Tolerance >= 0 && l.Tolerance <= math.MaxInt32) {
		l.Tolerance = d.Tolerance
	}
	return l
}

const (
	// minLife is the shortest validity of a token. A host gets tokens from voters in other zones within a few milliseconds,
	// and within 60 ms if two voters do not answer.
	minLife = 100 * time.Millisecond
	// maxLifeDivisor divides the window to give the longest validity of a token.
	maxLifeDivisor = 10
	// lifeShare is the part of the overage that the validity of tokens uses. The other half covers the time from the
	// decision until the request arrives at a server.
	lifeShare = 0.5
	// depthShare is the part of what a window allows that may be asked for at once. The rest refills buckets that are empty after
	// a restart: a voter's part of a small tenant's rate alone would be a token in 20 s.
	depthShare = 0.55
)

// Life returns how long a host may use a token.
func (l Limits) Life() time.Duration {
	life := time.Duration(float64(l.Window) * l.Overage * lifeShare)
	return max(minLife, min(life, l.Window/maxLifeDivisor))
}

// Share returns the refill rate and the depth of the bucket of one of n voters. The buckets of all voters, with the tokens
// that become available while others are still valid, grant what the limits allow in a window and no more: depthShare of it
// at once, but at least the burst and at most the burst and the tolerance, and the rest at a constant rate. Depths are whole
// tokens, because a bucket with less than one token is of no use. If depth is below 1, no token is ever granted.
func (l Limits) Share(rate, burst float64, n int) (perSecond, depth float64) {
	voters := float64(max(n, 1))
	life := l.Life().Seconds()
	// The tokens of one more life are left for the time from the decision until the request arrives at a server.
	allowed := rate*(l.Window.Seconds()*(1+l.Overage)-life) + burst + l.Tolerance
	span := l.Window.Seconds() + life
	if allowed < voters {
		return rate / voters, 0
	}
	depth = max(1, math.Floor(max(burst, min(burst+l.Tolerance, depthShare*allowed))/voters))
	return max(0, (allowed-depth*voters)/span) / voters, depth
}

// Token is the permission to send one request to servers.
type Token struct {
	// Voter granted the token, in the grant of that number.
	Voter tier.NodeID
	Grant uint64
	// Expires is the time until which the token may be used, on the clock of the host that holds it.
	Expires time.Duration
}

// Request is a host's request for tokens.
type Request struct {
	Tenant tier.Tenant `cbor:"1,keyasint"`
	Wanted int         `cbor:"2,keyasint"`
	// Returned are tokens, of any tenant, that the host does not need.
	Returned []Returned `cbor:"3,keyasint,omitempty"`
}

// Returned are unused tokens of one grant.
type Returned struct {
	Tenant tier.Tenant `cbor:"1,keyasint"`
	Grant  uint64      `cbor:"2,keyasint"`
	Count  int         `cbor:"3,keyasint"`
}

// Reply answers a Request.
type Reply struct {
	Granted int `cbor:"1,keyasint,omitempty"`
	// Grant is the number of the grant.
	Grant uint64 `cbor:"2,keyasint,omitempty"`
	// WaitMs is, if fewer tokens than wanted were granted, the time until there is one.
	WaitMs tier.Millis `cbor:"3,keyasint,omitempty"`
	// Absent is set if the host grants no tokens at present, NoVoter if it is not a voter.
	Absent  bool `cbor:"4,keyasint,omitempty"`
	NoVoter bool `cbor:"5,keyasint,omitempty"`
}
