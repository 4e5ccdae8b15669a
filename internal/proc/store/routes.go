package store

import (
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MaxRoutesHistory is the number of former routing tables that are remembered;
// a compressed table of 500 routes has about 10 kB.
const MaxRoutesHistory = 32

// RoutesDoc is a routing table as its operator sent it. Document is
// compressed and opaque here: the node that took it has checked it.
type RoutesDoc struct {
	Version  vers.RoutesVersion `cbor:"1,keyasint" json:"version"`
	Document []byte             `cbor:"2,keyasint" json:"-"`
	Author   tier.Operator      `cbor:"3,keyasint,omitempty" json:"author"`
	Reason   string             `cbor:"4,keyasint,omitempty" json:"reason"`
	AtMs     int64              `cbor:"5,keyasint" json:"at_ms"`
}

// RoutesResult tells which version is in force after a command; Taken says
// that the command's table is that one.
type RoutesResult struct {
	Version vers.RoutesVersion `json:"version" cbor:"1,keyasint"`
	Taken   bool               `json:"taken" cbor:"2,keyasint"`
}

// setRoutes puts a routing table in force if its version is higher than the
// present one; any other changes nothing, so that a table may be sent again.
func (s *Store) setRoutes(d RoutesDoc, nowMs int64) RoutesResult {
	if d.Version <= s.Routes().Version {
		return RoutesResult{Version: s.Routes().Version}
	}
	d.AtMs = nowMs
	s.routes = append(s.routes, d)
	if len(s.routes) > MaxRoutesHistory {
		s.routes = append([]RoutesDoc(nil), s.routes[len(s.routes)-MaxRoutesHistory:]...)
	}
	return RoutesResult{Version: d.Version, Taken: true}
}

// Routes returns the routing table in force; its version is 0 before the first.
func (s *Store) Routes() RoutesDoc {
	if len(s.routes) == 0 {
		return RoutesDoc{}
	}
	return s.routes[len(s.routes)-1]
}

// RoutesHistory returns the remembered routing tables, oldest first.
func (s *Store) RoutesHistory() []RoutesDoc { return s.routes }
