package conn

import (
	"encoding/json"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Kinds of streams between nodes.
const (
	KindRaft    Kind = "raft"
	KindGreet   Kind = "greet"
	KindPropose Kind = "propose"
	KindWatch   Kind = "watch"
	KindQuery   Kind = "query"
	KindWrite   Kind = "write"
	KindPeer    Kind = "peer"
	KindAdmin   Kind = "admin"
)

// Batch holds the sub-queries of one query that go to servers of one owner.
type Batch struct {
	Request     tier.RequestID   `cbor:"1,keyasint"`
	Service     tier.Service     `cbor:"2,keyasint"`
	Snapshot    tier.Snapshot    `cbor:"3,keyasint"`
	Fingerprint tier.Fingerprint `cbor:"4,keyasint"`
	Rank        int              `cbor:"5,keyasint"`
	DeadlineMs  tier.Millis      `cbor:"6,keyasint"`
	Body        json.RawMessage  `cbor:"7,keyasint"`
	Subs        []Sub            `cbor:"8,keyasint"`
}

// Sub is one sub-query. Attempt is unique within the query.
type Sub struct {
	Attempt int           `cbor:"1,keyasint"`
	Shard   tier.Shard    `cbor:"2,keyasint"`
	Server  tier.ServerID `cbor:"3,keyasint"`
	Solo    bool          `cbor:"4,keyasint,omitempty"`
}

// Cancel cancels one sub-query.
type Cancel struct {
	Attempt int `cbor:"1,keyasint"`
}

// Result is the outcome of a sub-request.
type Result uint8

// Values of Result. ResultNotRun is used only if the server provably did not run the sub-request.
const (
	ResultDone Result = iota + 1
	ResultNotRun
	ResultFailed
)

// Reply answers one sub-request.
type Reply struct {
	Attempt  int             `cbor:"1,keyasint"`
	Shard    tier.Shard      `cbor:"2,keyasint"`
	Server   tier.ServerID   `cbor:"3,keyasint"`
	Result   Result          `cbor:"4,keyasint"`
	Reason   tier.Reason     `cbor:"5,keyasint,omitempty"`
	Data     json.RawMessage `cbor:"6,keyasint,omitempty"`
	Snapshot tier.Snapshot   `cbor:"7,keyasint"`
	Died     bool            `cbor:"8,keyasint,omitempty"`
	// QueuedUs and ServedUs are the times in the owner's queue and at the server, in microseconds.
	QueuedUs int64 `cbor:"9,keyasint"`
	ServedUs int64 `cbor:"10,keyasint"`
	// WaitUs is the expected wait of the next request for this server, in microseconds.
	WaitUs int64 `cbor:"11,keyasint"`
	// Signature is the server's signature of Data, if the platform uses signatures.
	Signature string `cbor:"12,keyasint,omitempty"`
	// Reservation is the room that Data takes in this process; whoever drops the reply releases it.
	Reservation Reservation `cbor:"-"`
}

// Write is a write on its way to the owner of its server.
type Write struct {
	Request     tier.RequestID   `cbor:"1,keyasint"`
	Service     tier.Service     `cbor:"2,keyasint"`
	Claim       tier.ClaimID     `cbor:"3,keyasint"`
	Fingerprint tier.Fingerprint `cbor:"4,keyasint"`
	Server      tier.ServerID    `cbor:"5,keyasint"`
	DeadlineMs  tier.Millis      `cbor:"6,keyasint"`
	Body        json.RawMessage  `cbor:"7,keyasint"`
}
