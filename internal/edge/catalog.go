package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// target is a server with this node's connections to it.
type target struct {
	rec    spread.Server
	direct *conn.Direct
}

// offer is the catalog as readers see it; it is never changed.
type offer struct {
	services map[tier.Service][]tier.Candidate
	targets  map[tier.ServerID]*target
}

// catalog holds the servers to which requests may be sent.
type catalog struct {
	// dialed is told of each new connection.
	dialed func()

	mu      sync.Mutex
	records map[tier.ServerID]spread.Server
	offer   atomic.Pointer[offer]
}

func (c *catalog) start() {
	c.records = map[tier.ServerID]spread.Server{}
	c.offer.Store(&offer{services: map[tier.Service][]tier.Candidate{}, targets: map[tier.ServerID]*target{}})
}

// update takes over new versions of records.
func (c *catalog) update(list []spread.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if r.Live() {
			c.records[r.ID] = r
		} else {
			delete(c.records, r.ID)
		}
	}
	c.publish()
}

func (c *catalog) publish() {
	old := c.offer.Load()
	next := &offer{services: map[tier.Service][]tier.Candidate{}, targets: make(map[tier.ServerID]*target, len(c.records))}
	newest := c.byAddress()
	for id, r := range c.records {
		if newest[r.Address] != id {
			continue
		}
		t := old.targets[id]
		if t == nil || t.rec.Born != r.Born || t.rec.Address != r.Address {
			t = &target{direct: &conn.Direct{Address: r.Address, Server: id, Dialed: c.dialed}}
		} else {
			t = &target{direct: t.direct}
		}
		t.rec = r
		next.targets[id] = t
		if r.State == spread.ServerReady {
			next.services[r.Service] = append(next.services[r.Service], tier.Candidate{Server: id, Zone: r.Zone})
		}
	}
	c.offer.Store(next)
	for id, t := range old.targets {
		if n := next.targets[id]; n == nil || n.direct != t.direct {
			t.direct.Close()
		}
	}
}

// byAddress returns which server has each address: the one that started last.
func (c *catalog) byAddress() map[string]tier.ServerID {
	out := make(map[string]tier.ServerID, len(c.records))
	for id, r := range c.records {
		o, taken := out[r.Address]
		if !taken || c.records[o].Born < r.Born || (c.records[o].Born == r.Born && o < id) {
			out[r.Address] = id
		}
	}
	return out
}

// Candidates returns the servers of a service that take new requests.
func (c *catalog) Candidates(s tier.Service) []tier.Candidate { return c.offer.Load().services[s] }

// count returns the number of servers of each service that take new requests.
func (c *catalog) count() map[tier.Service]int {
	out := map[tier.Service]int{}
	for s, list := range c.offer.Load().services {
		out[s] = len(list)
	}
	return out
}

// Direct returns the connections to a server, or nil if it is gone.
func (c *catalog) Direct(id tier.ServerID) *conn.Direct {
	if t := c.offer.Load().targets[id]; t != nil {
		return t.direct
	}
	return nil
}

// service returns the service of a server, or "" if it is gone.
func (c *catalog) service(id tier.ServerID) tier.Service {
	if t := c.offer.Load().targets[id]; t != nil {
		return t.rec.Service
	}
	return ""
}

// trim closes connections that have been idle for too long.
func (c *catalog) trim(now time.Time) {
	for _, t := range c.offer.Load().targets {
		t.direct.Trim(now)
	}
}
