package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// maintenanceInterval is the interval of closing idle connections to servers and of measuring
	// usage; usage.record requires one second.
	maintenanceInterval = time.Second
	// forgetRounds is the number of maintenance rounds after which the observations of servers that
	// have left are dropped.
	forgetRounds = 60
	// leaseIntervals is the length of a server's lease in announcement intervals.
	leaseIntervals = 4
	// confirmTimeout bounds how long the answer to a leaving server's announcement is delayed until
	// all hosts have acknowledged the change; the server waits a second for the answer.
	confirmTimeout      = 300 * time.Millisecond
	confirmPollInterval = 10 * time.Millisecond
)

// Listener is one HTTP interface of a node.
type Listener struct {
	Address string
	Handler http.Handler
	// Use tells what the listener serves.
	Use Use
	// Optional lets the node run without this listener if its address cannot be bound.
	Optional bool
}

// Node is one node process. Set the exported fields, then call Build and Run.
type Node struct {
	// Settings must have been validated.
	Settings Settings
	// Log receives events.
	Log *logrus.Logger
	// Clock is the clock for requests.
	Clock tier.Clock
	// LeaseClock is the clock for leases and for the control group; it must advance while the machine
	// is suspended.
	LeaseClock tier.Clock
	// OnTick, if not nil, is called at each tick of the membership, before anything else when the process
	// resumes after a suspension.
	OnTick func()
	// Stats records latencies and counters.
	Stats *stats.Registry
	// Names are the names of the platform's HTTP headers.
	Names tier.HeaderNames
	// Decode parses a routing table.
	Decode func(doc []byte) (*vers.Routes, error)
	// Certs are the certificates for connections between nodes; if nil, one is generated at start.
	Certs *conn.Certs
	// LinesDropped returns the number of log lines that could not be written; if nil, the metric is
	// omitted.
	LinesDropped func() int64
	// Listeners are the HTTP interfaces; set them between Build and Run.
	Listeners []Listener

	// openLog opens the log of the control replica; nil means the real file.
	openLog func(path string) (tier.File, error)

	boot         uint64
	budget       *conn.Budget
	callers      *conn.CallerBudget
	answers      conn.AnswerLimits
	mesh         *conn.Mesh
	raft         *conn.Sender
	replica      atomic.Pointer[ctrl.Replica]
	leaderHint   atomic.Pointer[tier.NodeID]
	gossip       *gossip
	catalog      *catalog
	forwarder    *reqst.Forwarder
	currency     *currency
	workers      *work.Pool
	table        atomic.Pointer[table]
	evacuations  evacuations
	cold         coldServers
	tableChanged chan struct{}
	fetching     atomic.Bool
	stopping     atomic.Bool
	stopped      chan struct{}
	stopOnce     sync.Once
	// grace ends when requests get their final answers during a graceful shutdown; graceEnd is that time, once the node only
	// finishes requests.
	grace    context.Context
	endGrace context.CancelFunc
	graceEnd atomic.Pointer[time.Time]
	ctx      context.Context
	servers  []server
	logged   loggedState
	// oddLog bounds the log lines about announcements and records that name no server to use.
	oddLog event.Limit
	// yieldLog bounds the log lines about connections of callers that yield.
	yieldLog event.Limit
	// usage is accessed by maintain only.
	usage usage
	// quotas holds this node's part of the tenants' quotas.
	quotas *quotas
}

