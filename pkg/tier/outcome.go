package tier

import "encoding/json"

// Outcome is the typed result of a request.
type Outcome string

// Outcomes. NotRun is given only where the request provably did not run;
// Unknown is given for a write whose fate cannot be told.
const (
	Done    Outcome = "done"
	Partial Outcome = "partial"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Reason says why a request or a shard has the outcome that it has.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonNoServer    Reason = "no_server"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonShed        Reason = "server_shed"
	ReasonDraining    Reason = "draining"
	ReasonVersion     Reason = "version_mismatch"
	ReasonServerError Reason = "server_error"
	ReasonTruncated   Reason = "truncated"
	ReasonLost        Reason = "connection_lost"
	ReasonQuarantine  Reason = "quarantined"
	ReasonLimit       Reason = "account_limit"
	ReasonNoOwner     Reason = "no_owner"
	ReasonNoControl   Reason = "no_control"
	ReasonConflict    Reason = "key_conflict"
	ReasonPending     Reason = "still_running"
	ReasonIsolated    Reason = "isolated"
	ReasonCanceled    Reason = "canceled"
	ReasonNoRoute     Reason = "no_route"
	ReasonRefused     Reason = "connection_refused"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Service    Service         `json:"service"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadline_ms,omitempty"`
	Class      Class           `json:"class,omitempty"`
}

// Class is the urgency of a request; empty means ClassNormal.
type Class string

// Classes, from most to least urgent.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Rank returns 0 for the most urgent class; ok is false for an unknown class.
func (c Class) Rank() (rank int, ok bool) {
	switch c {
	case ClassUrgent:
		return 0, true
	case ClassNormal, "":
		return 1, true
	case ClassBulk:
		return 2, true
	}
	return 0, false
}

// ShardAnswer is the whole sub-answer of one shard.
type ShardAnswer struct {
	Shard  Shard           `json:"shard"`
	Server ServerID        `json:"server"`
	Data   json.RawMessage `json:"data"`
}

// MissingShard names a shard that did not contribute, and why.
type MissingShard struct {
	Shard  Shard  `json:"shard"`
	Reason Reason `json:"reason"`
}

// QueryAnswer is the answer to a query. Outcome is Done when every shard of
// Snapshot contributed, Partial when some did, NotRun when none was asked.
type QueryAnswer struct {
	RequestID    RequestID      `json:"request_id"`
	Outcome      Outcome        `json:"outcome"`
	Reason       Reason         `json:"reason,omitempty"`
	RetryAfterMs Millis         `json:"retry_after_ms,omitempty"`
	Snapshot     Snapshot       `json:"snapshot"`
	Shards       []ShardAnswer  `json:"shards"`
	Missing      []MissingShard `json:"missing"`
}

// WriteRequest is the body of POST /v1/write. Key makes resends idempotent
// within the account and service. FirstSend is the caller's word that no
// request with this key was sent before; only then can a refusal that comes
// before the key is looked up be "not run" rather than "unknown".
type WriteRequest struct {
	Service    Service         `json:"service"`
	Key        string          `json:"key"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadline_ms,omitempty"`
	FirstSend  bool            `json:"first_send,omitempty"`
}

// WriteAnswer is the answer to a write. Replayed is true when the answer
// comes from the record of an earlier request with the same key.
type WriteAnswer struct {
	RequestID    RequestID       `json:"request_id"`
	Outcome      Outcome         `json:"outcome"`
	Reason       Reason          `json:"reason,omitempty"`
	RetryAfterMs Millis          `json:"retry_after_ms,omitempty"`
	Server       ServerID        `json:"server,omitempty"`
	Data         json.RawMessage `json:"data,omitempty"`
	Replayed     bool            `json:"replayed,omitempty"`
}

// EntriesAnswer is the answer of GET /v1/entries: the addresses a caller
// should use, best first, for TTLMs milliseconds.
type EntriesAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMs     Millis   `json:"ttl_ms"`
}

// Announcement is the body of POST /v1/announce, sent by a server to any
// entry at least three times per LeaseMs.
type Announcement struct {
	Server   ServerID  `json:"server" cbor:"1,keyasint"`
	Instance Instance  `json:"instance" cbor:"2,keyasint"`
	Service  Service   `json:"service" cbor:"3,keyasint"`
	Zone     Zone      `json:"zone" cbor:"4,keyasint"`
	Address  string    `json:"address" cbor:"5,keyasint"`
	Slots    int       `json:"slots" cbor:"6,keyasint"`
	Conns    int       `json:"connections" cbor:"7,keyasint"`
	Holdings []Holding `json:"holdings,omitempty" cbor:"8,keyasint,omitempty"`
	Draining bool      `json:"draining,omitempty" cbor:"9,keyasint,omitempty"`
	LeaseMs  Millis    `json:"lease_ms" cbor:"10,keyasint"`
	// BornMs is the Unix millisecond of the server's start, and Sequence rises
	// with each announcement of one start; edge nodes need them.
	BornMs   int64  `json:"born_ms,omitempty" cbor:"11,keyasint,omitempty"`
	Sequence uint64 `json:"sequence,omitempty" cbor:"12,keyasint,omitempty"`
}

// AnnounceAnswer tells a server for how long it is known and where else it
// may announce itself.
type AnnounceAnswer struct {
	LeaseMs   Millis   `json:"lease_ms"`
	Addresses []string `json:"addresses"`
}

// Headers of the protocol towards servers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderVersion   = "X-Index-Version"
	HeaderShard     = "X-Shard"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderClaim     = "X-Claim-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderLoad      = "X-Load"
	HeaderServer    = "X-Server"
)
