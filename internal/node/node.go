package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/admit"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/fleet"
	"sassafrasring.dev/sassafrasring/internal/proc/lease"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/score"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Version is the version of the node's software.
const Version = "0.1.0"

// leaseCheckInterval is how often the leases of servers are checked for expiry.
const leaseCheckInterval = 200 * time.Millisecond

// Node is one node of the tier. Set the exported fields, then call Build and Run.
// Lock order: changeMu, then mu, then the locks of the components.
type Node struct {
	// Settings are the node's settings, already validated.
	Settings setup.Settings
	// Log receives the events.
	Log *logrus.Logger
	// Clock is the source of time.
	Clock tier.Clock
	// Stats collects latencies and counters.
	Stats *stats.Registry
	// WrapConn, if not nil, wraps the socket used for links to other nodes.
	WrapConn func(net.PacketConn) net.PacketConn

	instance     tier.Instance
	mesh         *conn.Mesh
	leader       *leaderClient
	replica      *ctrl.Replica
	fleet        *fleet.Fleet
	owner        *conn.Owner
	engine       *reqst.Engine
	workers      *work.Pool
	raft         *conn.Sender
	greet        *conn.Sender
	wakeup       chan struct{}
	ready        chan struct{}
	web          *httpServer
	draining     atomic.Bool
	leaving      atomic.Bool
	drainStarted chan struct{}

	mu             sync.Mutex
	leases         lease.Table
	changedServers []roster.Server
	goneServers    []roster.Gone
	selfChanged    bool
	acked          roster.Stamp

	// changeMu serializes the propagation of membership changes; it is locked before mu.
	changeMu      sync.Mutex
	seenInstances map[tier.ServerID]tier.Instance
}

// Build creates the node's components; it must be called once before Run.
func (n *Node) Build() {
	n.instance = tier.Instance(rand.Uint64() | 1)
	n.wakeup = make(chan struct{}, 1)
	n.ready = make(chan struct{})
	n.drainStarted = make(chan struct{})
	n.leases.Start()
	n.seenInstances = map[tier.ServerID]tier.Instance{}
	n.workers = &work.Pool{}
	n.fleet = &fleet.Fleet{Self: n.Settings.Node, Zone: n.Settings.Zone, Clock: n.Clock}
	n.fleet.Start()
	n.buildMesh()
	n.buildControl()
	n.buildEngine()
	n.registerHandlers()
}

func (n *Node) isEntry() bool { return n.Settings.HasRole(setup.RoleEntry) }

func (n *Node) buildMesh() {
	t := n.Settings.TLS
	n.mesh = &conn.Mesh{
		Self:          n.Settings.Node,
		Listen:        n.Settings.Peers,
		Wrap:          n.WrapConn,
		Certs:         &conn.Certs{CA: t.CA, Cert: t.Cert, Key: t.Key},
		OnAuthFailure: func(err error) { event.PeerRefused.Log(n.Log, err, nil) },
	}
	n.raft = &conn.Sender{Mesh: n.mesh, Kind: conn.KindRaft, Resolve: n.controlPeer}
	n.greet = &conn.Sender{Mesh: n.mesh, Kind: conn.KindGreet, Resolve: n.controlPeer}
}

func (n *Node) controlPeer(id tier.NodeID) (conn.Peer, bool) {
	for _, p := range n.Settings.Control {
		if p.Node == id {
			return p, true
		}
	}
	return conn.Peer{}, false
}

func (n *Node) buildControl() {
	if n.Settings.HasRole(setup.RoleControl) {
		n.replica = &ctrl.Replica{
			Node: n.Settings.Node, Folder: &disk.Folder{Path: n.Settings.Data, Node: n.Settings.Node, Stats: n.Stats}, Peers: n.Settings.Control,
			Bootstrap: n.Settings.Bootstrap, Sender: n.raft, Greet: n.greet, Clock: n.Clock, Log: n.Log,
		}
		n.replica.Init()
	}
	n.leader = &leaderClient{self: n.Settings.Node, mesh: n.mesh, peers: n.Settings.Control, replica: n.replica}
}

func (n *Node) buildEngine() {
	limits := n.Settings.Answers.Limits()
	if limits == (conn.AnswerLimits{}) {
		limits = conn.DefaultAnswerLimits()
	}
	limits.Budget = &conn.Budget{Limit: n.Settings.Answers.HeldBytes}
	n.owner = &conn.Owner{
		Limits: limits,
		Clock:  n.Clock, MaySend: n.fleet.MaySend, Settings: n.serverSettings,
		Certs: n.serverCerts(), OnDeath: n.serverDied, OnSilent: n.serverSilent, OnRejected: n.answerRejected,
		OnStray: (&reqst.Strays{Log: n.Log, Stats: n.Stats, Clock: n.Clock}).AnswerDiscarded,
	}
	n.engine = &reqst.Engine{
		Self: n.Settings.Node, Instance: n.instance, Clock: n.Clock, Log: n.Log, Fleet: n.fleet, Owner: n.owner, Mesh: n.mesh,
		Propose: n.leader, Workers: n.workers, Stats: n.Stats,
		Board: &score.Board{Zone: n.Settings.Zone, Rand: rand.New(rand.NewPCG(uint64(n.instance), 1)), TwoChoices: n.useTwoChoices, MaxExcludedShare: n.ejectShare},
		Gate:  &admit.Gate{},
	}
	n.engine.Start()
}