// Build creates the node's components; call it once before Run.
func (n *Node) Build() {
	n.boot = uint64(time.Now().UnixMilli())
	n.stopped = make(chan struct{})
	n.grace, n.endGrace = context.WithCancel(context.Background())
	n.tableChanged = make(chan struct{}, 1)
	n.workers = &work.Pool{}
	n.currency = newCurrency(&n.Settings, n.LeaseClock)
	n.buildLimits()
	strays := &reqst.Strays{Log: n.Log, Stats: n.Stats, Clock: n.Clock}
	n.catalog = &catalog{
		limits: &n.answers, evacuated: n.evacuations.has, onDial: func() { n.Stats.Count("server_connections", "opened") }, onStray: strays.AnswerDiscarded, onRepeat: strays.RequestRepeated,
	}
	if s := n.Settings.Source; s != "" {
		n.catalog.source = &net.TCPAddr{IP: net.ParseIP(string(s))}
	}
	n.catalog.start()
	n.gossip = &gossip{
		settings: &n.Settings, clock: n.LeaseClock, onChange: n.membershipChanged, onDropped: n.recordsDropped, onTick: n.OnTick,
		knownFaults:    n.knownFaults,
		knownTrials:    n.knownTrials,
		faultSum:       func() uint64 { return n.forwarder.SuspectSum() },
		currentChanged: make(chan struct{}, 1),
	}
	if n.Certs == nil {
		n.Certs = &conn.Certs{EphemeralName: n.Settings.ID}
	}
	n.mesh = &conn.Mesh{
		Self: n.Settings.ID, Listen: n.Settings.linkAddress(n.Settings.bind()), Certs: n.Certs,
		OnAuthFailure: func(err error) { event.PeerRefused.Log(n.Log, err, nil) },
	}
	n.raft = &conn.Sender{Mesh: n.mesh, Kind: kindRaft, Resolve: n.peer}
	n.quotas = newQuotas(n)
	n.quotas.Proven = n.ProofHeld
	n.mesh.Handlers = map[conn.Kind]conn.Handler{
		kindRaft:    conn.Receive(n.deliver),
		kindControl: n.serveControl,
		kindTable:   n.serveTable,
		kindRelay:   n.serveRelay,
		kindProof:   n.serveProof,
		kindQuota:   n.quotas.serve,
		kindZones:   n.serveZones,
	}
	n.forwarder = &reqst.Forwarder{
		Clock: n.Clock, Log: n.Log, Names: n.Names, Routes: n.servedRoutes, Directory: n.catalog, Workers: n.workers, Stats: n.Stats,
		Board:  &pace.Board{Zone: n.Settings.Zone, Limit: n.connLimit},
		Budget: n.Settings.Budget, Share: func() float64 { return n.gossip.counts().share() }, ServerDied: n.serverDied, RoutesRecent: n.routesRecent,
		Self: n.Settings.ID, LimitShare: n.limitShare, Notify: n.sendNotice, RelayPeers: n.relayPeers, RelayTo: n.relayTo,
		TrialNode: n.trialNode, TrialEnded: n.trialEnded, GraceLeft: n.graceLeft, Proof: n.currency, Quota: n.quotas, Selection: selection{n},
	}
}

// heldBytesDivisor divides the process's memory limit to get the maximum of its Budget: a body that
// grows is copied, and the collector frees the copies later.
const heldBytesDivisor = 8

func (n *Node) buildLimits() {
	s := &n.Settings
	held := s.HeldBytes
	if most := s.MemoryBytes / heldBytesDivisor; most > 0 && (held == 0 || most < held) {
		held = most
	}
	n.budget = &conn.Budget{Limit: held}
	n.answers = s.Answers
	if n.answers == (conn.AnswerLimits{}) {
		n.answers = conn.DefaultAnswerLimits()
	}
	n.answers.Budget = n.budget
	n.buildCallers()
}

// connLimit returns this node's share of the connections that a server allows.
func (n *Node) connLimit(id tier.ServerID) int {
	t := n.Routes()
	if t == nil {
		return 1
	}
	b := t.Backend(n.catalog.service(id))
	if b == nil || b.Conns == 0 {
		return defaultMaxConns
	}
	return n.gossip.counts().conns(b.Conns)
}

// defaultMaxConns is the limit of connections to a server if the operator has set none.
const defaultMaxConns = 16

func (n *Node) deliver(_ tier.NodeID, b []byte) {
	if r := n.replica.Load(); r != nil {
		r.Deliver(b)
	}
}

