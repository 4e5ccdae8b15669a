// Package tier defines the ids, units, outcomes, errors and interfaces of sassafrasring. The implementations are in the
// packages below internal/.
package tier

import (
	"math"
	"strings"
	"time"
)

// NodeID identifies one sassafrasring process. It is set in the settings and unique in the fleet.
type NodeID string

// Instance distinguishes successive starts of one node or server.
type Instance uint64

// Zone names an availability zone.
type Zone string

// Region names a group of neighboring availability zones.
type Region string

// ServerID identifies one back-end server.
type ServerID string

// Service names a group of servers that serve the same kind of request.
type Service string

// Tenant is the name of an organization whose callers share keys and a quota.
type Tenant string

// Shard is the index of a shard within the layout of a snapshot, from 0.
type Shard uint16

// IndexVersion numbers the versions of a service's index, ascending.
type IndexVersion uint64

// Account names a caller; a whole office may share one account.
type Account string

// Operator names a person or script that changes the configuration.
type Operator string

// RequestID correlates one request on every hop.
type RequestID string

// ChangeID makes a configuration change idempotent.
type ChangeID string

// ClaimID identifies one attempt to run a write.
type ClaimID string

// ConfigVersion numbers the accepted configurations, ascending from 1.
type ConfigVersion uint64

// Fingerprint is a hash of what a request asks for: the xxhash64 of its service and body, on edge nodes of its host,
// target, tenant and body.
type Fingerprint uint64

// TrialID identifies a trial of a suspected request: one that servers crashed under and that is sent to one server to
// see whether it survives.
type TrialID uint64

// Term is an election term of the replicated log.
type Term uint64

// Index is a position in the replicated log, starting at 1.
type Index uint64

// ReplicaID identifies one incarnation of a control replica: "node#incarnation".
// A replica that lost its disk gets a new incarnation and so a new id.
type ReplicaID string

// Node returns the node part of the id.
func (r ReplicaID) Node() NodeID {
	name, _, _ := strings.Cut(string(r), "#")
	return NodeID(name)
}

// FounderIncarnation is the incarnation of the replicas that bootstrap a group. It is fixed because these replicas must
// know each other's ids before they exchange any message.
const FounderIncarnation = "founder"

// Replica returns the id of one incarnation of the node's replica.
func (n NodeID) Replica(incarnation string) ReplicaID {
	return ReplicaID(string(n) + "#" + incarnation)
}

// Millis is a duration in milliseconds, the unit used in settings and on the wire.
type Millis int64

// maxMillis is about 73 years: a quarter of the longest time.Duration, so that sums of a few do not overflow.
const maxMillis = Millis(math.MaxInt64 / 4 / int64(time.Millisecond))

// Duration converts m to a time.Duration. Values beyond 73 years are reduced to that.
func (m Millis) Duration() time.Duration {
	return time.Duration(max(-maxMillis, min(m, maxMillis))) * time.Millisecond
}

// DurationOf converts a number of milliseconds with fractions. Values beyond 73 years are reduced to that.
func DurationOf(ms float64) time.Duration {
	return time.Duration(max(-float64(maxMillis), min(ms, float64(maxMillis))) * float64(time.Millisecond))
}

// MillisOf rounds a number of milliseconds towards zero. Values beyond 73 years are reduced to that.
func MillisOf(ms float64) Millis {
	return Millis(max(-float64(maxMillis), min(ms, float64(maxMillis))))
}

// ToMillis converts d to Millis, rounding up so that a positive d never becomes 0.
func ToMillis(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

// Snapshot is an index version together with its shard layout.
type Snapshot struct {
	Version IndexVersion `json:"version" cbor:"1,keyasint"`
	Shards  Shard        `json:"shards" cbor:"2,keyasint"`
}

// Less orders snapshots from oldest to newest.
func (s Snapshot) Less(o Snapshot) bool {
	if s.Version != o.Version {
		return s.Version < o.Version
	}
	return s.Shards < o.Shards
}

// Holding says that a server holds one shard of one snapshot.
type Holding struct {
	Snapshot Snapshot `json:"snapshot" cbor:"1,keyasint"`
	Shard    Shard    `json:"shard" cbor:"2,keyasint"`
}
