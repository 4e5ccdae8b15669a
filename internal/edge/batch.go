package edge

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/spread"
)

// minRebuildInterval is the minimum time between two rebuilds of the host and server lists for
// changes received from other hosts. A rebuild takes time proportional to the size of the fleet,
// and changes arrive one by one: when a rack of a fleet of 300 hosts restarts, some thousand
// records change per second. The delay is well below the seconds within which changes must be in
// force.
const minRebuildInterval = gossipTick

// batch collects membership changes until they are flushed. It does no I/O and is not safe for
// concurrent use.
type batch struct {
	hosts     bool
	servers   []spread.Server
	flushedAt time.Duration
	flushed   bool
}

// add appends the changes in eff.
func (b *batch) add(eff *spread.Effects) {
	b.hosts = b.hosts || eff.Hosts
	b.servers = append(b.servers, eff.Servers...)
}

// due reports whether the collected changes are to be flushed: immediately if this host made them,
// otherwise once minRebuildInterval has passed since the last flush.
func (b *batch) due(now time.Duration, own bool) bool {
	return (b.hosts || len(b.servers) > 0) && (own || !b.flushed || now-b.flushedAt >= minRebuildInterval)
}

// flush returns the collected changes in order and resets the batch.
func (b *batch) flush(now time.Duration) (hosts bool, servers []spread.Server) {
	hosts, servers = b.hosts, b.servers
	*b = batch{flushedAt: now, flushed: true}
	return hosts, servers
}
