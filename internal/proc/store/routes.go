package store

import (
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// MaxRoutesHistory is the number of routing tables kept, including the current one. A compressed table of 500 routes
// has about 10 kB.
const MaxRoutesHistory = 32

// RoutesDoc is a routing table as the operator sent it. Document is compressed and opaque to this package: the node
// that received it has validated it.
type RoutesDoc struct {
	Version  vers.RoutesVersion `cbor:"1,keyasint" json:"version"`
	Document []byte             `cbor:"2,keyasint" json:"-"`
	Author   tier.Operator      `cbor:"3,keyasint,omitempty" json:"author"`
	Reason   string             `cbor:"4,keyasint,omitempty" json:"reason"`
	AtMs     int64              `cbor:"5,keyasint" json:"at_ms"`
}

// RoutesResult is the outcome of a routing table command. Version is the version in use after the command; Accepted
// reports whether the command's table was installed.
type RoutesResult struct {
	Version  vers.RoutesVersion `json:"version" cbor:"1,keyasint"`
	Accepted bool               `json:"taken" cbor:"2,keyasint"`
}

// setRoutes installs a routing table if its version is higher than the current one. Otherwise it changes nothing, so
// that a table may be sent more than once.
func (s *Store) setRoutes(d RoutesDoc, nowMs int64) RoutesResult {
	if d.Version <= s.Routes().Version {
		return RoutesResult{Version: s.Routes().Version}
	}
	d.AtMs = nowMs
	s.routes = append(s.routes, d)
	if len(s.routes) > MaxRoutesHistory {
		s.routes = append([]RoutesDoc(nil), s.routes[len(s.routes)-MaxRoutesHistory:]...)
	}
	return RoutesResult{Version: d.Version, Accepted: true}
}

// Routes returns the current routing table; its version is 0 if none has been set.
func (s *Store) Routes() RoutesDoc {
	if len(s.routes) == 0 {
		return RoutesDoc{}
	}
	return s.routes[len(s.routes)-1]
}

// RoutesHistory returns the routing tables kept, oldest first. The last one is the current table.
func (s *Store) RoutesHistory() []RoutesDoc { return s.routes }
