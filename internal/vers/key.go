// Package vers holds the versioned data of the fleet: the configuration with its
// defaults and exceptions, the routing table, and the layouts of index snapshots.
package vers

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Key names a configuration value.
type Key string

// ScopeKind is the kind of object that an exception applies to.
type ScopeKind string

// Scope kinds.
const (
	ScopeService ScopeKind = "service"
	ScopeAccount ScopeKind = "account"
	ScopeNode    ScopeKind = "node"
	ScopeServer  ScopeKind = "server"
)

// Configuration keys.
const (
	KeyDeadline      Key = "query.deadline"
	KeyHedgeBudget   Key = "hedge.budget"
	KeyHedgeQuantile Key = "hedge.quantile"
	KeyHedgeFloor    Key = "hedge.floor"
	KeyRetryBudget   Key = "retry.budget"
	KeyQueueLength   Key = "queue.length"
	KeyAdmitTarget   Key = "admit.target"
	KeyAccountRate   Key = "account.rate"
	KeyPoisonDeaths  Key = "poison.deaths"
	KeyPoisonHold    Key = "poison.hold"
	KeySuspectHold   Key = "poison.suspect"
	KeyEntriesTTL    Key = "entries.ttl"
	KeyEntriesCount  Key = "entries.count"
	KeyWriteKeep     Key = "write.keep"
	KeyWriteMark     Key = "write.mark"
	KeySilence       Key = "server.silence"
	KeySlowStart     Key = "server.slowstart"
	KeyEjectShare    Key = "server.eject"
	KeySelect        Key = "server.select"
	KeyDrain         Key = "drain"
)

// KeySpec describes one configuration key.
type KeySpec struct {
	Key     Key
	Unit    string
	Default int64 // used where the configuration sets no value
	Min     int64
	Max     int64
	Scopes  []ScopeKind // scopes in which exceptions are allowed
	Doc     string
}

// Values of KeySelect, the choice between the servers of a shard.
const (
	SelectRoundRobin int64 = 0
	SelectTwoChoices int64 = 1
)

// Keys lists every configuration key.
var Keys = []KeySpec{
	{KeyDeadline, "ms", 2000, 10, 60000, []ScopeKind{ScopeService, ScopeAccount}, "Default and maximum deadline of a request."},
	{KeyHedgeBudget, "permille", 40, 0, 500, []ScopeKind{ScopeService}, "Maximum number of hedges, as a share of the first attempts of sub-requests; 0 disables hedging."},
	{KeyHedgeQuantile, "permille", 950, 500, 999, []ScopeKind{ScopeService}, "Quantile of the service's sub-request latency after which a hedge may be sent; raised if hedge.budget is too small for it."},
	{KeyHedgeFloor, "ms", 2, 1, 10000, []ScopeKind{ScopeService}, "Minimum delay before a hedge is sent."},
	{KeyRetryBudget, "permille", 100, 0, 1000, []ScopeKind{ScopeService}, "Maximum number of retries, as a share of the first attempts of sub-requests."},
	{KeyQueueLength, "requests", 64, 1, 10000, []ScopeKind{ScopeService, ScopeServer}, "Maximum number of sub-requests that wait for one server at the node that owns it."},
	{KeyAdmitTarget, "ms", 20, 1, 10000, []ScopeKind{ScopeService}, "Queueing time above which an entry admits fewer requests for the service."},
	{KeyAccountRate, "requests/s", 0, 0, 10000000, []ScopeKind{ScopeAccount}, "Maximum request rate of one account over the whole fleet; 0 means no limit."},
	{KeyPoisonDeaths, "deaths", 2, 1, 100, []ScopeKind{ScopeService}, "Number of server deaths, each with only this request in flight, after which a request is quarantined."},
	{KeyPoisonHold, "ms", 600000, 1000, 86400000, nil, "How long a quarantined request is refused."},
	{KeySuspectHold, "ms", 60000, 1000, 86400000, nil, "How long a request that was in flight at a server's death stays suspected; a suspected query first sends one sub-request alone, as a canary."},
	{KeyEntriesTTL, "ms", 5000, 500, 600000, nil, "How long a caller may cache the list of entry addresses."},
	{KeyEntriesCount, "addresses", 3, 1, 16, nil, "Number of entry addresses returned to a caller."},
	{KeyWriteKeep, "ms", 86400000, 60000, 2592000000, nil, "How long the recorded answer of a write is kept."},
	{KeyWriteMark, "ms", 2592000000, 60000, 31536000000, nil, "How long a resend with the key of a write is refused after the recorded answer has been removed."},
	{KeySilence, "ms", 1000, 20, 60000, []ScopeKind{ScopeService}, "Time without an answer after which a connection to a server is closed."},
	{KeySlowStart, "ms", 3000, 0, 600000, []ScopeKind{ScopeService}, "Time over which the load of a new server instance is raised to its full share."},
	{KeyEjectShare, "permille", 340, 0, 1000, []ScopeKind{ScopeService}, "Maximum share of a shard's servers that may be avoided as outliers."},
	{KeySelect, "choice", SelectTwoChoices, 0, 1, []ScopeKind{ScopeService}, "Selection of a server: 1 takes the one of two random candidates with the shorter expected wait, 0 is round robin."},
	{KeyDrain, "flag", 0, 0, 1, []ScopeKind{ScopeNode, ScopeServer}, "1 drains the node or server."},
}

// Spec returns the KeySpec of k, and whether the key exists.
func Spec(k Key) (KeySpec, bool) {
	for _, s := range Keys {
		if s.Key == k {
			return s, true
		}
	}
	return KeySpec{}, false
}

func (s KeySpec) allows(kind ScopeKind) bool {
	for _, k := range s.Scopes {
		if k == kind {
			return true
		}
	}
	return false
}

func (s KeySpec) checkValue(v int64) error {
	if v < s.Min || v > s.Max {
		return errors.Errorf("%s: value %d is not in %d..%d %s", s.Key, v, s.Min, s.Max, s.Unit)
	}
	return nil
}

// Scope is the object that an exception applies to.
type Scope struct {
	Kind ScopeKind `json:"kind" cbor:"1,keyasint"`
	Name string    `json:"name" cbor:"2,keyasint"`
}

// Service returns the scope of a service.
func Service(s tier.Service) Scope { return Scope{ScopeService, string(s)} }

// Account returns the scope of an account.
func Account(a tier.Account) Scope { return Scope{ScopeAccount, string(a)} }

// Millis returns the value of k as a duration; k must have the unit ms.
func (c *Config) Millis(k Key, scopes ...Scope) time.Duration {
	return tier.Millis(c.Get(k, scopes...)).Duration()
}
