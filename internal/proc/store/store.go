package store

import (
	"sort"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Maximum numbers of change IDs, configuration versions and suspects that are kept.
const (
	MaxChangeIDs = 8192
	MaxHistory   = 256
	MaxSuspects  = 4096
)

// HistoryEntry is a configuration version in the history.
type HistoryEntry struct {
	Config *vers.Config  `json:"config" cbor:"1,keyasint"`
	Author tier.Operator `json:"author" cbor:"2,keyasint"`
	Reason string        `json:"reason" cbor:"3,keyasint"`
	AtMs   int64         `json:"at_ms" cbor:"4,keyasint"`
}

// changeRecord is the outcome of a configuration change, kept so that a repeated change gets the same result.
type changeRecord struct {
	ID     tier.ChangeID `cbor:"1,keyasint"`
	Result ChangeResult  `cbor:"2,keyasint"`
}

// Unsafe disables single safety mechanisms of a store, for traces that show what they prevent.
type Unsafe struct {
	// AnyBase accepts changes regardless of the version that they are based on.
	AnyBase bool
	// ForgetChanges evaluates a repeated change again instead of returning its first result.
	ForgetChanges bool
	// ForgetClaims grants every claim.
	ForgetClaims bool
	// OverwriteRecords lets any recorded outcome be replaced by any other.
	OverwriteRecords bool
	// IgnoreDeaths ignores reported server deaths.
	IgnoreDeaths bool
	// NoTombstones leaves no tombstone when a claim is removed.
	NoTombstones bool
}

// Store is the replicated state. It is not safe for concurrent use.
type Store struct {
	// Unsafe is the zero value except in traces.
	Unsafe Unsafe

	config      *vers.Config
	history     []HistoryEntry
	changes     []changeRecord
	changeIndex map[tier.ChangeID]int
	claims      claimTable
	poison      poisonTable
	routes      []RoutesDoc
	evacuations evac.Set
}

// New returns an empty store at configuration version 0.
func New() *Store {
	return &Store{
		config:      &vers.Config{},
		changeIndex: map[tier.ChangeID]int{},
		claims:      newClaimTable(),
		poison:      newPoisonTable(),
	}
}

// Config returns the current configuration.
func (s *Store) Config() *vers.Config { return s.config }

// History returns the configuration versions kept, oldest first.
func (s *Store) History() []HistoryEntry { return s.history }

// Apply applies a command and returns its result.
func (s *Store) Apply(c Command) Result {
	switch {
	case c.Change != nil:
		r := s.change(*c.Change, c.NowMs)
		return Result{Change: &r}
	case c.Claim != nil:
		if s.Unsafe.ForgetClaims {
			return Result{Claim: &ClaimResult{Status: ClaimGranted}}
		}
		r := s.claims.claim(*c.Claim, c.NowMs)
		return Result{Claim: &r}
	case c.Record != nil:
		s.claims.record(*c.Record, c.NowMs, s.Unsafe.OverwriteRecords)
	case c.DeathReport != nil && !s.Unsafe.IgnoreDeaths:
		s.poison.recordDeath(*c.DeathReport, s.config, c.NowMs)
	case c.Clear != nil:
		s.poison.clear(c.Clear.Fingerprint)
	case c.Routes != nil:
		r := s.setRoutes(*c.Routes, c.NowMs)
		return Result{Routes: &r}
	case c.Evacuations != nil:
		r := s.setEvacuations(*c.Evacuations)
		return Result{Evacuations: &r}
	case c.Sweep != nil:
		s.sweep(c.NowMs)
	}
	return Result{}
}

func (s *Store) change(ch vers.Change, nowMs int64) ChangeResult {
	if i, ok := s.changeIndex[ch.ID]; ok && !s.Unsafe.ForgetChanges {
		return s.changes[i].Result
	}
	r := s.evaluate(ch, nowMs)
	s.recordChange(ch.ID, r)
	return r
}

func (s *Store) evaluate(ch vers.Change, nowMs int64) ChangeResult {
	if ch.Base != s.config.Version && !s.Unsafe.AnyBase {
		return ChangeResult{Status: ChangeRaced, Version: s.config.Version, Error: tier.ErrVersionRace.Error()}
	}
	setAuthorAndTime(&ch, nowMs)
	next, err := s.config.Apply(ch)
	if err != nil {
		return ChangeResult{Status: ChangeInvalid, Version: s.config.Version, Error: err.Error()}
	}
	s.accept(next, ch.Author, ch.Reason, nowMs)
	return ChangeResult{Status: ChangeAccepted, Version: next.Version}
}

// setAuthorAndTime sets the author and time of the exceptions that a change adds.
func setAuthorAndTime(ch *vers.Change, nowMs int64) {
	edits := append([]vers.Edit(nil), ch.Edits...)
	for i := range edits {
		if edits[i].Add == nil {
			continue
		}
		e := *edits[i].Add
		e.Author, e.AtMs = ch.Author, nowMs
		edits[i].Add = &e
	}
	ch.Edits = edits
}

func (s *Store) accept(c *vers.Config, author tier.Operator, reason string, nowMs int64) {
	s.config = c
	s.history = append(s.history, HistoryEntry{Config: c, Author: author, Reason: reason, AtMs: nowMs})
	if len(s.history) > MaxHistory {
		s.history = append([]HistoryEntry(nil), s.history[len(s.history)-MaxHistory:]...)
	}
}

func (s *Store) recordChange(id tier.ChangeID, r ChangeResult) {
	s.changes = append(s.changes, changeRecord{id, r})
	if len(s.changes) > MaxChangeIDs {
		s.changes = append([]changeRecord(nil), s.changes[MaxChangeIDs/2:]...)
		s.rebuildIndex()
		return
	}
	s.changeIndex[id] = len(s.changes) - 1
}

func (s *Store) rebuildIndex() {
	s.changeIndex = make(map[tier.ChangeID]int, len(s.changes))
	for i, c := range s.changes {
		s.changeIndex[c.ID] = i
	}
}

// sweep removes expired exceptions, claims and suspects.
func (s *Store) sweep(nowMs int64) {
	s.claims.sweep(nowMs, s.config, s.Unsafe.NoTombstones)
	s.poison.sweep(nowMs)
	if !s.ExceptionDue(nowMs) {
		return
	}
	next := &vers.Config{Version: s.config.Version + 1, Defaults: s.config.Defaults}
	for _, e := range s.config.Exceptions {
		if e.ExpiresMs == 0 || e.ExpiresMs > nowMs {
			next.Exceptions = append(next.Exceptions, e)
		}
	}
	s.accept(next, "sassafrasring", "exceptions expired", nowMs)
}

// ExceptionDue reports whether any exception has expired by nowMs.
func (s *Store) ExceptionDue(nowMs int64) bool {
	for _, e := range s.config.Exceptions {
		if e.ExpiresMs != 0 && e.ExpiresMs <= nowMs {
			return true
		}
	}
	return false
}

// snapshot is the encoded form of a Store.
type snapshot struct {
	Config     *vers.Config   `cbor:"1,keyasint"`
	History    []HistoryEntry `cbor:"2,keyasint"`
	Changes    []changeRecord `cbor:"3,keyasint"`
	Claims     []ClaimEntry   `cbor:"4,keyasint"`
	Tombstones []tombstone    `cbor:"5,keyasint"`
	Poison     []Suspect      `cbor:"6,keyasint"`
	Deaths     []death        `cbor:"7,keyasint"`
	RestoredMs int64          `cbor:"8,keyasint,omitempty"`
	Routes     []RoutesDoc    `cbor:"9,keyasint,omitempty"`
	// Evacuations is nil if there has never been an order, so that the snapshot is that of an earlier build.
	Evacuations *evac.Set `cbor:"10,keyasint,omitempty"`
}

// Save encodes the state as a snapshot.
func (s *Store) Save() ([]byte, error) {
	v := snapshot{Config: s.config, History: s.history, Changes: s.changes, RestoredMs: s.claims.restoredMs, Routes: s.routes}
	v.Claims, v.Tombstones = s.claims.list()
	v.Poison, v.Deaths = s.poison.list(), s.poison.deaths
	if s.evacuations.Version > 0 {
		v.Evacuations = &s.evacuations
	}
	return frame.Marshal(v)
}

// Load decodes a snapshot made by Save.
func Load(b []byte) (*Store, error) {
	var v snapshot
	if err := frame.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(tier.ErrCorrupt, err.Error())
	}
	if v.Config == nil {
		return nil, errors.Wrap(tier.ErrCorrupt, "snapshot has no configuration")
	}
	s := New()
	s.config, s.history, s.changes = v.Config, v.History, v.Changes
	s.rebuildIndex()
	s.claims.load(v.Claims, v.Tombstones, v.RestoredMs)
	s.poison.load(v.Poison, v.Deaths)
	s.routes = v.Routes
	if v.Evacuations != nil {
		s.evacuations = *v.Evacuations
	}
	return s, nil
}

func sortBy[T any](list []T, less func(a, b *T) bool) {
	sort.Slice(list, func(i, j int) bool { return less(&list[i], &list[j]) })
}
