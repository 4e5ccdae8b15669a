package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// gossipTick is the resolution of the timers for retries and probes.
	gossipTick = 50 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer, larger than any packet that is sent.
	maxDatagramBytes = 16 << 10
)

// gossip runs the membership protocol: it passes datagrams and ticks to the membership state and
// reports changes to the node through onChange. Lock order: mu, then the catalog's mu or the forwarder's.
type gossip struct {
	settings *Settings
	clock    tier.Clock
	onChange func(spread.Effects)
	// onDropped is called for each packet with records that cannot be decoded.
	onDropped func(source string, dropped int, err error)
	// knownFaults returns the faults that hosts must know once they have started.
	knownFaults func() []spread.Fault
	// knownTrials returns the trials that count, faultSum a hash of both.
	knownTrials func() []spread.Trial
	faultSum    func() uint64
	// onTick, if not nil, is called at each tick.
	onTick func()

	mu    sync.Mutex
	state spread.State
	batch batch
	sock  *net.UDPConn
	hosts atomic.Pointer[[]spread.Host]
	// cachedCounts is recomputed whenever hosts changes, as it is read for every choice of a
	// server.
	cachedCounts atomic.Pointer[hostCounts]
	// shareTracker computes cachedShares from the list of hosts; it is guarded by mu.
	shareTracker shareTracker
	cachedShares atomic.Pointer[rateShares]
	cachedCold   atomic.Pointer[rateShares]
	// isCurrent is State.Current at lastApplied, a time of clock; currentChanged is signalled when it
	// changes.
	isCurrent      atomic.Bool
	lastApplied    atomic.Int64
	currentChanged chan struct{}
	peers          map[tier.NodeID]netip.AddrPort
}

func (g *gossip) start(self spread.Host, lease time.Duration) error {
	addr, err := net.ResolveUDPAddr("udp", g.settings.gossipAddress(g.settings.bind()))
	if err != nil {
		return tier.At("resolve gossip address", string(g.settings.ID), err)
	}
	if g.sock, err = net.ListenUDP("udp", addr); err != nil {
		return tier.At("listen for gossip", addr.String(), err)
	}
	g.peers = map[tier.NodeID]netip.AddrPort{}
	g.state = spread.State{Lease: lease, Seeds: g.settings.Seeds, KnownFaults: g.knownFaults, KnownTrials: g.knownTrials, FaultSum: g.faultSum, Rand: rand.New(rand.NewPCG(self.Boot, rand.Uint64()))}
	g.withState(func(now time.Duration, s *spread.State) { s.Start(now, self) })
	return nil
}

// withState runs f, which is a change or a query by this host itself, and carries out the resulting
// effects before it returns.
func (g *gossip) withState(f func(now time.Duration, s *spread.State)) { g.apply(true, f) }

// apply runs f on the state and carries out the resulting effects. For changes by other hosts (own
// is false) the lists are rebuilt at most once per minRebuildInterval.
func (g *gossip) apply(own bool, f func(now time.Duration, s *spread.State)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	f(now, &g.state)
	eff := g.state.TakeEffects()
	g.batch.add(&eff)
	eff.Hosts, eff.Servers = false, nil
	current := g.state.Current(now)
	if g.batch.due(now, own || current != g.isCurrent.Load()) {
		eff.Hosts, eff.Servers = g.batch.flush(now)
	}
	if eff.Hosts {
		list := g.state.Hosts()
		g.hosts.Store(&list)
		c := g.countHosts(list)
		g.cachedCounts.Store(&c)
		shares := g.shareTracker.update(now, g.settings.ID, list)
		g.cachedShares.Store(&shares)
		cold := g.shareTracker.updateCold(g.settings.ID, list)
		g.cachedCold.Store(&cold)
	}
	for i := range eff.Sends {
		g.send(&eff.Sends[i])
	}
	if len(eff.Servers) > 0 || eff.Hosts || eff.NewerRoutesPeer != "" || eff.NewerEvacuationsPeer != "" || len(eff.Faults) > 0 || len(eff.Trials) > 0 || len(eff.Notices) > 0 {
		g.onChange(eff)
	}
	g.lastApplied.Store(int64(now))
	if g.isCurrent.Swap(current) != current {
		select {
		case g.currentChanged <- struct{}{}:
		default:
		}
	}
}