// membershipChanged applies membership changes. It is called with the membership lock held.
func (n *Node) membershipChanged(eff spread.Effects) {
	if len(eff.Servers) > 0 {
		list := n.withoutOdd(eff.Servers)
		n.serversWarm(list)
		n.catalog.update(list)
		n.watchServers(list)
		n.serversChanged(eff.Servers)
	}
	if eff.Hosts {
		n.hostsChanged(n.gossip.list())
	}
	for _, f := range eff.Faults {
		n.learnFault(f)
	}
	for _, t := range eff.Trials {
		n.forwarder.LearnTrial(reqst.Trial{Fingerprint: t.Fingerprint, ID: t.ID, Age: t.AgeMs.Duration(), Answered: t.Answered})
	}
	for _, t := range eff.Notices {
		n.forwarder.ReceiveNotice(t)
	}
	if eff.NewerRoutesPeer != "" {
		n.fetchRoutes(n.ctx, eff.NewerRoutesPeer)
	}
	if eff.NewerEvacuationsPeer != "" {
		n.fetchEvacuations(n.ctx, eff.NewerEvacuationsPeer)
	}
}

// sendNotice tells the fleet what a server stated to this node.
func (n *Node) sendNotice(t terms.Notice) {
	n.workers.Go(func() {
		n.gossip.withState(func(now time.Duration, s *spread.State) { s.SendNotice(now, t) })
	})
}

// limitShare returns this node's share of the limit that a server names.
func (n *Node) limitShare(id tier.ServerID) float64 {
	return n.gossip.limitShares().share(n.catalog.zone(id))
}

// Run serves until ctx ends, which stops the node immediately, or until Stop was called and the
// node has drained. The actors run alongside it.
func (n *Node) Run(ctx context.Context, actors ...func(context.Context) error) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.ctx = base
	n.workers.Start(base)
	n.forwarder.Start(base)
	if err := n.mesh.Certs.Load(); err != nil {
		return err
	}
	if err := n.mesh.Start(base); err != nil {
		return err
	}
	s := &n.Settings
	self := spread.Host{ID: s.ID, Boot: n.boot, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Control: s.Control, Cores: s.Cores, Mbits: s.Mbits}
	if err := n.gossip.start(self, leaseIntervals*s.AnnounceInterval); err != nil {
		_ = n.mesh.Close()
		return err
	}
	var g run.Group
	work.Add(ctx, &g, n.drainOnStop)
	work.Add(base, &g, n.raft.Run)
	work.Add(base, &g, n.gossip.receive)
	work.Add(base, &g, n.gossip.tick)
	work.Add(base, &g, n.watchCurrent)
	n.loadCopies()
	work.Add(base, &g, n.runReplica)
	work.Add(base, &g, n.saveCopies)
	work.Add(base, &g, n.maintain)
	work.Add(base, &g, n.watchReach)
	work.Add(base, &g, n.watchProof)
	work.Add(base, &g, n.quotas.watch)
	for _, f := range actors {
		work.Add(base, &g, f)
	}
	for _, l := range n.Listeners {
		switch err := n.listen(&g, l); {
		case err != nil && l.Optional:
			event.ListenFailed.Log(n.Log, err, nil)
		case err != nil:
			_ = n.mesh.Close()
			return err
		}
	}
	n.logIgnoredSeeds(s.IgnoredSeeds)
	event.NodeStarted.Log(n.Log, nil, logrus.Fields{"node": s.ID, "name": s.Name, "zone": s.Zone, "boot": n.boot, "found": s.Bootstrap, "seeds": s.Seeds})
	err := g.Run()
	cancel()
	_ = n.mesh.Close()
	n.workers.Wait()
	event.NodeStopped.Log(n.Log, err, nil)
	return err
}

// server is the HTTP server of one interface.
type server struct {
	http     *http.Server
	listener *conn.DrainListener
}

func (n *Node) listen(g *run.Group, l Listener) error {
	use := n.useOf(l)
	sock, err := conn.Listen(l.Address, n.callerListener(use))
	if err != nil {
		return err
	}
	srv := n.httpServer(l.Handler)
	srv.ConnState = sock.ConnState
	if n.callers != nil {
		srv.Handler, srv.ConnContext = &guard{node: n, next: l.Handler, use: use}, conn.CallerContext
	}
	n.servers = append(n.servers, server{srv, sock})
	closing := make(chan struct{})
	g.Add(func() error {
		err := srv.Serve(sock)
		if errors.Is(err, http.ErrServerClosed) {
			<-closing
			return nil
		}
		return err
	}, func(error) {
		close(closing)
		_ = srv.Close()
	})
	return nil
}

