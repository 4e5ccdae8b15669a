package store

import "sassafrasring.dev/sassafrasring/internal/proc/evac"

// EvacuationResult is the outcome of a command with a set of evacuated zones. Version is the version in use after the command;
// Accepted reports whether the command's set was installed.
type EvacuationResult struct {
	Version  evac.Version `cbor:"1,keyasint"`
	Accepted bool         `cbor:"2,keyasint"`
}

// setEvacuations replaces the set of evacuated zones if the new one has a higher version. Of two that were derived from the
// same set, the first wins.
func (s *Store) setEvacuations(e evac.Set) EvacuationResult {
	if e.Version <= s.evacuations.Version {
		return EvacuationResult{Version: s.evacuations.Version}
	}
	s.evacuations = e
	return EvacuationResult{Version: e.Version, Accepted: true}
}

// Evacuations returns the set of evacuated zones.
func (s *Store) Evacuations() evac.Set { return s.evacuations }
