package vers

import (
	"sort"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Layout is one snapshot of a service with the servers that hold each shard.
type Layout struct {
	Snapshot tier.Snapshot
	Shards   [][]tier.Candidate // by shard number
	covered  int                // shards with at least one server
}

// Complete reports whether every shard has a server.
func (l *Layout) Complete() bool { return l.covered == len(l.Shards) }

// Covered returns the number of shards that have a server.
func (l *Layout) Covered() int { return l.covered }

// Catalog lists the snapshots of every service, and the servers of services
// without an index. It is immutable; each change of the membership makes a new one.
type Catalog struct {
	layouts   map[tier.Service][]*Layout // newest first
	unindexed map[tier.Service][]tier.Candidate
}

// NewCatalog returns a catalog of the servers that are not drained.
func NewCatalog(servers map[tier.ServerID]tier.Announcement, drained func(tier.ServerID) bool) *Catalog {
	services := map[tier.Service]bool{}
	for _, s := range servers {
		services[s.Service] = true
	}
	return (&Catalog{}).With(servers, drained, services)
}

// With returns a catalog in which the changed services are rebuilt from servers
// and the others are shared with c.
func (c *Catalog) With(servers map[tier.ServerID]tier.Announcement, drained func(tier.ServerID) bool, changed map[tier.Service]bool) *Catalog {
	next := &Catalog{layouts: map[tier.Service][]*Layout{}, unindexed: map[tier.Service][]tier.Candidate{}}
	for s, l := range c.layouts {
		if !changed[s] {
			next.layouts[s] = l
		}
	}
	for s, l := range c.unindexed {
		if !changed[s] {
			next.unindexed[s] = l
		}
	}
	var ids []tier.ServerID
	for id, s := range servers {
		if changed[s.Service] && !drained(id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	next.addServers(servers, ids)
	for s := range changed {
		ls := next.layouts[s]
		sort.Slice(ls, func(i, j int) bool { return ls[j].Snapshot.Less(ls[i].Snapshot) })
	}
	return next
}

func (c *Catalog) addServers(servers map[tier.ServerID]tier.Announcement, ids []tier.ServerID) {
	bySnapshot := map[tier.Service]map[tier.Snapshot]*Layout{}
	for _, id := range ids {
		s := servers[id]
		cand := tier.Candidate{Server: id, Zone: s.Zone}
		if len(s.Holdings) == 0 {
			c.unindexed[s.Service] = append(c.unindexed[s.Service], cand)
			continue
		}
		for _, h := range s.Holdings {
			c.layoutOf(bySnapshot, s.Service, h.Snapshot).add(h.Shard, cand)
		}
	}
}

func (c *Catalog) layoutOf(bySnapshot map[tier.Service]map[tier.Snapshot]*Layout, s tier.Service, snap tier.Snapshot) *Layout {
	if bySnapshot[s] == nil {
		bySnapshot[s] = map[tier.Snapshot]*Layout{}
	}
	l := bySnapshot[s][snap]
	if l == nil {
		l = &Layout{Snapshot: snap, Shards: make([][]tier.Candidate, snap.Shards)}
		bySnapshot[s][snap] = l
		c.layouts[s] = append(c.layouts[s], l)
	}
	return l
}

func (l *Layout) add(shard tier.Shard, c tier.Candidate) {
	if len(l.Shards[shard]) == 0 {
		l.covered++
	}
	l.Shards[shard] = append(l.Shards[shard], c)
}

// Pin returns the snapshot that a new query should use: the newest complete
// one, else the one with the largest share of covered shards, and of several
// such the newest. It returns nil if the service has no snapshot.
func (c *Catalog) Pin(s tier.Service) *Layout {
	var best *Layout
	for _, l := range c.layouts[s] {
		if l.Complete() {
			return l
		}
		if best == nil || l.covered*len(best.Shards) > best.covered*len(l.Shards) {
			best = l
		}
	}
	return best
}

// Newest returns the newest snapshot, complete or not, or nil if there is none.
func (c *Catalog) Newest(s tier.Service) *Layout {
	if len(c.layouts[s]) == 0 {
		return nil
	}
	return c.layouts[s][0]
}

// Unindexed returns the servers of a service without an index.
func (c *Catalog) Unindexed(s tier.Service) []tier.Candidate { return c.unindexed[s] }

// Known reports whether the catalog has any server of the service.
func (c *Catalog) Known(s tier.Service) bool {
	return len(c.layouts[s]) > 0 || len(c.unindexed[s]) > 0
}

// Services returns the names of all services, sorted.
func (c *Catalog) Services() []tier.Service {
	var out []tier.Service
	for s := range c.layouts {
		out = append(out, s)
	}
	for s := range c.unindexed {
		if c.layouts[s] == nil {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
