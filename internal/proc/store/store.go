package store

import (
	"sort"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Bounds of what is remembered.
const (
	MaxChangeIDs = 8192
	MaxHistory   = 256
	MaxPoison    = 4096
)

// Past is one version in the history.
type Past struct {
	Config *vers.Config  `json:"config" cbor:"1,keyasint"`
	Author tier.Operator `json:"author" cbor:"2,keyasint"`
	Reason string        `json:"reason" cbor:"3,keyasint"`
	AtMs   int64         `json:"at_ms" cbor:"4,keyasint"`
}

type changed struct {
	ID     tier.ChangeID `cbor:"1,keyasint"`
	Result ChangeResult  `cbor:"2,keyasint"`
}

// Unsafe lists mechanisms of a store that a trace may switch off.
type Unsafe struct {
	// AnyBase accepts changes whatever version they are based on.
	AnyBase bool
	// ForgetChanges forgets the ids of changes.
	ForgetChanges bool
	// ForgetClaims grants every claim.
	ForgetClaims bool
	// LooseRecords lets any outcome replace any other.
	LooseRecords bool
	// NoBlame takes no note of deaths.
	NoBlame bool
	// NoMarks forgets a key with its record.
	NoMarks bool
}

// Store is the state. It is not safe for concurrent use.
type Store struct {
	// Unsafe switches mechanisms off, for traces that show what they prevent.
	Unsafe Unsafe

	config  *vers.Config
	history []Past
	changes []changed
	byID    map[tier.ChangeID]int
	claims  claimTable
	poison  poisonTable
	routes  []RoutesDoc
}

// New returns an empty store at configuration version 0.
func New() *Store {
	return &Store{
		config: &vers.Config{},
		byID:   map[tier.ChangeID]int{},
		claims: newClaimTable(),
		poison: newPoisonTable(),
	}
}

// Config returns the configuration in force.
func (s *Store) Config() *vers.Config { return s.config }

// History returns the remembered versions, oldest first.
func (s *Store) History() []Past { return s.history }

// Apply runs one command.
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
		s.claims.record(*c.Record, c.NowMs, s.Unsafe.LooseRecords)
	case c.Blame != nil && !s.Unsafe.NoBlame:
		s.poison.blame(*c.Blame, s.config, c.NowMs)
	case c.Clear != nil:
		s.poison.clear(c.Clear.Fingerprint)
	case c.Routes != nil:
		r := s.setRoutes(*c.Routes, c.NowMs)
		return Result{Routes: &r}
	case c.Sweep != nil:
		s.sweep(c.NowMs)
	}
	return Result{}
}

func (s *Store) change(ch vers.Change, nowMs int64) ChangeResult {
	if i, ok := s.byID[ch.ID]; ok && !s.Unsafe.ForgetChanges {
		return s.changes[i].Result
	}
	r := s.decide(ch, nowMs)
	s.remember(ch.ID, r)
	return r
}

func (s *Store) decide(ch vers.Change, nowMs int64) ChangeResult {
	if ch.Base != s.config.Version && !s.Unsafe.AnyBase {
		return ChangeResult{Status: ChangeRaced, Version: s.config.Version, Error: tier.ErrVersionRace.Error()}
	}
	stamp(&ch, nowMs)
	next, err := s.config.Apply(ch)
	if err != nil {
		return ChangeResult{Status: ChangeInvalid, Version: s.config.Version, Error: err.Error()}
	}
	s.accept(next, ch.Author, ch.Reason, nowMs)
	return ChangeResult{Status: ChangeAccepted, Version: next.Version}
}

// stamp gives new exceptions their author and time.
func stamp(ch *vers.Change, nowMs int64) {
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

func (s *Store) accept(c *vers.Config, by tier.Operator, why string, nowMs int64) {
	s.config = c
	s.history = append(s.history, Past{Config: c, Author: by, Reason: why, AtMs: nowMs})
	if len(s.history) > MaxHistory {
		s.history = append([]Past(nil), s.history[len(s.history)-MaxHistory:]...)
	}
}

func (s *Store) remember(id tier.ChangeID, r ChangeResult) {
	s.changes = append(s.changes, changed{id, r})
	if len(s.changes) > MaxChangeIDs {
		s.changes = append([]changed(nil), s.changes[MaxChangeIDs/2:]...)
		s.index()
		return
	}
	s.byID[id] = len(s.changes) - 1
}

func (s *Store) index() {
	s.byID = make(map[tier.ChangeID]int, len(s.changes))
	for i, c := range s.changes {
		s.byID[c.ID] = i
	}
}

// sweep drops expired exceptions, claims and suspicions.
func (s *Store) sweep(nowMs int64) {
	s.claims.sweep(nowMs, s.config, s.Unsafe.NoMarks)
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

// ExceptionDue reports whether an exception has expired by nowMs.
func (s *Store) ExceptionDue(nowMs int64) bool {
	for _, e := range s.config.Exceptions {
		if e.ExpiresMs != 0 && e.ExpiresMs <= nowMs {
			return true
		}
	}
	return false
}

// saved is the form of a snapshot.
type saved struct {
	Config  *vers.Config `cbor:"1,keyasint"`
	History []Past       `cbor:"2,keyasint"`
	Changes []changed    `cbor:"3,keyasint"`
	Claims  []Entry      `cbor:"4,keyasint"`
	Marks   []mark       `cbor:"5,keyasint"`
	Poison  []Suspect    `cbor:"6,keyasint"`
	Deaths  []death      `cbor:"7,keyasint"`
	LostMs  int64        `cbor:"8,keyasint,omitempty"`
	Routes  []RoutesDoc  `cbor:"9,keyasint,omitempty"`
}

// Save encodes the state.
func (s *Store) Save() ([]byte, error) {
	v := saved{Config: s.config, History: s.history, Changes: s.changes, LostMs: s.claims.lostMs, Routes: s.routes}
	v.Claims, v.Marks = s.claims.list()
	v.Poison, v.Deaths = s.poison.list(), s.poison.deaths
	return frame.Marshal(v)
}

// Load decodes a state made by Save.
func Load(b []byte) (*Store, error) {
	var v saved
	if err := frame.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(tier.ErrCorrupt, err.Error())
	}
	if v.Config == nil {
		return nil, errors.Wrap(tier.ErrCorrupt, "snapshot has no configuration")
	}
	s := New()
	s.config, s.history, s.changes = v.Config, v.History, v.Changes
	s.index()
	s.claims.load(v.Claims, v.Marks, v.LostMs)
	s.poison.load(v.Poison, v.Deaths)
	s.routes = v.Routes
	return s, nil
}

func sortBy[T any](list []T, less func(a, b *T) bool) {
	sort.Slice(list, func(i, j int) bool { return less(&list[i], &list[j]) })
}
