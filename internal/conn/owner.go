package conn

import (
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Paths of the protocol towards servers.
const (
	SearchPath = "/search"
	WritePath  = "/write"
)

// Death reports a server instance that died with requests running on it.
type Death struct {
	Server tier.Announcement
	Prints []tier.Fingerprint
}

// Rules are the configured values that an owner goes by.
type Rules struct {
	MaxQueue  int
	Silence   time.Duration
	SlowStart time.Duration
}

// Owner sends sub-requests to the servers that this node owns, and to no other.
// Lock order: mu, then a pool's mu.
type Owner struct {
	// Clock gives the time.
	Clock tier.Clock
	// MaySend reports whether this node may send to a server now.
	MaySend func(tier.ServerID) bool
	// Rules returns the configured values for a service and server.
	Rules func(tier.Service, tier.ServerID) Rules
	// Certs is for TLS towards servers; nil is plain HTTP.
	Certs *Certs
	// Died is told of deaths.
	Died func(Death)
	// Silent is told of silent connections.
	Silent func(tier.ServerID, tier.RequestID)
	// Rejected is told of answers that were not taken.
	Rejected func(tier.ServerID, tier.RequestID, tier.Reason)

	mu    sync.Mutex
	pools map[tier.ServerID]*Pool
	left  []*Pool
}

// Update takes over the servers that this node owns now. cold reports
// whether a server instance is new in the fleet.
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
			o.refresh(p, s)
			continue
		}
		if ok && s.Instance != p.server.Instance {
			o.replaced(p, now)
		}
		o.retire(id, p)
	}
	for id, s := range owned {
		if o.pools[id] == nil {
			o.pools[id] = o.add(s, cold(s), now)
		}
	}
}

func (o *Owner) add(s tier.Announcement, cold bool, now time.Duration) *Pool {
	r := o.Rules(s.Service, s.Server)
	p := newPool(s, o.Clock, r.MaxQueue, o.Certs)
	if cold && r.SlowStart > 0 {
		p.warm(now, r.SlowStart)
	}
	return p
}

func (o *Owner) refresh(p *Pool, s tier.Announcement) {
	r := o.Rules(s.Service, s.Server)
	p.mu.Lock()
	p.server = s
	p.slots.MaxQueue = r.MaxQueue
	p.limit(o.Clock.Now())
	p.mu.Unlock()
}

// replaced blames the requests that ran when the former instance's connections broke.
func (o *Owner) replaced(p *Pool, now time.Duration) {
	if prints := p.recentCut(now); len(prints) > 0 {
		d := Death{Server: p.server, Prints: prints}
		go o.Died(d)
	}
}

func (o *Owner) retire(id tier.ServerID, p *Pool) {
	p.close(tier.ReasonNoOwner)
	delete(o.pools, id)
	o.left = append(o.left, p)
}

// Leaving returns how many requests still run on servers that this node no longer owns.
func (o *Owner) Leaving() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	kept := o.left[:0]
	for _, p := range o.left {
		busy := p.Busy()
		if busy > 0 {
			n += busy
			kept = append(kept, p)
		}
	}
	o.left = kept
	return n
}

// Trim closes connections to servers that have been idle for too long.
func (o *Owner) Trim() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		p.transport.expire()
	}
}

// Busy returns the number of requests running on all servers.
func (o *Owner) Busy() int {
	n := o.Leaving()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.pools {
		n += p.Busy()
	}
	return n
}

// Depth returns the load that this node puts on a server.
func (o *Owner) Depth(id tier.ServerID) (running, queued int, wait time.Duration) {
	o.mu.Lock()
	p := o.pools[id]
	o.mu.Unlock()
	if p == nil {
		return 0, 0, 0
	}
	return p.Depth()
}

// pool returns the pool of a server to which this node may send.
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
