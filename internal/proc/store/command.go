// Package store is the state machine behind the replicated log:
// configuration, write claims and quarantined requests. Applying the same
// commands in the same order gives the same state on every replica.
package store

import (
	"encoding/json"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Command is one entry of the log; exactly one pointer is set. NowMs is the
// proposing leader's wall clock in milliseconds since 1970.
type Command struct {
	NowMs  int64        `cbor:"1,keyasint"`
	Change *vers.Change `cbor:"2,keyasint,omitempty"`
	Claim  *Claim       `cbor:"3,keyasint,omitempty"`
	Record *Record      `cbor:"4,keyasint,omitempty"`
	Blame  *Blame       `cbor:"5,keyasint,omitempty"`
	Clear  *Clear       `cbor:"6,keyasint,omitempty"`
	Sweep  *Sweep       `cbor:"7,keyasint,omitempty"`
	Routes *RoutesDoc   `cbor:"8,keyasint,omitempty"`
}

// WriteKey is the scope within which a caller's key is unique.
type WriteKey struct {
	Account tier.Account `cbor:"1,keyasint"`
	Service tier.Service `cbor:"2,keyasint"`
	Key     string       `cbor:"3,keyasint"`
}

// Claim asks for the sole right to run a write. First is the caller's word
// that no request with the key was sent before.
type Claim struct {
	ID          tier.ClaimID     `cbor:"1,keyasint"`
	Key         WriteKey         `cbor:"2,keyasint"`
	Fingerprint tier.Fingerprint `cbor:"3,keyasint"`
	Holder      tier.NodeID      `cbor:"4,keyasint"`
	Instance    tier.Instance    `cbor:"5,keyasint"`
	First       bool             `cbor:"6,keyasint,omitempty"`
}

// Record stores the outcome of the attempt ID.
type Record struct {
	ID      tier.ClaimID    `cbor:"1,keyasint"`
	Key     WriteKey        `cbor:"2,keyasint"`
	Outcome tier.Outcome    `cbor:"3,keyasint"`
	Reason  tier.Reason     `cbor:"4,keyasint,omitempty"`
	Server  tier.ServerID   `cbor:"5,keyasint,omitempty"`
	Data    json.RawMessage `cbor:"6,keyasint,omitempty"`
}

// Blame reports the death of a server instance and the requests that ran on it.
type Blame struct {
	Server       tier.ServerID      `cbor:"1,keyasint"`
	Instance     tier.Instance      `cbor:"2,keyasint"`
	Service      tier.Service       `cbor:"3,keyasint"`
	Fingerprints []tier.Fingerprint `cbor:"4,keyasint"`
}

// Clear ends the quarantine or suspicion of one request, or of all for zero.
// An operator's Clear has a reason; a node clears a suspect that ran alone
// without harm.
type Clear struct {
	Fingerprint tier.Fingerprint `cbor:"1,keyasint"`
	Author      tier.Operator    `cbor:"2,keyasint,omitempty"`
}

// Sweep drops what has expired by the command's NowMs.
type Sweep struct{}

// ChangeStatus is the outcome of a change.
type ChangeStatus string

// Change statuses.
const (
	ChangeAccepted ChangeStatus = "accepted"
	ChangeRaced    ChangeStatus = "raced"
	ChangeInvalid  ChangeStatus = "invalid"
)

// ChangeResult is the outcome of a change; Version is the version made, or the current one.
type ChangeResult struct {
	Status  ChangeStatus       `json:"status" cbor:"1,keyasint"`
	Version tier.ConfigVersion `json:"version" cbor:"2,keyasint"`
	Error   string             `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClaimStatus is the outcome of a claim.
type ClaimStatus string

// Claim statuses.
const (
	ClaimGranted  ClaimStatus = "granted"
	ClaimPending  ClaimStatus = "pending"
	ClaimRecorded ClaimStatus = "recorded"
	ClaimConflict ClaimStatus = "conflict"
	ClaimExpired  ClaimStatus = "expired"
)

// ClaimResult is the outcome of a claim; Record is set for ClaimRecorded,
// Holder and Instance for ClaimPending.
type ClaimResult struct {
	Status   ClaimStatus   `cbor:"1,keyasint"`
	Record   *Record       `cbor:"2,keyasint,omitempty"`
	Holder   tier.NodeID   `cbor:"3,keyasint,omitempty"`
	Instance tier.Instance `cbor:"4,keyasint,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Change *ChangeResult `cbor:"1,keyasint,omitempty"`
	Claim  *ClaimResult  `cbor:"2,keyasint,omitempty"`
	Routes *RoutesResult `cbor:"3,keyasint,omitempty"`
}
