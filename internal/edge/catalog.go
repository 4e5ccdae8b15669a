package edge

import (
	"net"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// target is a server with this node's connections to it; it is immutable.
type target struct {
	rec    spread.Server
	direct *conn.Direct
}

// catalog holds the servers to which requests may be sent. The cost of a change depends only on the
// records it affects: those of the server's service and of the servers at its addresses. Readers
// take no lock.
type catalog struct {
	// evacuated reports whether a zone is evacuated, whose servers get nothing; nil means that none is.
	evacuated func(tier.Zone) bool
	// onDial is called for each new connection.
	onDial func()
	// onStray and onRepeat are called for discarded answers and for repeated IDs.
	onStray  func(conn.Stray)
	onRepeat func(conn.Repeat)
	// limits bounds servers' answers.
	limits *conn.AnswerLimits
	// source is the local address of connections; nil lets the system choose it.
	source *net.TCPAddr

	// mu guards the records and their indexes.
	mu        sync.Mutex
	records   map[tier.ServerID]spread.Server
	byAddress map[string]map[tier.ServerID]bool
	byService map[tier.Service]map[tier.ServerID]bool

	// targets holds the *target of each server that owns its address (see addressOwner), and
	// services the []tier.Candidate of each service.
	targets  sync.Map
	services sync.Map
}

func (c *catalog) start() {
	c.records = map[tier.ServerID]spread.Server{}
	c.byAddress = map[string]map[tier.ServerID]bool{}
	c.byService = map[tier.Service]map[tier.ServerID]bool{}
}

// update applies new versions of records.
func (c *catalog) update(list []spread.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	affected := map[tier.ServerID]bool{}
	services := map[tier.Service]bool{}
	for i := range list {
		c.put(&list[i], affected, services)
	}
	var closing []*conn.Direct
	for id := range affected {
		services[c.records[id].Service] = true
		closing = c.updateTarget(closing, id)
	}
	for s := range services {
		c.publish(s)
	}
	for _, d := range closing {
		d.Close()
	}
}

// put stores a record, and adds the servers and services that it affects to the two sets.
func (c *catalog) put(r *spread.Server, affected map[tier.ServerID]bool, services map[tier.Service]bool) {
	affected[r.ID] = true
	if old, known := c.records[r.ID]; known {
		c.markAddress(old.Address, affected)
		services[old.Service] = true
		remove(c.byAddress, old.Address, r.ID)
		remove(c.byService, old.Service, r.ID)
		delete(c.records, r.ID)
	}
	if r.Live() {
		c.markAddress(r.Address, affected)
		c.records[r.ID] = *r
		add(c.byAddress, r.Address, r.ID)
		add(c.byService, r.Service, r.ID)
	}
}

func (c *catalog) markAddress(address string, affected map[tier.ServerID]bool) {
	for id := range c.byAddress[address] {
		affected[id] = true
	}
}

func add[K comparable](index map[K]map[tier.ServerID]bool, key K, id tier.ServerID) {
	if index[key] == nil {
		index[key] = map[tier.ServerID]bool{}
	}
	index[key][id] = true
}

func remove[K comparable](index map[K]map[tier.ServerID]bool, key K, id tier.ServerID) {
	delete(index[key], id)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// updateTarget creates, keeps or removes the target of a server, and appends connections that are
// no longer needed to closing.
func (c *catalog) updateTarget(closing []*conn.Direct, id tier.ServerID) []*conn.Direct {
	r, live := c.records[id]
	old := c.target(id)
	if !live || c.addressOwner(r.Address) != id {
		c.targets.Delete(id)
		if old != nil {
			closing = append(closing, old.direct)
		}
		return closing
	}
	if old != nil && old.rec.Born == r.Born && old.rec.Address == r.Address {
		c.targets.Store(id, &target{rec: r, direct: old.direct})
		return closing
	}
	if old != nil {
		closing = append(closing, old.direct)
	}
	c.targets.Store(id, &target{rec: r, direct: c.connect(&r)})
	return closing
}

// connect returns the connections to a server; none is open yet.
func (c *catalog) connect(r *spread.Server) *conn.Direct {
	return &conn.Direct{
		Address: r.Address, Server: r.ID, Born: r.Born, Source: c.source, OnDial: c.onDial, OnStray: c.onStray, OnRepeat: c.onRepeat, Limits: c.limits,
	}
}

// addressOwner returns the server that owns an address: of those that announced it, the one that
// started last.
func (c *catalog) addressOwner(address string) (id tier.ServerID) {
	for o := range c.byAddress[address] {
		born, best := c.records[o].Born, c.records[id].Born
		if id == "" || best < born || (best == born && id < o) {
			id = o
		}
	}
	return id
}

// publish rebuilds the list of a service's servers that accept new requests. The order differs
// between nodes, so that each node prefers a different one of equally good servers.
func (c *catalog) publish(s tier.Service) {
	var list []tier.Candidate
	for id := range c.byService[s] {
		if t := c.target(id); t != nil && c.accepts(t) {
			list = append(list, tier.Candidate{Server: id, Zone: t.rec.Zone})
		}
	}
	if len(list) == 0 {
		c.services.Delete(s)
		return
	}
	c.services.Store(s, list)
}

func (c *catalog) target(id tier.ServerID) *target {
	v, ok := c.targets.Load(id)
	if !ok {
		return nil
	}
	return v.(*target)
}

// Candidates returns the servers of a service that accept new requests.
func (c *catalog) Candidates(s tier.Service) []tier.Candidate {
	v, ok := c.services.Load(s)
	if !ok {
		return nil
	}
	return v.([]tier.Candidate)
}

// accepts reports whether a server accepts new requests.
func (c *catalog) accepts(t *target) bool {
	return t.rec.State == spread.ServerReady && !c.excluded(t.rec.Zone)
}

// Accepts reports whether a server accepts new requests.
func (c *catalog) Accepts(id tier.ServerID) bool {
	t := c.target(id)
	return t != nil && c.accepts(t)
}

// excluded reports whether a zone is evacuated, so that its servers get nothing.
func (c *catalog) excluded(z tier.Zone) bool { return c.evacuated != nil && c.evacuated(z) }

// publishAll rebuilds the lists of all services after a change of the evacuated zones.
func (c *catalog) publishAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.byService {
		c.publish(s)
	}
}

// count returns the number of servers of each service that accept new requests.
func (c *catalog) count() map[tier.Service]int {
	out := map[tier.Service]int{}
	c.services.Range(func(s, list any) bool {
		out[s.(tier.Service)] = len(list.([]tier.Candidate))
		return true
	})
	return out
}

// Direct returns the connections to a server, or nil if the server is not in the catalog or its zone is evacuated.
func (c *catalog) Direct(id tier.ServerID) *conn.Direct {
	if t := c.target(id); t != nil && !c.excluded(t.rec.Zone) {
		return t.direct
	}
	return nil
}

// Fate returns what is known about an instance of a server.
func (c *catalog) Fate(id tier.ServerID, born int64) reqst.Fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, live := c.records[id]
	switch {
	case !live || r.Born < born:
		return reqst.FateLeaving
	case r.Born > born || c.addressOwner(r.Address) != id:
		return reqst.FateReplaced
	case r.State != spread.ServerReady || c.excluded(r.Zone):
		return reqst.FateLeaving
	}
	return reqst.FateServing
}

// service returns the service of a server, or "" if the server is not in the catalog.
func (c *catalog) service(id tier.ServerID) tier.Service {
	if t := c.target(id); t != nil {
		return t.rec.Service
	}
	return ""
}

// zone returns the zone of a server, or "" if the server is not in the catalog.
func (c *catalog) zone(id tier.ServerID) tier.Zone {
	if t := c.target(id); t != nil {
		return t.rec.Zone
	}
	return ""
}

// closeExpired closes connections that have been idle for too long.
func (c *catalog) closeExpired(now time.Time) {
	c.targets.Range(func(_, t any) bool {
		t.(*target).direct.CloseExpired(now)
		if c.excluded(t.(*target).rec.Zone) {
			t.(*target).direct.CloseIdle()
		}
		return true
	})
}
