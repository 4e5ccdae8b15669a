package spread

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Receive handles a packet from another node.
func (s *State) Receive(now time.Duration, p Packet) {
	if p.From == s.self.ID || p.From == "" {
		return
	}
	s.contacted, s.lastReceived = true, now
	s.closeProbe(p.From)
	if p.Ack != 0 {
		delete(s.pushes, p.Ack)
	}
	s.heardRoutes = max(s.heardRoutes, p.Routes)
	if p.Routes > s.routes {
		s.effects.NewerRoutesPeer = p.From
	}
	s.heardEvacuations = max(s.heardEvacuations, p.Evacuations)
	if p.Evacuations > s.evacuations {
		s.effects.NewerEvacuationsPeer = p.From
	}
	s.receiveHosts(now, p.Hosts)
	for i := range p.Servers {
		s.putServer(now, p.Servers[i])
	}
	s.effects.Faults = append(s.effects.Faults, p.Faults...)
	s.effects.Trials = append(s.effects.Trials, p.Trials...)
	s.effects.Notices = append(s.effects.Notices, p.Notices...)
	if p.Number != 0 {
		s.send(p.From, Packet{Ack: p.Number})
	}
	s.compareDigests(now, p)
	if p.Last && !s.synced {
		s.compared(now, p.From)
	}
}

// compared handles the end of a comparison with a host. Packets overtake each other, so that records of
// a comparison may still be under way at its end; a later one with the same host names those that were
// lost.
func (s *State) compared(now time.Duration, id tier.NodeID) {
	switch {
	case s.syncPeer == "":
		s.syncPeer, s.firstCompared = id, now
	case s.syncPeer != id:
		return
	case now-s.firstCompared >= syncSettleTime:
		s.synced = true
		return
	}
	s.sendProbe(now, id)
}

func (s *State) closeProbe(id tier.NodeID) {
	if pr := s.probes[id]; pr != nil {
		pr.open = false
	}
}

// receiveHosts stores newer records of hosts. A newer record of this host itself, which marks it down or comes from
// another start of it, is refuted with a still higher version.
func (s *State) receiveHosts(now time.Duration, hosts []Host) {
	for i := range hosts {
		h := hosts[i]
		if h.ID != s.self.ID {
			s.putHost(now, h)
			continue
		}
		if s.self.Less(&h) {
			s.self.Boot, s.self.Seq = max(s.self.Boot, h.Boot), max(s.self.Seq, h.Seq)+1
			s.putHost(now, s.self)
			s.changedHosts = append(s.changedHosts, s.self.ID)
			s.flush(now)
		}
	}
}

// compareDigests answers probes and digests. A probe is answered with this host's digest if the sums differ; a digest
// is answered with the records of the buckets that differ. If that digest came in reply to a probe, the local digest
// is added, so that the peer sends its differing records too.
func (s *State) compareDigests(now time.Duration, p Packet) {
	if p.Probe != 0 {
		s.answerProbe(now, &p)
		return
	}
	local := s.digest
	if p.Digest == nil || *p.Digest == local {
		s.synced = s.synced || p.Reply != 0
		if p.Digest != nil && p.Reply == 0 {
			s.send(p.From, Packet{Last: true})
		}
		return
	}
	if p.Reply != 0 {
		if last, ok := s.lastCompared[p.From]; ok && s.synced && now-last < minCompareInterval {
			return
		}
		s.lastCompared[p.From] = now
	}
	pkts := s.differingRecords(p.Digest)
	if len(pkts) == 0 {
		pkts = []Packet{{}}
	}
	if p.Reply != 0 {
		pkts[len(pkts)-1].Digest = &local
	} else {
		pkts[len(pkts)-1].Last = true
	}
	for _, out := range pkts {
		s.send(p.From, out)
	}
}

// answerProbe answers a probe, with the digest if the sums differ, and with the known faults if the host introduces itself
// or knows others.
func (s *State) answerProbe(now time.Duration, p *Packet) {
	local := s.digest
	reply := Packet{Reply: p.Probe}
	if p.Sum != local.sum() && s.shouldSendDigest(now, p) {
		s.digestSent = now
		reply.Digest = &local
	}
	if len(p.Hosts) > 0 {
		s.sendKnownFaults(p.From)
	} else if p.FaultSum != s.faultSum() {
		s.exchangeFaults(now, p.From)
	}
	s.send(p.From, reply)
}

func (s *State) faultSum() uint64 {
	if s.FaultSum == nil {
		return 0
	}
	return s.FaultSum()
}

// exchangeFaults tells a host whose hash of the known faults differs what this host knows, and probes it, so that it does
// the same. The difference may come from reports that are still on their way, so this is done at most once per
// probeInterval and host.
func (s *State) exchangeFaults(now time.Duration, id tier.NodeID) {
	if last, ok := s.faultsSent[id]; ok && now-last < probeInterval {
		return
	}
	s.faultsSent[id] = now
	s.sendKnownFaults(id)
	s.sendProbe(now, id)
}

