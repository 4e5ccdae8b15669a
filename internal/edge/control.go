package edge

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// attemptTimeout bounds one attempt to reach the leader: two round trips and several slow syncs
	// of a healthy disk.
	attemptTimeout = 700 * time.Millisecond
	// minRetryBackoff is the first wait between attempts; it doubles up to maxRetryBackoff.
	minRetryBackoff = 30 * time.Millisecond
	maxRetryBackoff = 250 * time.Millisecond
	// reopenDelay is the wait before a replica whose disk failed is reopened.
	reopenDelay = 500 * time.Millisecond
	// maxDocumentBytes bounds the size of a routing table.
	maxDocumentBytes = 16 << 20
	// compactAfter is the number of log entries after which a snapshot is created: with routing
	// tables of 12 kB the log stays at about 3 MB.
	compactAfter = 256
)

// errNotCurrent means that the leader's host has just started or was suspended, and does not know yet which routing table is
// in force.
var errNotCurrent = errors.New("the leader does not know yet which routing table is in force")

// controlRequest is a node's request to a control replica. Without any field set it reads the
// current routing table.
type controlRequest struct {
	// Apply is a routing table to commit.
	Apply *store.RoutesDoc `cbor:"1,keyasint,omitempty"`
	// History requests the former routing tables too.
	History bool `cbor:"2,keyasint,omitempty"`
	// Status requests the state of the replica.
	Status bool `cbor:"3,keyasint,omitempty"`
	// Evacuate is an operator's order to commit, Evacuations requests the set of evacuated zones.
	Evacuate    *evac.Order `cbor:"10,keyasint,omitempty"`
	Evacuations bool        `cbor:"11,keyasint,omitempty"`
}

// controlReply answers a controlRequest. If the replica is not the leader, Error is set and Leader
// names the leader if it is known.
type controlReply struct {
	Error   string             `cbor:"1,keyasint,omitempty"`
	Leader  tier.NodeID        `cbor:"2,keyasint,omitempty"`
	Doc     store.RoutesDoc    `cbor:"3,keyasint"`
	History []store.RoutesDoc  `cbor:"4,keyasint,omitempty"`
	Version vers.RoutesVersion `cbor:"5,keyasint"`
	Status  *ctrl.Status       `cbor:"6,keyasint,omitempty"`
	// Evacuations is the committed set of evacuated zones; Refused says why an order cannot be carried out.
	Evacuations *evac.Set `cbor:"10,keyasint,omitempty"`
	Refused     string    `cbor:"11,keyasint,omitempty"`
}

// tableRequest asks a peer for its routing table if that is newer than Have.
type tableRequest struct {
	Have vers.RoutesVersion `cbor:"1,keyasint"`
}

// Stream kinds of edge nodes.
const (
	kindRaft    conn.Kind = "raft"
	kindControl conn.Kind = "question"
	kindTable   conn.Kind = "table"
)

// compress deflates a document.
func compress(doc []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(doc); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

func decompress(b []byte) ([]byte, error) {
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxDocumentBytes+1))
	if err == nil && len(doc) > maxDocumentBytes {
		err = errors.New("document is too long")
	}
	return doc, err
}

// dataFolder returns the data folder of this host's replica, or "" if it holds none. A founder
// without a disk gets a temporary one for the lifetime of the process.
func (n *Node) dataFolder() (string, error) {
	if n.Settings.Data != "" || !n.isFounder() {
		return n.Settings.Data, nil
	}
	path, err := os.MkdirTemp(n.Settings.Scratch, "replica")
	return path, tier.At("make scratch folder", n.Settings.Scratch, err)
}

// isFounder reports whether this node is a founder of the control group: a seed at the first start
// of the fleet.
func (n *Node) isFounder() bool {
	if !n.Settings.Bootstrap {
		return false
	}
	for _, id := range n.Settings.Seeds {
		if id == n.Settings.ID {
			return true
		}
	}
	return false
}