// current reports whether the records are up to date. It is false right after a suspension, before the
// first tick.
func (g *gossip) current() bool {
	return g.isCurrent.Load() && int64(g.clock.Now())-g.lastApplied.Load() < int64(spread.SuspendedAfter)
}

func (g *gossip) send(s *spread.Send) {
	addr, ok := g.peers[s.To]
	if !ok {
		var err error
		if addr, err = netip.ParseAddrPort(g.settings.gossipAddress(s.To)); err != nil {
			return
		}
		g.peers[s.To] = addr
	}
	b, err := frame.Marshal(&s.Packet)
	if err != nil {
		return
	}
	// A datagram that fails to be sent is retransmitted like one lost in the network.
	_, _ = g.sock.WriteToUDPAddrPort(b, addr)
}

// receive reads datagrams until the socket is closed.
func (g *gossip) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.sock.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.sock.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue
		}
		var p spread.Packet
		dropped, err := frame.UnmarshalRecords(buf[:n], &p)
		if dropped > 0 || err != nil {
			g.onDropped(from.Addr().String(), dropped, err)
		}
		if err != nil {
			continue
		}
		g.apply(false, func(now time.Duration, s *spread.State) { s.Receive(now, p) })
	}
}

func (g *gossip) tick(ctx context.Context) error {
	t := time.NewTicker(gossipTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if g.onTick != nil {
				g.onTick()
			}
			g.apply(false, func(now time.Duration, s *spread.State) { s.Tick(now) })
		}
	}
}

// list returns the records of all hosts.
func (g *gossip) list() []spread.Host {
	if p := g.hosts.Load(); p != nil {
		return *p
	}
	return nil
}

// counts returns the numbers of hosts that share the fleet's allowances.
func (g *gossip) counts() hostCounts {
	if c := g.cachedCounts.Load(); c != nil {
		return *c
	}
	return hostCounts{others: 1}
}

// limitShares returns the shares of the hosts in servers' limits.
func (g *gossip) limitShares() *rateShares {
	if s := g.cachedShares.Load(); s != nil {
		return s
	}
	return &rateShares{}
}

// coldShares returns the shares of the hosts in cold servers' rates.
func (g *gossip) coldShares() *rateShares {
	if s := g.cachedCold.Load(); s != nil {
		return s
	}
	return &rateShares{}
}

// countHosts counts the live hosts, including this one.
func (g *gossip) countHosts(list []spread.Host) (c hostCounts) {
	for i := range list {
		switch h := &list[i]; {
		case h.State == spread.HostDown:
		case h.Active:
			c.busy++
			c.selfBusy = c.selfBusy || h.ID == g.settings.ID
		default:
			c.others++
		}
	}
	return c
}

func (g *gossip) updateSelf(f func(*spread.Host)) {
	g.withState(func(now time.Duration, s *spread.State) { s.UpdateSelf(now, f) })
}

func (g *gossip) seeds() (list []tier.NodeID) {
	g.withState(func(_ time.Duration, s *spread.State) { list = s.Seeds })
	return list
}

func (g *gossip) setSeeds(seeds []tier.NodeID) {
	g.withState(func(_ time.Duration, s *spread.State) { s.Seeds = seeds })
}

func (g *gossip) setRoutes(v vers.RoutesVersion) {
	g.withState(func(now time.Duration, s *spread.State) { s.SetRoutes(now, v) })
}

// connected reports whether gossip from other hosts has been received recently; it is true if there
// are no other hosts.
func (g *gossip) connected() (recent bool) {
	g.withState(func(now time.Duration, s *spread.State) { recent = !s.Isolated(now) })
	return recent
}

func (g *gossip) unacknowledged() (n int) {
	g.withState(func(_ time.Duration, s *spread.State) { n = s.UnacknowledgedHosts() })
	return n
}