// sendKnownFaults tells a host which requests failed servers. It is repeated with the host's introduction, or while hashes
// differ, so that lost packets do not matter.
func (s *State) sendKnownFaults(to tier.NodeID) {
	var faults []Fault
	var trials []Trial
	if s.KnownFaults != nil {
		faults = s.KnownFaults()
	}
	if s.KnownTrials != nil {
		trials = s.KnownTrials()
	}
	for _, p := range s.pack(nil, nil, faults, trials) {
		s.send(to, p)
	}
}

// shouldSendDigest reports whether a probe with a different sum is answered with the digest: always for a host that
// introduces itself, otherwise only once pushes that may explain the difference have had time to arrive.
func (s *State) shouldSendDigest(now time.Duration, p *Packet) bool {
	return len(p.Hosts) > 0 || now-s.lastChange >= digestQuietPeriod || now-s.digestSent >= maxDigestInterval
}

// differingRecords packs this host's records of all buckets in which d differs from its own digest.
func (s *State) differingRecords(d *Digest) []Packet {
	var hosts []tier.NodeID
	for id := range s.hosts {
		if *d.host(id) != *s.digest.host(id) {
			hosts = append(hosts, id)
		}
	}
	var servers []tier.ServerID
	for id := range s.servers {
		if *d.server(id) != *s.digest.server(id) {
			servers = append(servers, id)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i] < hosts[j] })
	sort.Slice(servers, func(i, j int) bool { return servers[i] < servers[j] })
	return s.pack(hosts, servers, nil, nil)
}

// Tick sends join probes to seeds, probes hosts, retries pushes and expires leases.
func (s *State) Tick(now time.Duration) {
	if gap := now - s.lastTick; gap > hostTimeout {
		s.extendTimers(gap)
		if gap > SuspendedAfter {
			s.syncStarted, s.synced, s.syncPeer = now, false, ""
		}
	}
	s.lastTick = now
	s.join(now)
	s.retryPushes(now)
	if now-s.lastProbe >= probeInterval {
		s.lastProbe = now
		s.probePeers(now)
	}
	s.resendProbes(now)
	if now-s.lastSweep >= probeInterval {
		s.lastSweep = now
		s.sweep(now)
	}
}

// extendTimers adds a gap in which this process did not run to the servers' leases and closes the open probes:
// announcements and replies may have arrived in that time without being handled.
func (s *State) extendTimers(gap time.Duration) {
	for _, e := range s.servers {
		e.lastAnnounced += gap
	}
	for _, p := range s.probes {
		p.open = false
	}
}

// join probes the seeds until a packet has been received. After that it regularly probes one unknown seed or down host,
// so that two partitions whose hosts consider each other down merge again.
func (s *State) join(now time.Duration) {
	interval := joinInterval
	if s.contacted {
		interval = 10 * joinInterval
	}
	if now-s.lastJoin < interval {
		return
	}
	s.lastJoin = now
	for _, id := range s.joinTargets() {
		s.lastNumber++
		s.send(id, Packet{Probe: s.lastNumber, Sum: s.digest.sum(), Hosts: []Host{s.self}})
	}
}

