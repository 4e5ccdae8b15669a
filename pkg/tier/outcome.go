package tier

import "encoding/json"

// Outcome is the typed result of a request.
type Outcome string

// Outcomes. NotRun is returned only if the request provably did not run; Unknown is returned for a write that may or
// may not have run.
const (
	Done    Outcome = "done"
	Partial Outcome = "partial"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Reason is the cause of the outcome of a request or a shard.
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
	ReasonNoRoom      Reason = "no_room"
	ReasonServerLimit Reason = "server_limit"
	ReasonKey         Reason = "key"
	ReasonUnproven    Reason = "unproven"
	ReasonQuota       Reason = "quota"
	ReasonNoQuota     Reason = "no_quota"
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

// ShardAnswer is the complete answer of one shard.
type ShardAnswer struct {
	Shard  Shard           `json:"shard"`
	Server ServerID        `json:"server"`
	Data   json.RawMessage `json:"data"`
}

// MissingShard is a shard that did not contribute to an answer, with the reason.
type MissingShard struct {
	Shard  Shard  `json:"shard"`
	Reason Reason `json:"reason"`
}

// QueryAnswer is the answer to a query. Outcome is Done if every shard of Snapshot contributed, Partial if some did,
// NotRun if no sub-request was sent.
type QueryAnswer struct {
	RequestID    RequestID      `json:"request_id"`
	Outcome      Outcome        `json:"outcome"`
	Reason       Reason         `json:"reason,omitempty"`
	RetryAfterMs Millis         `json:"retry_after_ms,omitempty"`
	Snapshot     Snapshot       `json:"snapshot"`
	Shards       []ShardAnswer  `json:"shards"`
	Missing      []MissingShard `json:"missing"`
}

// WriteRequest is the body of POST /v1/write. Key makes resends idempotent within the account and service. With
// FirstSend the caller asserts that it has not sent a request with this key before. Only then can a refusal before the
// lookup of the key have the outcome "not run" instead of "unknown".
type WriteRequest struct {
	Service    Service         `json:"service"`
	Key        string          `json:"key"`
	Body       json.RawMessage `json:"body"`
	DeadlineMs Millis          `json:"deadline_ms,omitempty"`
	FirstSend  bool            `json:"first_send,omitempty"`
}

// WriteAnswer is the answer to a write. Replayed is true if the answer comes from the record of an earlier request with
// the same key.
type WriteAnswer struct {
	RequestID    RequestID       `json:"request_id"`
	Outcome      Outcome         `json:"outcome"`
	Reason       Reason          `json:"reason,omitempty"`
	RetryAfterMs Millis          `json:"retry_after_ms,omitempty"`
	Server       ServerID        `json:"server,omitempty"`
	Data         json.RawMessage `json:"data,omitempty"`
	Replayed     bool            `json:"replayed,omitempty"`
}

// EntriesAnswer is the answer to GET /v1/entries: the addresses that a caller should use for TTLMs milliseconds, best
// first.
type EntriesAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMs     Millis   `json:"ttl_ms"`
}

// Announcement is the body of POST /v1/announce, which a server sends to any entry at least three times per LeaseMs.
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
	// BornMs is the time of the server's start in Unix milliseconds, and Sequence increases with each announcement of
	// one start. Edge nodes require both.
	BornMs   int64  `json:"born_ms,omitempty" cbor:"11,keyasint,omitempty"`
	Sequence uint64 `json:"sequence,omitempty" cbor:"12,keyasint,omitempty"`
	// ColdMs is the remaining warm-up time of a server that is cold. Edge nodes use it.
	ColdMs Millis `json:"cold_ms,omitempty" cbor:"13,keyasint,omitempty"`
}

// AnnounceAnswer is the answer to an Announcement: the lease of the server's registration and the addresses of the
// entries that accept its announcements.
type AnnounceAnswer struct {
	LeaseMs   Millis   `json:"lease_ms"`
	Addresses []string `json:"addresses"`
}

// HTTP headers exchanged with servers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderVersion   = "X-Index-Version"
	HeaderShard     = "X-Shard"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderClaim     = "X-Claim-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderLoad      = "X-Load"
	HeaderLimit     = "X-Server-Limit"
	HeaderLeaving   = "X-Server-Leaving"
	HeaderServer    = "X-Server"
)
