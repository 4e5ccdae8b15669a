package reqst

import (
	"slices"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Stale reports whether the answer is incomplete because servers no longer hold the shards of
// the pinned snapshot, and a newer one may serve all. That holds beside shards whose connection
// or owner was lost, unless servers died.
func (p *Plan) Stale() bool {
	stale := false
	for i := range p.parts {
		pt := &p.parts[i]
		if pt.done {
			continue
		}
		switch pt.reason {
		case tier.ReasonVersion, tier.ReasonDraining:
			stale = true
		case tier.ReasonLost, tier.ReasonNoOwner:
		default:
			return false
		}
	}
	return stale && p.deaths == 0
}

// LayoutStatus compares a later layout of the service with a plan, for the shards that the
// plan could not get because the servers no longer held them.
type LayoutStatus uint8

// Values of LayoutStatus.
const (
	// LayoutNoServer means that there is no layout, or that one of the shards that the plan
	// could not get has no server at all.
	LayoutNoServer LayoutStatus = iota
	// LayoutUnchanged means that one of the shards that the plan could not get still
	// has only servers that have refused it.
	LayoutUnchanged
	// LayoutMoved means that the snapshot differs, or that each of the shards that the
	// plan could not get has a server that the plan has not tried.
	LayoutMoved
)

// CompareLayout compares the current layout with a stale plan.
func (p *Plan) CompareLayout(l *vers.Layout) LayoutStatus {
	if l == nil {
		return LayoutNoServer
	}
	if l.Snapshot != p.Layout.Snapshot {
		return LayoutMoved
	}
	s := LayoutMoved
	for i := range p.parts {
		if pt := &p.parts[i]; !pt.done {
			s = min(s, shardStatus(l.Shards[i], pt.tried))
		}
	}
	return s
}

func shardStatus(list []tier.Candidate, tried []tier.ServerID) LayoutStatus {
	if len(list) == 0 {
		return LayoutNoServer
	}
	for _, c := range list {
		if !slices.Contains(tried, c.Server) {
			return LayoutMoved
		}
	}
	return LayoutUnchanged
}
