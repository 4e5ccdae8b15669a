// Package store implements the state machine of the replicated log: the configuration, routing tables, write claims
// and quarantined requests. Replicas that apply the same commands in the same order have the same state.
package store

import (
	"encoding/json"

	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Command is the content of one log entry; exactly one pointer is set. NowMs is the wall clock of the leader that
// proposed it, in milliseconds since 1970.
type Command struct {
	NowMs       int64        `cbor:"1,keyasint"`
	Change      *vers.Change `cbor:"2,keyasint,omitempty"`
	Claim       *Claim       `cbor:"3,keyasint,omitempty"`
	Record      *Record      `cbor:"4,keyasint,omitempty"`
	DeathReport *DeathReport `cbor:"5,keyasint,omitempty"`
	Clear       *Clear       `cbor:"6,keyasint,omitempty"`
	Sweep       *Sweep       `cbor:"7,keyasint,omitempty"`
	Routes      *RoutesDoc   `cbor:"8,keyasint,omitempty"`
	// Evacuations is the whole new set of evacuated zones. Builds that do not know it apply nothing.
	Evacuations *evac.Set `cbor:"9,keyasint,omitempty"`
}

// WriteKey identifies a write: the caller's idempotency key, which is unique per account and service.
type WriteKey struct {
	Account tier.Account `cbor:"1,keyasint"`
	Service tier.Service `cbor:"2,keyasint"`
	Key     string       `cbor:"3,keyasint"`
}

// Claim requests the exclusive right to run a write. First is set if the caller states that it has sent no request
// with this key before.
type Claim struct {
	ID          tier.ClaimID     `cbor:"1,keyasint"`
	Key         WriteKey         `cbor:"2,keyasint"`
	Fingerprint tier.Fingerprint `cbor:"3,keyasint"`
	Holder      tier.NodeID      `cbor:"4,keyasint"`
	Instance    tier.Instance    `cbor:"5,keyasint"`
	First       bool             `cbor:"6,keyasint,omitempty"`
}

// Record stores the outcome of the write attempt that made the claim ID.
type Record struct {
	ID      tier.ClaimID    `cbor:"1,keyasint"`
	Key     WriteKey        `cbor:"2,keyasint"`
	Outcome tier.Outcome    `cbor:"3,keyasint"`
	Reason  tier.Reason     `cbor:"4,keyasint,omitempty"`
	Server  tier.ServerID   `cbor:"5,keyasint,omitempty"`
	Data    json.RawMessage `cbor:"6,keyasint,omitempty"`
}

// DeathReport reports that a server instance died, and the requests that were running on it.
type DeathReport struct {
	Server       tier.ServerID      `cbor:"1,keyasint"`
	Instance     tier.Instance      `cbor:"2,keyasint"`
	Service      tier.Service       `cbor:"3,keyasint"`
	Fingerprints []tier.Fingerprint `cbor:"4,keyasint"`
}

// Clear removes one request from the list of suspected and quarantined requests, or all of them if Fingerprint is 0.
// Author is set if an operator sent it; a node sends it for a suspect that ran alone on a server without killing it.
type Clear struct {
	Fingerprint tier.Fingerprint `cbor:"1,keyasint"`
	Author      tier.Operator    `cbor:"2,keyasint,omitempty"`
}

// Sweep removes everything that has expired by the command's NowMs.
type Sweep struct{}

// ChangeStatus is the outcome of a configuration change.
type ChangeStatus string

// Outcomes of a configuration change. A change that is not based on the current version is
// rejected as raced.
const (
	ChangeAccepted ChangeStatus = "accepted"
	ChangeRaced    ChangeStatus = "raced"
	ChangeInvalid  ChangeStatus = "invalid"
)

// ChangeResult is the outcome of a configuration change. Version is the version that the change created, or the
// current version if it was not accepted.
type ChangeResult struct {
	Status  ChangeStatus       `json:"status" cbor:"1,keyasint"`
	Version tier.ConfigVersion `json:"version" cbor:"2,keyasint"`
	Error   string             `json:"error,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClaimStatus is the outcome of a write claim.
type ClaimStatus string

// Outcomes of a write claim.
const (
	ClaimGranted  ClaimStatus = "granted"
	ClaimPending  ClaimStatus = "pending"
	ClaimRecorded ClaimStatus = "recorded"
	ClaimConflict ClaimStatus = "conflict"
	ClaimExpired  ClaimStatus = "expired"
)

// ClaimResult is the outcome of a write claim. Record is set for ClaimRecorded, Holder and Instance for ClaimPending.
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
	// Evacuations is nil in builds that do not know evacuations.
	Evacuations *EvacuationResult `cbor:"4,keyasint,omitempty"`
}
