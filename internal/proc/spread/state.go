package spread

import (
	"math/rand/v2"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Intervals, timeouts and limits of the gossip protocol.
const (
	// probeInterval is the interval between probes; three fit into hostTimeout.
	probeInterval = 300 * time.Millisecond
	// probeResendDelay is how long a probe may stay unanswered before it is sent again, well above a round trip;
	// probeResendInterval is the interval between further copies. A host is thus marked down only after about a
	// dozen unanswered datagrams, not after three.
	probeResendDelay    = 150 * time.Millisecond
	probeResendInterval = 50 * time.Millisecond
	// isolationTimeout is how long a host may receive no packet before it counts as isolated: the time of three
	// rounds of probes to three hosts each.
	isolationTimeout = time.Second
	// hostTimeout is how long a probed host may leave probes unanswered before it is marked down. Callers give up
	// a connection after one second, so a failed host must be out of the address lists by then.
	hostTimeout = 900 * time.Millisecond
	// joinInterval is the interval between join probes until a packet has been received; after that it is ten times
	// as long.
	joinInterval = 200 * time.Millisecond
	// pushRetryInterval is the wait before an unacknowledged push is sent again.
	pushRetryInterval = 150 * time.Millisecond
	// maxPushAttempts is how often a push is sent in all; anti-entropy repairs what is still missing.
	maxPushAttempts = 4
	// digestQuietPeriod is how long records must have been unchanged before a probe with a different sum is
	// answered with a digest, as pushes may still be in transit before. maxDigestInterval bounds that wait while
	// records change all the time.
	digestQuietPeriod = 200 * time.Millisecond
	maxDigestInterval = 900 * time.Millisecond
	// minCompareInterval is the minimum time between two digest comparisons with the same peer, so that the records
	// sent by the previous one have arrived.
	minCompareInterval = 150 * time.Millisecond
	// SuspendedAfter is the time without a tick after which a host counts as suspended and no longer knows
	// what was withdrawn: shorter than the time in which others rely on a change that it missed.
	SuspendedAfter = 2 * time.Second
	// syncTimeout is how long a host that has started or was suspended waits for the records of another
	// one before it relies on its own.
	syncTimeout = time.Second
	// syncSettleTime is the time between the ends of two comparisons with the same host after which a
	// host's records are current even if new changes keep them different from the other's.
	syncSettleTime = 100 * time.Millisecond
	// introductionPeriod is how long after its start or a suspension a host adds its own record to every probe. Such a probe is
	// answered with a digest without delay, as the new host may still lack most records.
	introductionPeriod = 3 * time.Second
	// watchedSuccessors is the number of successors on the ring whose failure a host detects.
	watchedSuccessors = 2
	// silentAfter is how long a probe is unanswered before further successors are watched too: after several copies of it.
	silentAfter = 300 * time.Millisecond
	// cutLeaseFactor multiplies the lease of the servers at a host that is cut off from them.
	cutLeaseFactor = 3
	// tombstoneRetention is how long the record of a lost or gone server is kept, longer than an announcement can be
	// delayed.
	tombstoneRetention = 60 * time.Second
	// downHostRetention is how long the record of a down host is kept and join probes are sent to it.
	downHostRetention = 10 * time.Minute
	// maxPacketRecords bounds the records in one packet, to about 1,200 bytes. Packets of longer records have fewer, so that
	// all fit into maxPacketBytes and with the packet's other fields into one Ethernet frame.
	maxPacketRecords = 9
	maxPacketBytes   = 1350
)

type hostEntry struct {
	rec    Host
	sum    uint32
	bytes  int
	downAt time.Duration
}

type serverEntry struct {
	rec   Server
	sum   uint32
	bytes int
	// seq and lastAnnounced are of the latest announcement at this host, if it is the server's home.
	seq           uint64
	lastAnnounced time.Duration
	// coldUntil is until when the record says that the server is cold.
	coldUntil time.Duration
	downAt    time.Duration
}

type push struct {
	to       tier.NodeID
	lastSent time.Duration
	attempts int
	packet   Packet
}

// probe records, for one watched host, whether a probe is unanswered, since when, and when it was last sent.
type probe struct {
	open     bool
	since    time.Duration
	lastSent time.Duration
}

// State is one node's copy of the membership. Set the exported fields, then call Start.
type State struct {
	// Lease is how long a server stays live at its home after its last announcement.
	Lease time.Duration
	// Seeds receive join probes until they are known.
	Seeds []tier.NodeID
	// Rand selects the peers to probe and join.
	Rand *rand.Rand
	// KnownFaults, if not nil, returns the faults that count, at most MaxKnownFaults. A host that introduces itself has missed
	// their reports.
	KnownFaults func() []Fault
	// KnownTrials, if not nil, returns the trials that count, at most MaxKnownFaults.
	KnownTrials func() []Trial
	// FaultSum, if not nil, returns a hash of the faults and trials that count. Hosts whose hashes differ tell each other
	// what they know: one of them may have been cut off when the reports were sent.
	FaultSum func() uint64

	self         Host
	routes       vers.RoutesVersion
	hosts        map[tier.NodeID]*hostEntry
	servers      map[tier.ServerID]*serverEntry
	digest       Digest
	pushes       map[uint64]*push
	lastNumber   uint64
	probes       map[tier.NodeID]*probe
	lastProbe    time.Duration
	lastJoin     time.Duration
	lastSweep    time.Duration
	lastTick     time.Duration
	contacted    bool
	lastReceived time.Duration
	// lastChange is when a record last changed, digestSent when this host last answered a probe with its digest,
	// lastCompared when it last compared its records with the digest in a peer's reply.
	lastChange   time.Duration
	digestSent   time.Duration
	lastCompared map[tier.NodeID]time.Duration
	// faultsSent is when this host last told a peer the known faults because their hashes differed.
	faultsSent map[tier.NodeID]time.Duration
	round      int
	// syncStarted is when this host started or resumed after a suspension. synced is set once it has
	// compared its records with another host's since, and heardRoutes is the newest version of the
	// routing table that others have named.
	syncStarted time.Duration
	synced      bool
	// syncPeer is the first host with which a comparison has ended since, at firstCompared.
	syncPeer      tier.NodeID
	firstCompared time.Duration
	heardRoutes   vers.RoutesVersion
	// evacuations is the version of the set of evacuated zones in force, heardEvacuations the newest that others have named.
	evacuations, heardEvacuations evac.Version
	// ringCache is the hash ring of the live hosts; nil after a change, until it is needed again.
	ringCache      []tier.NodeID
	changedServers []tier.ServerID
	changedHosts   []tier.NodeID
	pendingFaults  []Fault
	pendingTrials  []Trial
	effects        Effects
}

// Start initializes the state with the node's own record.
func (s *State) Start(now time.Duration, self Host) {
	s.self = self
	s.hosts = map[tier.NodeID]*hostEntry{}
	s.servers = map[tier.ServerID]*serverEntry{}
	s.pushes = map[uint64]*push{}
	s.probes = map[tier.NodeID]*probe{}
	s.lastJoin, s.lastTick = now-joinInterval, now
	s.syncStarted, s.digestSent, s.lastCompared = now, now-maxDigestInterval, map[tier.NodeID]time.Duration{}
	s.faultsSent = map[tier.NodeID]time.Duration{}
	s.putHost(now, self)
	s.changedHosts = append(s.changedHosts, self.ID)
}

// Restore loads the records saved before a restart. Hosts count as down here until a newer record arrives, and servers
// get a full lease in which to announce themselves again. The hosts' records get an older version, so that those of the other
// hosts win over them.
func (s *State) Restore(now time.Duration, hosts []Host, servers []Server) {
	for _, h := range hosts {
		if h.ID == s.self.ID {
			continue
		}
		h.State = HostDown
		s.putHost(now, h.before())
	}
	for _, r := range servers {
		s.putServer(now, r)
	}
}

// Sum returns a hash of all records.
func (s *State) Sum() uint64 { return s.digest.sum() }

// Self returns the node's own record.
func (s *State) Self() Host { return s.self }

// UpdateSelf updates the node's own record and pushes it to the peers.
func (s *State) UpdateSelf(now time.Duration, change func(*Host)) {
	next := s.self
	change(&next)
	if next == s.self {
		return
	}
	next.Seq++
	s.self = next
	s.putHost(now, next)
	s.changedHosts = append(s.changedHosts, next.ID)
	s.flush(now)
}

// SetRoutes records the version of the routing table in force. Hosts with a control replica push the version to all
// peers at once. The others only include it in every packet they send; otherwise every host would push it to every
// other one.
func (s *State) SetRoutes(now time.Duration, v vers.RoutesVersion) {
	if v <= s.routes {
		return
	}
	s.routes = v
	s.pushVersions(now)
}

// SetEvacuations records the version of the set of evacuated zones in force, which spreads like that of the routing table.
func (s *State) SetEvacuations(now time.Duration, v evac.Version) {
	if v <= s.evacuations {
		return
	}
	s.evacuations = v
	s.pushVersions(now)
}

// pushVersions sends every peer a packet, which names the versions in force, if this host has a control replica.
func (s *State) pushVersions(now time.Duration) {
	if s.self.Replica == "" {
		return
	}
	for _, id := range s.peers() {
		s.push(now, id, Packet{})
	}
}

// Isolated reports whether this host is isolated: it has received no packet for so long that its records may be stale.
// A host that knows of no other host is not isolated.
func (s *State) Isolated(now time.Duration) bool {
	return s.knowsOthers() && (!s.contacted || now-s.lastReceived > isolationTimeout)
}

// Current reports whether this host's records, routing table and evacuated zones are those of the fleet, as far as
// others have told: after its start or a suspension a host has missed what was withdrawn meanwhile. A
// host that hears of no other for syncTimeout relies on its own.
func (s *State) Current(now time.Duration) bool {
	known := s.heardRoutes <= s.routes && s.heardEvacuations <= s.evacuations
	return (s.synced && known) || now-s.syncStarted >= syncTimeout || !s.knowsOthers()
}

func (s *State) knowsOthers() bool {
	for _, id := range s.Seeds {
		if id != s.self.ID {
			return true
		}
	}
	return len(s.hosts) > 1
}

// Hosts returns all records of hosts, sorted by id.
func (s *State) Hosts() []Host {
	out := make([]Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		out = append(out, h.rec)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Servers returns all records of servers, sorted by id.
func (s *State) Servers() []Server {
	out := make([]Server, 0, len(s.servers))
	for _, e := range s.servers {
		out = append(out, e.rec)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// TakeEffects returns and clears the effects accumulated since the last call.
func (s *State) TakeEffects() Effects {
	out := s.effects
	s.effects = Effects{}
	return out
}

// putHost stores a record of a host if it is newer, and reports whether it was.
func (s *State) putHost(now time.Duration, h Host) bool {
	e := s.hosts[h.ID]
	if e != nil && !e.rec.Less(&h) {
		return false
	}
	if e == nil {
		e = &hostEntry{}
		s.hosts[h.ID] = e
		s.ringCache = nil
	} else {
		*s.digest.host(h.ID) -= e.sum
		if (e.rec.State == HostDown) != (h.State == HostDown) {
			s.ringCache = nil
		}
	}
	if h.State == HostDown {
		e.downAt = now
	}
	e.rec = h
	e.sum, e.bytes = digest(&h)
	*s.digest.host(h.ID) += e.sum
	s.effects.Hosts, s.lastChange = true, now
	return true
}

// putServer stores a record of a server if it is newer, and reports whether it was.
func (s *State) putServer(now time.Duration, r Server) bool {
	e := s.servers[r.ID]
	if e != nil && !e.rec.Less(&r) {
		return false
	}
	if e == nil {
		e = &serverEntry{}
		s.servers[r.ID] = e
	} else {
		*s.digest.server(r.ID) -= e.sum
	}
	if !r.Live() {
		e.downAt = now
	}
	e.rec = r
	e.sum, e.bytes = digest(&r)
	// A home that receives the record of its own server from a peer, after a restart, grants the server a full
	// lease.
	e.lastAnnounced, e.coldUntil = now, now+r.RestMs.Duration()
	*s.digest.server(r.ID) += e.sum
	s.lastChange = now
	s.effects.Servers = append(s.effects.Servers, r)
	return true
}

func (s *State) dropServer(id tier.ServerID) {
	e := s.servers[id]
	*s.digest.server(id) -= e.sum
	delete(s.servers, id)
}

// Announce handles an announcement of a server at this node, which becomes the server's home. changed is true if the
// record changed and is pushed to the peers. An announcement older than the record is ignored.
func (s *State) Announce(now time.Duration, r Server) (changed bool) {
	r.Home = s.self.ID
	r.RestMs = r.ColdMs
	e := s.servers[r.ID]
	if e != nil && e.rec.Born == r.Born {
		if e.rec.State == ServerGone || r.Seq < e.seq {
			return false
		}
		if r.Seq <= e.rec.Seq && (!e.rec.Live() || !e.unchanged(now, &r)) {
			return false
		}
		e.seq, e.lastAnnounced = r.Seq, now
		if e.unchanged(now, &r) {
			return false
		}
		r.ColdMs = e.rec.ColdMs
	}
	if !s.putServer(now, r) {
		return false
	}
	e = s.servers[r.ID]
	e.seq, e.lastAnnounced = r.Seq, now
	s.changedServers = append(s.changedServers, r.ID)
	s.flush(now)
	return true
}

// Leave handles a server's deregistration; ok is false if the server is unknown.
func (s *State) Leave(now time.Duration, id tier.ServerID) (ok bool) {
	e := s.servers[id]
	if e == nil {
		return false
	}
	r := e.rec
	r.State = ServerGone
	r.Seq = max(r.Seq, e.seq)
	if s.putServer(now, r) {
		s.changedServers = append(s.changedServers, id)
		s.flush(now)
	}
	return true
}

// UnacknowledgedHosts returns how many live hosts have not yet acknowledged all pushes.
func (s *State) UnacknowledgedHosts() int {
	waiting := map[tier.NodeID]bool{}
	for _, p := range s.pushes {
		if e := s.hosts[p.to]; e != nil && e.rec.State != HostDown {
			waiting[p.to] = true
		}
	}
	return len(waiting)
}

// ReportFault reports to all hosts that a server failed while it ran a request.
func (s *State) ReportFault(now time.Duration, f Fault) {
	s.pendingFaults = append(s.pendingFaults, f)
	s.flush(now)
}

// ReportTrial reports to all hosts how a trial ended, or that a suspected request was answered.
func (s *State) ReportTrial(now time.Duration, t Trial) {
	s.pendingTrials = append(s.pendingTrials, t)
	s.flush(now)
}

// SendNotice tells all hosts what a server stated.
func (s *State) SendNotice(now time.Duration, n terms.Notice) {
	for _, id := range s.peers() {
		s.push(now, id, Packet{Notices: []terms.Notice{n}})
	}
}

// peers returns the other hosts that are not down, sorted by id.
func (s *State) peers() []tier.NodeID {
	out := make([]tier.NodeID, 0, len(s.hosts))
	for id, e := range s.hosts {
		if id != s.self.ID && e.rec.State != HostDown {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// flush pushes the changed records and the new faults and trials to every peer.
func (s *State) flush(now time.Duration) {
	pkts := s.pack(s.changedHosts, s.changedServers, s.pendingFaults, s.pendingTrials)
	s.changedHosts, s.changedServers, s.pendingFaults, s.pendingTrials = nil, nil, nil, nil
	for _, id := range s.peers() {
		for _, p := range pkts {
			s.push(now, id, p)
		}
	}
}

// pack distributes records over packets of at most maxPacketRecords and maxPacketBytes each. A record that names no server
// to use travels alone: a host of an earlier build may not be able to decode it.
func (s *State) pack(hosts []tier.NodeID, servers []tier.ServerID, faults []Fault, trials []Trial) []Packet {
	var out []Packet
	freeRecords, freeBytes := 0, 0
	next := func(bytes int) *Packet {
		if freeRecords == 0 || freeBytes < bytes {
			out = append(out, Packet{})
			freeRecords, freeBytes = maxPacketRecords, maxPacketBytes
		}
		freeRecords--
		freeBytes -= bytes
		return &out[len(out)-1]
	}
	for _, id := range hosts {
		e := s.hosts[id]
		p := next(e.bytes)
		p.Hosts = append(p.Hosts, e.rec)
	}
	var odd []Packet
	for _, id := range servers {
		e := s.servers[id]
		if e.rec.Check() != nil {
			odd = append(odd, Packet{Servers: []Server{e.rec}})
			continue
		}
		p := next(e.bytes)
		p.Servers = append(p.Servers, e.rec)
	}
	for _, f := range faults {
		p := next(faultBytes)
		p.Faults = append(p.Faults, f)
	}
	for _, t := range trials {
		p := next(trialBytes)
		p.Trials = append(p.Trials, t)
	}
	return append(out, odd...)
}

func (s *State) push(now time.Duration, to tier.NodeID, p Packet) {
	s.lastNumber++
	p.Number = s.lastNumber
	s.pushes[p.Number] = &push{to: to, lastSent: now, attempts: 1, packet: p}
	s.send(to, p)
}

func (s *State) send(to tier.NodeID, p Packet) {
	p.From, p.Boot, p.Routes = s.self.ID, s.self.Boot, s.routes
	p.Evacuations = s.evacuations
	s.effects.Sends = append(s.effects.Sends, Send{To: to, Packet: p})
}