// joinTargets returns the unknown seeds and the hosts that are down; once a packet has been received, only one of them
// at random.
func (s *State) joinTargets() []tier.NodeID {
	var out []tier.NodeID
	for _, id := range s.Seeds {
		if e := s.hosts[id]; id != s.self.ID && (e == nil || e.rec.State == HostDown) {
			out = append(out, id)
		}
	}
	for id, e := range s.hosts {
		if e.rec.State == HostDown && id != s.self.ID && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	if s.contacted && len(out) > 1 {
		sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
		out = out[s.Rand.IntN(len(out)):][:1]
	}
	return out
}

// retryPushes resends unacknowledged pushes and drops those out of attempts or to hosts that are down.
func (s *State) retryPushes(now time.Duration) {
	var due []uint64
	for n, p := range s.pushes {
		if now-p.lastSent >= pushRetryInterval {
			due = append(due, n)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, n := range due {
		p := s.pushes[n]
		e := s.hosts[p.to]
		if p.attempts >= maxPushAttempts || e == nil || e.rec.State == HostDown {
			delete(s.pushes, n)
			continue
		}
		p.attempts++
		p.lastSent = now
		s.send(p.to, p.packet)
	}
}

// probePeers probes the successors on the ring and one more host at random, alternately a voter and any host. Voters
// exchange records with all hosts, so two hosts that cannot reach each other still converge through them.
func (s *State) probePeers(now time.Duration) {
	ring := s.ring()
	watched, others := s.splitRing(now, ring)
	for _, id := range watched {
		s.probe(now, id, true)
	}
	s.round++
	if s.round%2 == 0 {
		others = s.voters(others)
	}
	if len(others) > 0 {
		s.probe(now, others[s.Rand.IntN(len(others))], false)
	}
	for id := range s.probes {
		if !slices.Contains(watched, id) {
			delete(s.probes, id)
		}
	}
}

// splitRing returns the successors to watch, of which watchedSuccessors are not silent, and the other hosts. Without the silent
// ones, a run of failed hosts on the ring would be found two at a time: 9 s for a run of 20 hosts. A host that hears of no other
// watches no more than usual, as it would take the whole fleet for failed.
func (s *State) splitRing(now time.Duration, ring []tier.NodeID) (watched, others []tier.NodeID) {
	n, answering := 0, 0
	for n < len(ring) && answering < watchedSuccessors {
		p := s.probes[ring[n]]
		if p == nil || !p.open || now-p.since < silentAfter || s.Isolated(now) {
			answering++
		}
		n++
	}
	return ring[:n], ring[n:]
}

func (s *State) voters(list []tier.NodeID) []tier.NodeID {
	var out []tier.NodeID
	for _, id := range list {
		if s.hosts[id].rec.Replica != "" {
			out = append(out, id)
		}
	}
	return out
}

// ring returns the other live hosts in hash ring order, starting after this host. The result is cached until a host is
// added, goes down or comes back up.
func (s *State) ring() []tier.NodeID {
	if s.ringCache == nil {
		s.ringCache = s.peers()
		own := xxhash.Sum64String(string(s.self.ID))
		at := make(map[tier.NodeID]uint64, len(s.ringCache))
		for _, id := range s.ringCache {
			at[id] = xxhash.Sum64String(string(id)) - own
		}
		sort.Slice(s.ringCache, func(i, j int) bool { return at[s.ringCache[i]] < at[s.ringCache[j]] })
	}
	return s.ringCache
}

// probe sends a probe to a host. A watched host whose probe stayed unanswered for hostTimeout is marked down instead.
func (s *State) probe(now time.Duration, id tier.NodeID, watch bool) {
	if watch {
		pr := s.probes[id]
		if pr == nil {
			pr = &probe{}
			s.probes[id] = pr
		}
		if pr.open && now-pr.since >= hostTimeout {
			s.markDown(now, id)
			return
		}
		if !pr.open {
			pr.open, pr.since = true, now
		}
		pr.lastSent = now
	}
	s.sendProbe(now, id)
}

func (s *State) sendProbe(now time.Duration, id tier.NodeID) {
	s.lastNumber++
	p := Packet{Probe: s.lastNumber, Sum: s.digest.sum(), FaultSum: s.faultSum()}
	if now-s.syncStarted < introductionPeriod {
		p.Hosts = []Host{s.self}
	}
	s.send(id, p)
}

// resendProbes resends unanswered probes to watched hosts.
func (s *State) resendProbes(now time.Duration) {
	var due []tier.NodeID
	for id, p := range s.probes {
		if p.open && now-p.since >= probeResendDelay && now-p.lastSent >= probeResendInterval {
			due = append(due, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		s.probes[id].lastSent = now
		s.sendProbe(now, id)
	}
}

func (s *State) markDown(now time.Duration, id tier.NodeID) {
	h := s.hosts[id].rec
	h.State = HostDown
	delete(s.probes, id)
	if s.putHost(now, h) {
		s.changedHosts = append(s.changedHosts, id)
		s.flush(now)
	}
}

// sweep expires the leases of servers whose home is this host, and of orphaned servers, and deletes records past their
// retention.
func (s *State) sweep(now time.Duration) {
	expireOrphans := s.lowestLiveHost()
	for id, e := range s.servers {
		switch {
		case !e.rec.Live():
			if now-e.downAt > tombstoneRetention {
				s.dropServer(id)
			}
		case e.rec.Home == s.self.ID:
			if now-e.lastAnnounced > s.lease() {
				s.markLost(now, e)
			}
		case expireOrphans && s.orphaned(now, e.rec.Home):
			s.markLost(now, e)
		}
	}
	for id, e := range s.hosts {
		if e.rec.State == HostDown && now-e.downAt > downHostRetention && id != s.self.ID {
			*s.digest.host(id) -= e.sum
			delete(s.hosts, id)
			delete(s.lastCompared, id)
			delete(s.faultsSent, id)
		}
	}
	if len(s.changedServers) > 0 {
		s.flush(now)
	}
}

// lease returns how long a server stays live at this host after its last announcement. A host that is cut off from the
// servers may not get their announcements, which need time to reach other hosts.
func (s *State) lease() time.Duration {
	if s.self.Cut {
		return cutLeaseFactor * s.Lease
	}
	return s.Lease
}

// lowestLiveHost reports whether this host has the lowest id of the live ones; it then expires the leases of servers
// whose home is down.
func (s *State) lowestLiveHost() bool {
	for id, e := range s.hosts {
		if e.rec.State != HostDown && id < s.self.ID {
			return false
		}
	}
	return true
}

// orphaned reports whether a server's home, the host at which it announces itself, is unknown or has been down for
// longer than a lease. By then the home's servers, if they are live, have announced themselves elsewhere.
func (s *State) orphaned(now time.Duration, home tier.NodeID) bool {
	e := s.hosts[home]
	return e == nil || (e.rec.State == HostDown && now-e.downAt > s.Lease)
}

func (s *State) markLost(now time.Duration, e *serverEntry) {
	r := e.rec
	r.State = ServerLost
	r.Seq = max(r.Seq, e.seq)
	if s.putServer(now, r) {
		s.changedServers = append(s.changedServers, r.ID)
	}
}