// httpServer returns the server of one interface.
func (n *Node) httpServer(h http.Handler) *http.Server {
	lim := n.Settings.Limits
	srv := &http.Server{Handler: h, MaxHeaderBytes: lim.HeaderBytes, ReadHeaderTimeout: lim.HeaderTimeout, IdleTimeout: lim.IdleTimeout}
	if h != http.Handler(n) {
		// Servers and operators send short requests; readBody bounds those of callers.
		srv.ReadTimeout = lim.BodyTimeout
	}
	return srv
}

// maintain closes connections to servers that have been idle for too long, and publishes whether
// the node is busy.
func (n *Node) maintain(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for rounds := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.catalog.closeExpired(time.Now())
			n.cold.expire(n.Clock.Now())
			n.publishActive()
			if rounds++; rounds%forgetRounds == 0 {
				n.forwarder.ForgetGone()
			}
		}
	}
}

// publishActive publishes in this host's record whether callers send this node significant traffic.
func (n *Node) publishActive() {
	busy := n.usage.record(n.Clock.Now(), n.forwarder.Served())
	n.gossip.updateSelf(func(h *spread.Host) { h.Active = busy })
}

// publishReady publishes in this host's record whether the node serves callers.
func (n *Node) publishReady() {
	ready, unproven := n.Ready(), n.unproven()
	n.gossip.updateSelf(func(h *spread.Host) { h.Ready, h.Unproven = ready, unproven })
}

// watchCurrent publishes whether the node serves callers when its records become current or are no
// longer.
func (n *Node) watchCurrent(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.gossip.currentChanged:
			n.publishReady()
		}
	}
}

// servedRoutes returns the routing table for callers' requests, or nil while the node cannot know what
// was withdrawn: after a start from the copies on its disk, or a suspension.
func (n *Node) servedRoutes() *vers.Routes {
	if !n.gossip.current() {
		return nil
	}
	return n.Routes()
}

// Ready reports whether the node serves callers.
func (n *Node) Ready() bool {
	return n.table.Load() != nil && !n.stopping.Load() && n.gossip.current() && !n.unproven()
}

// Stopping reports whether the node is shutting down.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Announce records a server's announcement and returns the address for later ones, or "" if this
// node is stopping. If a server is leaving, Announce waits up to confirmTimeout for all hosts to
// acknowledge the change. It returns an error if the announcement names no server to use.
func (n *Node) Announce(ctx context.Context, r spread.Server) (string, error) {
	if err := r.Check(); err != nil {
		return "", err
	}
	changed := false
	n.gossip.withState(func(now time.Duration, s *spread.State) { changed = s.Announce(now, r) })
	if changed {
		event.ServerAnnounced.Log(n.Log, nil, logrus.Fields{"server": r.ID, "service": r.Service, "zone": r.Zone, "address": r.Address, "state": r.State, "born": r.Born, "seq": r.Seq})
	}
	if changed && r.State != spread.ServerReady {
		n.waitConfirmed(ctx)
	}
	if n.stopping.Load() {
		return "", nil
	}
	return n.Settings.Control, nil
}

// AnnouncementRefused logs and counts an announcement that names no server to use.
func (n *Node) AnnouncementRefused(remote string, id tier.ServerID, err error) {
	n.Stats.Count("announcements_refused", "content")
	if n.oddLog.Allow(n.Clock.Now()) {
		event.AnnouncementRefused.Log(n.Log, err, logrus.Fields{"remote": remote, "server": id.Short()})
	}
}

// Leave records that a server has shut down, and waits like Announce.
func (n *Node) Leave(ctx context.Context, id tier.ServerID) {
	known := false
	n.gossip.withState(func(now time.Duration, s *spread.State) { known = s.Leave(now, id) })
	if known {
		event.ServerLeaseEnded.Log(n.Log, nil, logrus.Fields{"server": id})
		n.waitConfirmed(ctx)
	}
}

// waitConfirmed waits up to confirmTimeout until all live hosts have acknowledged the latest
// changes.
func (n *Node) waitConfirmed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	t := time.NewTicker(confirmPollInterval)
	defer t.Stop()
	for n.gossip.unacknowledged() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
