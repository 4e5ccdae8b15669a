package vers

import (
	"sort"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Layout is one snapshot of a service with the servers that hold each shard.
type Layout struct {
	Snapshot tier.Snapshot
	Shards   [][]tier.Candidate
	covered  int
}

// Complete reports whether every shard has a server.
func (l *Layout) Complete() bool { return l.covered == len(l.Shards) }

// Covered returns the number of shards that have a server.
func (l *Layout) Covered() int { return l.covered }

// Catalog lists the snapshots of every service, and the servers of services
// without an index. It is made anew from each membership and never changed.
type Catalog struct {
	layouts map[tier.Service][]*Layout
	plain   map[tier.Service][]tier.Candidate
}

// NewCatalog makes a catalog from the servers that are not drained.
func NewCatalog(servers map[tier.ServerID]tier.Announcement, drained func(tier.ServerID) bool) *Catalog {
	touched := map[tier.Service]bool{}
	for _, s := range servers {
		touched[s.Service] = true
	}
	return (&Catalog{}).With(servers, drained, touched)
}

// With returns a catalog in which the touched services are made anew and the
// others are those of c.
func (c *Catalog) With(servers map[tier.ServerID]tier.Announcement, drained func(tier.ServerID) bool, touched map[tier.Service]bool) *Catalog {
	next := &Catalog{layouts: map[tier.Service][]*Layout{}, plain: map[tier.Service][]tier.Candidate{}}
	for s, l := range c.layouts {
		if !touched[s] {
			next.layouts[s] = l
		}
	}
	for s, l := range c.plain {
		if !touched[s] {
			next.plain[s] = l
		}
	}
	var ids []tier.ServerID
	for id, s := range servers {
		if touched[s.Service] && !drained(id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	next.fill(servers, ids)
	for s := range touched {
		ls := next.layouts[s]
		sort.Slice(ls, func(i, j int) bool { return ls[j].Snapshot.Less(ls[i].Snapshot) })
	}
	return next
}

func (c *Catalog) fill(servers map[tier.ServerID]tier.Announcement, ids []tier.ServerID) {
	at := map[tier.Service]map[tier.Snapshot]*Layout{}
	for _, id := range ids {
		s := servers[id]
		cand := tier.Candidate{Server: id, Zone: s.Zone}
		if len(s.Holdings) == 0 {
			c.plain[s.Service] = append(c.plain[s.Service], cand)
			continue
		}
		for _, h := range s.Holdings {
			c.layout(at, s.Service, h.Snapshot).add(h.Shard, cand)
		}
	}
}

func (c *Catalog) layout(at map[tier.Service]map[tier.Snapshot]*Layout, s tier.Service, snap tier.Snapshot) *Layout {
	if at[s] == nil {
		at[s] = map[tier.Snapshot]*Layout{}
	}
	l := at[s][snap]
	if l == nil {
		l = &Layout{Snapshot: snap, Shards: make([][]tier.Candidate, snap.Shards)}
		at[s][snap] = l
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

// Pin returns the snapshot that a new query should use: the newest that is
// complete, else the one with the largest covered share, the newest among equals.
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

// Newest returns the newest snapshot, whole or not, or nil.
func (c *Catalog) Newest(s tier.Service) *Layout {
	if len(c.layouts[s]) == 0 {
		return nil
	}
	return c.layouts[s][0]
}

// Plain returns the servers of a service without an index.
func (c *Catalog) Plain(s tier.Service) []tier.Candidate { return c.plain[s] }

// Known reports whether any server of the service has announced itself.
func (c *Catalog) Known(s tier.Service) bool {
	return len(c.layouts[s]) > 0 || len(c.plain[s]) > 0
}

// Services returns the names of all services, sorted.
func (c *Catalog) Services() []tier.Service {
	var out []tier.Service
	for s := range c.layouts {
		out = append(out, s)
	}
	for s := range c.plain {
		if c.layouts[s] == nil {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