// runReplica runs a control replica until ctx ends. If its disk fails, the replica is reopened from
// the state on disk.
func (n *Node) runReplica(ctx context.Context) error {
	path, err := n.dataFolder()
	if err != nil {
		return err
	}
	for path != "" && ctx.Err() == nil {
		r := n.newReplica(path)
		r.Init()
		n.replica.Store(r)
		go n.announceReplica(ctx, r)
		err := r.Run(ctx)
		n.replica.Store(nil)
		if ctx.Err() != nil {
			break
		}
		event.ReplicaReopening.Log(n.Log, err, nil)
		select {
		case <-time.After(reopenDelay):
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *Node) newReplica(path string) *ctrl.Replica {
	s := &n.Settings
	r := &ctrl.Replica{
		Node: s.ID, Folder: &disk.Folder{Path: path, Node: s.ID, Founder: n.isFounder(), OpenLog: n.openLog, Stats: n.Stats},
		Sender: n.raft, Clock: n.LeaseClock, Log: n.Log, CompactAfter: compactAfter, Ready: make(chan struct{}),
		Hosts: n.replicaHosts, Tolerance: s.Tolerance, NoHub: true, RoutesChanged: n.installRoutes, MembersChanged: n.quotas.membersChanged,
		EvacuationsChanged: n.installEvacuations,
	}
	if n.isFounder() {
		r.InitialVoters = s.Seeds
	}
	return r
}

// announceReplica publishes the replica in this host's record once its identity is known.
func (n *Node) announceReplica(ctx context.Context, r *ctrl.Replica) {
	select {
	case <-r.Ready:
	case <-ctx.Done():
		return
	}
	id := r.Folder.ID()
	n.gossip.updateSelf(func(h *spread.Host) { h.Replica, h.Disk = id, n.Settings.Data != "" })
}

// replicaHosts lists the live hosts that hold a replica.
func (n *Node) replicaHosts() []quorum.Host {
	var out []quorum.Host
	for _, h := range n.gossip.list() {
		if h.Replica != "" && h.State == spread.HostUp {
			out = append(out, quorum.Host{Replica: h.Replica, Disk: h.Disk})
		}
	}
	return out
}

func (n *Node) peer(id tier.NodeID) (conn.Peer, bool) {
	return conn.Peer{Node: id, Address: n.Settings.linkAddress(id)}, true
}

// callLeader sends a request to the leader of the control group, and retries until it succeeds or
// ctx ends.
func (n *Node) callLeader(ctx context.Context, q controlRequest) (controlReply, error) {
	for pause := minRetryBackoff; ; pause = min(2*pause, maxRetryBackoff) {
		id := n.likelyLeader()
		rep, err := n.callNode(ctx, id, q)
		if err == nil && rep.Error == "" {
			n.leaderHint.Store(&id)
			n.controlReached(true, id, nil)
			return rep, nil
		}
		n.leaderHint.Store(nil)
		if err == nil && rep.Leader != "" && rep.Leader != id {
			n.leaderHint.Store(&rep.Leader)
		}
		if err == nil {
			err = errors.New(rep.Error)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			n.controlReached(false, "", err)
			return controlReply{}, tier.At("reach control leader", string(id), errors.Wrap(tier.ErrNoControl, err.Error()))
		}
	}
}

// likelyLeader returns the last known leader, or a random host that holds a replica.
func (n *Node) likelyLeader() tier.NodeID {
	if p := n.leaderHint.Load(); p != nil {
		return *p
	}
	var ids []tier.NodeID
	for _, h := range n.gossip.list() {
		if h.Replica != "" && h.State != spread.HostDown {
			ids = append(ids, h.ID)
		}
	}
	if len(ids) == 0 {
		ids = n.Settings.Seeds
	}
	if len(ids) == 0 {
		return n.Settings.ID
	}
	return ids[rand.IntN(len(ids))]
}

func (n *Node) callNode(ctx context.Context, id tier.NodeID, q controlRequest) (controlReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if id == n.Settings.ID {
		return n.handleControl(ctx, q), nil
	}
	p, _ := n.peer(id)
	var rep controlReply
	err := n.mesh.Call(ctx, p, kindControl, q, &rep)
	return rep, err
}

func (n *Node) serveControl(ctx context.Context, s *conn.Stream) {
	var q controlRequest
	if s.Recv(&q) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_ = s.Send(n.handleControl(ctx, q))
}

// handleControl executes a request if this host's replica is the leader; otherwise the reply names
// the leader.
func (n *Node) handleControl(ctx context.Context, q controlRequest) controlReply {
	r := n.replica.Load()
	if r == nil {
		return controlReply{Error: tier.ErrNotLeader.Error()}
	}
	rep, err := n.executeControl(ctx, r, q)
	if err != nil {
		rep.Error = err.Error()
		rep.Leader = r.Leader(ctx)
	}
	return rep
}

func (n *Node) executeControl(ctx context.Context, r *ctrl.Replica, q controlRequest) (rep controlReply, err error) {
	if q.Apply != nil {
		rep.Version, err = proposeRoutes(ctx, r, q.Apply)
		return rep, err
	}
	if q.Evacuate != nil || q.Evacuations {
		return n.executeEvacuation(ctx, r, q.Evacuate)
	}
	if !q.Status {
		return n.readControl(ctx, r, q.History)
	}
	if err := r.Read(ctx, func(*store.Store) {}); err != nil {
		return rep, err
	}
	st, err := r.Status(ctx)
	rep.Status = &st
	return rep, err
}

// proposeRoutes commits a routing table and returns the version in use afterwards.
func proposeRoutes(ctx context.Context, r *ctrl.Replica, d *store.RoutesDoc) (vers.RoutesVersion, error) {
	res, err := r.Propose(ctx, store.Command{Routes: d})
	if err != nil {
		return 0, err
	}
	if res.Routes == nil {
		return 0, tier.ErrNotLeader
	}
	return res.Routes.Version, nil
}

// readControl reads the routing table from the leader's state. A table that is in force was committed, so a state that
// lacks the one in force here is damaged: it came from a snapshot of an earlier build that did not hold all that its index
// covered. The table is then committed once more.
func (n *Node) readControl(ctx context.Context, r *ctrl.Replica, history bool) (controlReply, error) {
	if !n.gossip.current() {
		return controlReply{}, errNotCurrent
	}
	for {
		known := n.table.Load()
		var rep controlReply
		err := r.Read(ctx, func(s *store.Store) {
			rep.Doc = s.Routes()
			rep.Version = rep.Doc.Version
			if history {
				rep.History = append(rep.History, s.RoutesHistory()...)
			}
		})
		if err != nil || known == nil || known.doc.Version <= rep.Version {
			return rep, err
		}
		event.RoutesRestored.Log(n.Log, nil, logrus.Fields{"version": known.doc.Version, "held": rep.Version})
		n.Stats.Count("routes_restored", "")
		if _, err := proposeRoutes(ctx, r, &known.doc); err != nil {
			return controlReply{}, err
		}
	}
}

// fetchRoutes fetches a peer's routing table and installs it if it is newer. Only one fetch runs at
// a time.
func (n *Node) fetchRoutes(ctx context.Context, from tier.NodeID) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	n.workers.Go(func() {
		defer n.fetching.Store(false)
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		p, _ := n.peer(from)
		var d store.RoutesDoc
		if err := n.mesh.Call(ctx, p, kindTable, tableRequest{Have: n.routesVersion()}, &d); err != nil {
			event.RoutesFetchFailed.Log(n.Log, err, nil)
			return
		}
		if d.Version > 0 {
			n.installRoutes(d)
		}
	})
}

func (n *Node) serveTable(_ context.Context, s *conn.Stream) {
	var w tableRequest
	if s.Recv(&w) != nil {
		return
	}
	var d store.RoutesDoc
	if t := n.table.Load(); t != nil && t.doc.Version > w.Have {
		d = t.doc
	}
	_ = s.Send(d)
}
