package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// kindZones is the kind of streams on which a node asks a peer for the set of evacuated zones.
const kindZones conn.Kind = "zones"

// zonesRequest asks a peer for its set of evacuated zones if that is newer than Have.
type zonesRequest struct {
	Have evac.Version `cbor:"1,keyasint"`
}

// ErrInvalidEvacuation means that an operator's order was refused because of its content.
var ErrInvalidEvacuation = errors.New("order is invalid")

// errOlderLeader means that the leader's build does not know evacuations.
var errOlderLeader = errors.New("the control leader runs a build without evacuations")

// evacuations is the set of evacuated zones in force at this node.
type evacuations struct {
	set      atomic.Pointer[evac.Set]
	fetching atomic.Bool
}

// get returns the set in force; it must not be changed.
func (e *evacuations) get() evac.Set {
	if p := e.set.Load(); p != nil {
		return *p
	}
	return evac.Set{}
}

// has reports whether a zone is evacuated. It is called for every choice of a server.
func (e *evacuations) has(z tier.Zone) bool {
	p := e.set.Load()
	return p != nil && len(p.Zones) > 0 && p.Has(z)
}

// any reports whether any zone is evacuated.
func (e *evacuations) any() bool {
	p := e.set.Load()
	return p != nil && len(p.Zones) > 0
}

// replace puts a set in force unless the current one is as new.
func (e *evacuations) replace(next *evac.Set) bool {
	for {
		old := e.set.Load()
		if (old == nil && next.Version == 0) || (old != nil && old.Version >= next.Version) {
			return false
		}
		if e.set.CompareAndSwap(old, next) {
			return true
		}
	}
}

// installEvacuations puts a committed set of evacuated zones in force if it is newer.
func (n *Node) installEvacuations(set evac.Set) {
	if !n.evacuations.replace(&set) {
		return
	}
	n.catalog.publishAll()
	event.EvacuationsInForce.Log(n.Log, nil, logrus.Fields{"version": set.Version, "zones": set.Names()})
	select {
	case n.tableChanged <- struct{}{}:
	default:
	}
	n.gossip.withState(func(now time.Duration, s *spread.State) { s.SetEvacuations(now, set.Version) })
	n.publishReady()
}

// OrderEvacuation commits an operator's order on a majority and returns the set of evacuated zones afterwards. An order that
// is already carried out changes nothing, so that it may be sent again, to any node.
func (n *Node) OrderEvacuation(ctx context.Context, o evac.Order) (evac.Set, error) {
	if err := o.Check(); err != nil {
		return evac.Set{}, errors.Wrap(ErrInvalidEvacuation, err.Error())
	}
	if !o.Restore && !n.zoneNamed(o.Zone) {
		if !n.gossip.current() {
			return evac.Set{}, errors.Errorf("zone %q: this node does not know the fleet yet", o.Zone)
		}
		return evac.Set{}, errors.Wrapf(ErrInvalidEvacuation, "zone %q: no host and no server names it", o.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, opsTimeout)
	defer cancel()
	rep, err := n.callLeader(ctx, controlRequest{Evacuate: &o})
	switch {
	case err != nil:
		return evac.Set{}, err
	case rep.Refused != "":
		return evac.Set{}, errors.Wrap(ErrInvalidEvacuation, rep.Refused)
	case rep.Evacuations == nil:
		return evac.Set{}, errOlderLeader
	}
	n.installEvacuations(*rep.Evacuations)
	return *rep.Evacuations, nil
}

// EvacuationStatus returns the HTTP status for an order that was not carried out: 400 if its content is invalid, 503 if it may
// or may not have been committed.
func EvacuationStatus(err error) int {
	if errors.Is(err, ErrInvalidEvacuation) {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// zoneNamed reports whether this node's settings, a host, a server or a former order names a zone.
func (n *Node) zoneNamed(z tier.Zone) (named bool) {
	if z == n.Settings.Zone || n.evacuations.has(z) {
		return true
	}
	n.gossip.withState(func(_ time.Duration, s *spread.State) { named = s.NamesZone(z) })
	return named
}

// readEvacuations returns the committed set of evacuated zones; a quorum has confirmed that it is the latest.
func (n *Node) readEvacuations(ctx context.Context) (evac.Set, error) {
	rep, err := n.callLeader(ctx, controlRequest{Evacuations: true})
	if err != nil {
		return evac.Set{}, err
	}
	if rep.Evacuations == nil {
		return evac.Set{}, errOlderLeader
	}
	return *rep.Evacuations, nil
}

// executeEvacuation carries out an order at the leader's replica, or only reads the set of evacuated zones if there is none. A
// set that is in force was committed, so a state that lacks the one in force here is damaged: it came from a snapshot of a
// build that does not know evacuations. The set is then committed once more.
func (n *Node) executeEvacuation(ctx context.Context, r *ctrl.Replica, o *evac.Order) (rep controlReply, err error) {
	if !n.gossip.current() {
		return rep, errNotCurrent
	}
	for {
		inForce := n.evacuations.get()
		var held evac.Set
		if err := r.Read(ctx, func(s *store.Store) { held = s.Evacuations() }); err != nil {
			return rep, err
		}
		next := held
		if inForce.Version > held.Version {
			event.EvacuationRestored.Log(n.Log, nil, logrus.Fields{"version": inForce.Version, "held": held.Version})
			next = inForce
		}
		if o != nil {
			if why := next.Refusal(*o); why != "" {
				return controlReply{Refused: why}, nil
			}
			next, _ = next.With(*o, time.Now().UnixMilli())
		}
		if next.Version == held.Version {
			return controlReply{Evacuations: &next}, nil
		}
		res, err := r.Propose(ctx, store.Command{Evacuations: &next})
		if err != nil {
			return rep, err
		}
		if res.Evacuations != nil && res.Evacuations.Accepted {
			return controlReply{Evacuations: &next}, nil
		}
		if ctx.Err() != nil {
			return rep, ctx.Err()
		}
	}
}

// fetchEvacuations fetches a peer's set of evacuated zones and puts it in force if it is newer. Only one fetch runs at a time.
func (n *Node) fetchEvacuations(ctx context.Context, from tier.NodeID) {
	if !n.evacuations.fetching.CompareAndSwap(false, true) {
		return
	}
	n.workers.Go(func() {
		defer n.evacuations.fetching.Store(false)
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		p, _ := n.peer(from)
		var set evac.Set
		if err := n.mesh.Call(ctx, p, kindZones, zonesRequest{Have: n.evacuations.get().Version}, &set); err != nil {
			event.EvacuationNotKnown.Log(n.Log, err, logrus.Fields{"peer": from})
			return
		}
		n.installEvacuations(set)
	})
}

func (n *Node) serveZones(_ context.Context, s *conn.Stream) {
	var w zonesRequest
	if s.Recv(&w) != nil {
		return
	}
	set := n.evacuations.get()
	if set.Version <= w.Have {
		set = evac.Set{}
	}
	_ = s.Send(set)
}
