// Package evac holds operators' orders to evacuate zones: the set of evacuated zones, which is replaced as a whole and
// ordered by its version, and the effect of one order on it. It does no I/O.
package evac

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Version orders the sets of evacuated zones. 0 is the empty set of a fleet that has never had an order.
type Version uint64

// MaxZones bounds the number of evacuated zones, far above the number of zones of a fleet.
const MaxZones = 1024

// Entry is an evacuated zone.
type Entry struct {
	Zone   tier.Zone     `cbor:"1,keyasint" json:"zone"`
	Author tier.Operator `cbor:"2,keyasint,omitempty" json:"author"`
	Reason string        `cbor:"3,keyasint,omitempty" json:"reason"`
	AtMs   int64         `cbor:"4,keyasint,omitempty" json:"at_ms"`
}

// Set is all evacuated zones, sorted by name. A set is complete: a replica that lacks former sets, because its state came
// from a build that did not know them, is right again with the next one.
type Set struct {
	Version Version `cbor:"1,keyasint" json:"version"`
	Zones   []Entry `cbor:"2,keyasint,omitempty" json:"zones"`
}

// Order evacuates a zone, or ends its evacuation if Restore is set.
type Order struct {
	Zone    tier.Zone     `cbor:"1,keyasint"`
	Restore bool          `cbor:"2,keyasint,omitempty"`
	Author  tier.Operator `cbor:"3,keyasint,omitempty"`
	Reason  string        `cbor:"4,keyasint,omitempty"`
}

// Check reports why an order cannot be carried out.
func (o *Order) Check() error {
	if o.Zone == "" {
		return errors.New("zone: a name is required")
	}
	return o.Zone.Check()
}

// Has reports whether a zone is evacuated.
func (s *Set) Has(z tier.Zone) bool {
	_, found := s.find(z)
	return found
}

func (s *Set) find(z tier.Zone) (int, bool) {
	return slices.BinarySearchFunc(s.Zones, z, func(e Entry, z tier.Zone) int { return strings.Compare(string(e.Zone), string(z)) })
}

// Refusal says why an order cannot be carried out on the set; it is empty if it can.
func (s *Set) Refusal(o Order) string {
	if !o.Restore && !s.Has(o.Zone) && len(s.Zones) >= MaxZones {
		return fmt.Sprintf("at most %d zones can be evacuated", MaxZones)
	}
	return ""
}

// With returns the set after an order. changed is false if the set is already as ordered; it then keeps its version and the
// first author.
func (s *Set) With(o Order, nowMs int64) (next Set, changed bool) {
	i, found := s.find(o.Zone)
	if found != o.Restore {
		return *s, false
	}
	next = Set{Version: s.Version + 1, Zones: slices.Clone(s.Zones)}
	if o.Restore {
		next.Zones = slices.Delete(next.Zones, i, i+1)
	} else {
		next.Zones = slices.Insert(next.Zones, i, Entry{Zone: o.Zone, Author: o.Author, Reason: o.Reason, AtMs: nowMs})
	}
	return next, true
}

// Names returns the names of the evacuated zones.
func (s *Set) Names() []tier.Zone {
	out := make([]tier.Zone, 0, len(s.Zones))
	for _, e := range s.Zones {
		out = append(out, e.Zone)
	}
	return out
}