// serverCerts returns the certificates for TLS to servers, or nil for plain HTTP.
func (n *Node) serverCerts() *conn.Certs {
	t := n.Settings.ServerTLS
	if t == (setup.TLS{}) {
		return nil
	}
	return &conn.Certs{CA: t.CA, Cert: t.Cert, Key: t.Key}
}

func (n *Node) useTwoChoices(s tier.Service) bool {
	return n.fleet.Config().Get(vers.KeySelect, vers.Service(s)) == vers.SelectTwoChoices
}

func (n *Node) ejectShare(s tier.Service) int64 {
	return n.fleet.Config().Get(vers.KeyEjectShare, vers.Service(s))
}

func (n *Node) serverSettings(s tier.Service, id tier.ServerID) conn.Settings {
	c := n.fleet.Config()
	return conn.Settings{
		MaxQueue:       int(c.Get(vers.KeyQueueLength, vers.Scope{Kind: vers.ScopeServer, Name: string(id)}, vers.Service(s))),
		SilenceTimeout: c.Millis(vers.KeySilence, vers.Service(s)),
		SlowStart:      c.Millis(vers.KeySlowStart, vers.Service(s)),
	}
}

func (n *Node) serverDied(d conn.Death) {
	event.ServerDied.Log(n.Log, nil, logrus.Fields{"server": d.Server.Server, "instance": d.Server.Instance, "requests": len(d.Fingerprints)})
	n.Stats.Count("server_deaths", string(d.Server.Service))
	n.workers.Go(func() { n.engine.Blame(d) })
}

func (n *Node) serverSilent(id tier.ServerID, r tier.RequestID) {
	event.ServerSilent.Log(n.Log, nil, logrus.Fields{"server": id, "request": r})
	n.Stats.Count("silent_connections", string(id))
}

func (n *Node) answerRejected(id tier.ServerID, r tier.RequestID, why tier.Reason) {
	event.AnswerRejected.Log(n.Log, nil, logrus.Fields{"server": id, "request": r, "reason": why})
	n.Stats.Count("answers_rejected", string(why))
}

func (n *Node) registerHandlers() {
	n.mesh.Handlers = map[conn.Kind]conn.Handler{
		conn.KindQuery: n.engine.ServeQuery,
		conn.KindWrite: n.engine.ServeWrite,
		conn.KindPeer:  n.servePeer,
	}
	if n.replica == nil {
		return
	}
	n.mesh.Handlers[conn.KindRaft] = conn.Receive(func(_ tier.NodeID, b []byte) { n.replica.Deliver(b) })
	n.mesh.Handlers[conn.KindGreet] = conn.Receive(n.replica.HandleGreeting)
	n.mesh.Handlers[conn.KindPropose] = n.leader.servePropose
	n.mesh.Handlers[conn.KindAdmin] = n.leader.serveAdmin
	n.mesh.Handlers[conn.KindWatch] = n.serveWatch
}

// Run serves until ctx ends, which stops the node without a drain, or until a drain
// started by Drain has ended.
func (n *Node) Run(ctx context.Context) error {
	if err := n.mesh.Certs.Load(); err != nil {
		return err
	}
	if c := n.owner.Certs; c != nil {
		if err := c.Load(); err != nil {
			return err
		}
	}
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.workers.Start(base)
	if err := n.mesh.Start(base); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		_ = n.mesh.Close()
		return err
	}
	s := &n.Settings
	event.NodeStarted.Log(n.Log, nil, logrus.Fields{"node": s.Node, "zone": s.Zone, "callers": s.Callers, "peers": s.Peers, "version": Version})
	var g run.Group
	work.Add(ctx, &g, n.runDrain)
	work.Add(base, &g, n.raft.Run)
	work.Add(base, &g, n.greet.Run)
	work.Add(base, &g, n.follow)
	work.Add(base, &g, n.watchPeers)
	work.Add(base, &g, n.watchLeases)
	work.Add(base, &g, n.runReplica)
	g.Add(n.web.serve, func(error) { n.web.close() })
	err := g.Run()
	cancel()
	_ = n.mesh.Close()
	n.workers.Wait()
	event.NodeStopped.Log(n.Log, err, nil)
	return err
}

// runReplica runs the control role. If its disk fails, only the role ends; the rest of
// the node keeps running.
func (n *Node) runReplica(ctx context.Context) error {
	if n.replica != nil {
		_ = n.replica.Run(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// updateReady marks the node as ready once it has a configuration and a membership.
func (n *Node) updateReady() {
	if n.isReady() || !n.fleet.Ready() {
		return
	}
	close(n.ready)
	event.NodeReady.Log(n.Log, nil, nil)
}

func (n *Node) isReady() bool {
	select {
	case <-n.ready:
		return true
	default:
		return false
	}
}

// Ready returns a channel that is closed once the node can serve callers.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// ConfigVersion returns the version of the configuration in force on this node.
func (n *Node) ConfigVersion() tier.ConfigVersion { return n.fleet.Config().Version }

// Servers returns the number of servers in the membership that the node knows.
func (n *Node) Servers() int { return len(n.fleet.Table().Servers) }
