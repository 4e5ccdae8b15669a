package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// keyPrefix begins every key, so that a key is recognized wherever it appears.
	keyPrefix = "soak-key-"
	// movingKey belongs to another tenant in each epoch, unknownKey to none ever.
	movingKey  = keyPrefix + "moving"
	unknownKey = keyPrefix + "unknown"
	// epochVersions is the number of versions of the routing table with the same keys. An epoch lasts for about 6 s, so that at any
	// time without faults the tables of one or two may be in force.
	epochVersions = 10 * operators
	// keyDelay is the time after the acknowledgement of a table from which hosts in contact go by it.
	keyDelay = 4 * time.Second
	// oldEpochs is how many former epochs callers use keys of.
	oldEpochs = 2
	// Shares of the requests with a key that changes, with an unknown one and without one, and of reads on the public route.
	changingPercent = 20
	unknownPercent  = 5
	noKeyPercent    = 5
	publicPercent   = 30
	// claimedTenant is the tenant that callers name themselves, which nobody may believe.
	claimedTenant = "claimed"
)

var tenantNames = []string{"first", "second", "third"}

// fixedKey is a key that a tenant always holds; epochKey one that the first tenant holds in one epoch only.
func fixedKey(tenant string) string { return keyPrefix + tenant }
func epochKey(epoch int) string     { return fmt.Sprintf("%sepoch-%d.", keyPrefix, epoch) }

// keyHolder returns the tenant that holds a key in the tables of an epoch, or "" if none does.
func keyHolder(key string, epoch int) string {
	switch key {
	case movingKey:
		return tenantNames[epoch%len(tenantNames)]
	case epochKey(epoch):
		return tenantNames[0]
	}
	for _, n := range tenantNames {
		if key == fixedKey(n) {
			return n
		}
	}
	return ""
}

// tenantList returns the tenants of a routing table.
func tenantList(version int) string {
	epoch := version / epochVersions
	var list []string
	for _, n := range tenantNames {
		var keys []string
		for _, key := range []string{fixedKey(n), movingKey, epochKey(epoch)} {
			if keyHolder(key, epoch) == n {
				keys = append(keys, fmt.Sprintf("%q", key))
			}
		}
		list = append(list, fmt.Sprintf(`{"name": %q, "keys": [%s]}`, n, strings.Join(keys, ", ")))
	}
	return strings.Join(list, ", ")
}

// pickKey returns the key of a request, mostly one that is always valid.
func (f *Fleet) pickKey(r *rand.Rand) string {
	switch epoch := f.checker.lastAcked() / epochVersions; {
	case percent(r, unknownPercent):
		return unknownKey
	case percent(r, noKeyPercent):
		return ""
	case percent(r, changingPercent) && r.IntN(2) == 0:
		return movingKey
	case percent(r, changingPercent):
		return epochKey(max(0, epoch-r.IntN(oldEpochs+1)))
	}
	return fixedKey(tenantNames[r.IntN(len(tenantNames))])
}

// sent is a sending with its key and the oldest epoch whose tables may decide on it.
type sent struct {
	sending
	since int
}

// ack is the acknowledgement of a routing table.
type ack struct {
	version int
	at      time.Time
}

// recordSent records a request before it is sent.
func (j *checker) recordSent(q sending) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := sent{sending: q}
	for _, a := range j.acks {
		if j.stableLocked() && time.Since(a.at) > keyDelay {
			s.since = max(s.since, a.version/epochVersions)
		}
	}
	j.sent[q.String()] = s
}

// recordProposed records a routing table before it is sent to a host.
func (j *checker) recordProposed(version int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.proposed = max(j.proposed, version)
}

// heldByLocked reports whether a tenant, or none if it is "", holds the key of a request in a table that may be in force. The
// caller holds the lock.
func (j *checker) heldByLocked(s sent, tenant string) bool {
	for epoch := s.since; epoch <= j.proposed/epochVersions; epoch++ {
		if keyHolder(s.key, epoch) == tenant {
			return true
		}
	}
	return false
}

// checkTenant checks what a server learns of the caller of a sending: no key, and the tenant that holds the key.
func (j *checker) checkTenant(id string, h http.Header) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if name := tier.DefaultHeaders().Credential; len(h[name]) > 0 || strings.Contains(fmt.Sprint(h), keyPrefix) {
		j.reportLocked("request %s reached a server with a key", id)
	}
	s, tenants := j.sent[id], h[tier.DefaultHeaders().Tenant]
	switch {
	case s.public && len(tenants) > 0:
		j.reportLocked("request %s of a public route reached a server as one of %q", id, tenants)
	case s.public:
	case len(tenants) != 1 || tenants[0] == "" || !j.heldByLocked(s, tenants[0]):
		j.reportLocked("request %s with key %q reached a server as one of %q", id, s.key, tenants)
	}
}

// checkKeyRefused checks that a key which was refused is in no table, or was in none lately.
func (j *checker) checkKeyRefused(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.keysRefused++
	if s := j.sent[id]; s.public || !j.heldByLocked(s, "") {
		j.reportLocked("request %s was refused for its key %q, which is valid", id, s.key)
	}
}
