package conn

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// HTTP paths of the requests to servers.
const (
	SearchPath = "/search"
	WritePath  = "/write"
)

// Death reports a server instance that died while requests were running on it.
type Death struct {
	Server       tier.Announcement
	Fingerprints []tier.Fingerprint
}

// Settings are the configured values that apply to one service and server.
type Settings struct {
	MaxQueue       int
	SilenceTimeout time.Duration
	SlowStart      time.Duration
}

// Owner sends sub-requests to the servers that this node owns, and to no others. Lock order: mu,
// then a pool's mu.
type Owner struct {
	// Clock is the source of time.
	Clock tier.Clock
	// MaySend reports whether this node may send to a server now.
	MaySend func(tier.ServerID) bool
	// Settings returns the configured values for a service and server.
	Settings func(tier.Service, tier.ServerID) Settings
	// Certs is used for TLS connections to servers; nil means plain HTTP.
	Certs *Certs
	// Limits bounds servers' answers.
	Limits AnswerLimits
	// OnDeath is called when a server has died.
	OnDeath func(Death)
	// OnSilent is called when a connection to a server stops responding.
	OnSilent func(tier.ServerID, tier.RequestID)
	// OnRejected is called when a server's answer is rejected.
	OnRejected func(tier.ServerID, tier.RequestID, tier.Reason)
	// OnStray, if not nil, is called for each Stray.
	OnStray func(Stray)

	mu       sync.Mutex
	pools    map[tier.ServerID]*Pool
	released []*Pool
	sendings atomic.Uint64
}

// sendingID returns the ID under which a server sees one sending of a request. Each sending has its own, since a server may send a
// second answer to one sending over the connection that carries the next one.
func (o *Owner) sendingID(id tier.RequestID) string {
	return string(id) + "." + strconv.FormatUint(o.sendings.Add(1), 10)
}

// requestOf returns the ID of the request of a sending.
func requestOf(sendingID string) tier.RequestID {
	return tier.RequestID(sendingID[:max(0, strings.LastIndexByte(sendingID, '.'))])
}

// Update replaces the set of servers that this node owns. cold reports whether a server instance is
// new in the fleet.
func (o *Owner) Update(owned map[tier.ServerID]tier.Announcement, cold func(tier.Announcement) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pools == nil {
		o.pools = map[tier.ServerID]*Pool{}
	}
	now := o.Clock.Now()
	for id, p := range o.pools {
		s, ok := owned[id]
		if ok && s.Instance == p.server.Instance && s.Address == p.server.Address {
			o.updatePool(p, s)
			continue
		}
		if ok && s.Instance != p.server.Instance {
			o.reportReplaced(p, now)
		}
		o.release(id, p)
	}
	for id, s := range owned {
		if o.pools[id] == nil {
			o.pools[id] = o.add(s, cold(s), now)
		}
	}
}

func (o *Owner) add(s tier.Announcement, cold bool, now time.Duration) *Pool {
	r := o.Settings(s.Service, s.Server)
	p := newPool(s, o.Clock, r.MaxQueue, o.Certs, o.Limits)
	p.transport.server, p.transport.onStray = s.Server, o.OnStray
	if cold && r.SlowStart > 0 {
		p.startColdRamp(now, r.SlowStart)
	}
	return p
}

func (o *Owner) updatePool(p *Pool, s tier.Announcement) {
	r := o.Settings(s.Service, s.Server)
	p.mu.Lock()
	p.server = s
	p.slots.MaxQueue = r.MaxQueue
	p.updateLimit(o.Clock.Now())
	p.mu.Unlock()
}

// reportReplaced reports the death of a replaced instance, if requests were running when its
// connections broke.
func (o *Owner) reportReplaced(p *Pool, now time.Duration) {
	if fingerprints := p.recentlyBroken(now); len(fingerprints) > 0 {
		d := Death{Server: p.server, Fingerprints: fingerprints}
		go o.OnDeath(d)
	}
}

func (o *Owner) release(id tier.ServerID, p *Pool) {
	p.close(tier.ReasonNoOwner)
	delete(o.pools, id)
	o.released = append(o.released, p)
}

// BusyReleased returns how many requests still run on servers that this node no longer owns.
func (o *Owner) BusyReleased() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	kept := o.released[:0]
	for _, p := range o.released {
		busy := p.Busy()
		if busy > 0 {
			n += busy
			kept = append(kept, p)
		}
	}
	o.released = kept
	return n
}

// CloseExpired closes connections to servers that have been idle for too long.
func (o *Owner) CloseExpired() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		p.transport.expire()
	}
}

// Busy returns the number of requests running on all servers, including those that this node no
// longer owns.
func (o *Owner) Busy() int {
	n := o.BusyReleased()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		n += p.Busy()
	}
	return n
}

// Load returns the numbers of running and queued requests of this node for a server, and the
// expected wait.
func (o *Owner) Load(id tier.ServerID) (running, queued int, wait time.Duration) {
	o.mu.Lock()
	p := o.pools[id]
	o.mu.Unlock()
	if p == nil {
		return 0, 0, 0
	}
	return p.Load()
}

// pool returns the pool of a server, or the reason why this node may not send to it.
func (o *Owner) pool(id tier.ServerID) (*Pool, tier.Reason) {
	if !o.MaySend(id) {
		return nil, tier.ReasonNoOwner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[id]
	switch {
	case p == nil:
		return nil, tier.ReasonNoOwner
	case p.server.Draining:
		return nil, tier.ReasonDraining
	}
	return p, tier.ReasonNone
}
