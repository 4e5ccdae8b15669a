package store

import (
	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Entry is a claim with its record, if any. A claim without a record is
// pending: its holder may run it, and nobody else ever will.
type Entry struct {
	Claim  Claim   `cbor:"1,keyasint"`
	Record *Record `cbor:"2,keyasint,omitempty"`
	AtMs   int64   `cbor:"3,keyasint"`
}

// markID is a 128-bit hash of a WriteKey.
type markID struct {
	High uint64 `cbor:"1,keyasint"`
	Low  uint64 `cbor:"2,keyasint"`
}

// mark remembers that a key was used after its record is gone.
type mark struct {
	ID   markID `cbor:"1,keyasint"`
	AtMs int64  `cbor:"2,keyasint"`
}

// claimTable holds claims by key. Entries and marks are swept in order of age.
type claimTable struct {
	byKey map[WriteKey]*Entry
	marks map[markID]int64
	// lostMs is when the state was restored from a backup, 0 if it never was:
	// claims made between the backup and then are not known.
	lostMs int64
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[WriteKey]*Entry{}, marks: map[markID]int64{}}
}

func markOf(k WriteKey) markID {
	s := string(k.Account) + "\x00" + string(k.Service) + "\x00" + k.Key
	return markID{xxhash.Sum64String(s), xxhash.Sum64String("\x01" + s)}
}

// claim grants a key to the first claim for it. A repeated claim id gets the
// grant again; a key whose attempt provably did not run is free for a new claim.
func (t *claimTable) claim(c Claim, nowMs int64) ClaimResult {
	e := t.byKey[c.Key]
	if e == nil {
		return t.claimNew(c, nowMs)
	}
	if e.Claim.Fingerprint != c.Fingerprint {
		return ClaimResult{Status: ClaimConflict}
	}
	if e.Record == nil {
		if e.Claim.ID == c.ID {
			return ClaimResult{Status: ClaimGranted}
		}
		return ClaimResult{Status: ClaimPending, Holder: e.Claim.Holder, Instance: e.Claim.Instance}
	}
	if e.Record.Outcome == tier.NotRun && e.Claim.ID != c.ID {
		t.byKey[c.Key] = &Entry{Claim: c, AtMs: nowMs}
		return ClaimResult{Status: ClaimGranted}
	}
	r := *e.Record
	return ClaimResult{Status: ClaimRecorded, Record: &r}
}

func (t *claimTable) claimNew(c Claim, nowMs int64) ClaimResult {
	if _, used := t.marks[markOf(c.Key)]; used {
		return ClaimResult{Status: ClaimExpired}
	}
	if t.lostMs != 0 && !c.First {
		return ClaimResult{Status: ClaimExpired}
	}
	t.byKey[c.Key] = &Entry{Claim: c, AtMs: nowMs}
	return ClaimResult{Status: ClaimGranted}
}

// record stores the outcome of the attempt that holds the key. Done is final;
// NotRun is final for its attempt; Unknown may still become Done.
func (t *claimTable) record(r Record, nowMs int64, loose bool) {
	e := t.byKey[r.Key]
	if e == nil || e.Claim.ID != r.ID {
		return
	}
	final := e.Record != nil && (e.Record.Outcome != tier.Unknown || r.Outcome != tier.Done)
	if final && !loose {
		return
	}
	e.Record = &r
	e.AtMs = nowMs
}

// sweep turns old claims into marks and drops old marks. A key that did not
// run leaves no mark.
func (t *claimTable) sweep(nowMs int64, c *vers.Config, noMarks bool) {
	keep, markFor := c.Get(vers.KeyWriteKeep), c.Get(vers.KeyWriteMark)
	for k, e := range t.byKey {
		if nowMs-e.AtMs < keep {
			continue
		}
		if !noMarks && (e.Record == nil || e.Record.Outcome != tier.NotRun) {
			t.marks[markOf(k)] = nowMs
		}
		delete(t.byKey, k)
	}
	for id, at := range t.marks {
		if nowMs-at >= markFor {
			delete(t.marks, id)
		}
	}
	if nowMs-t.lostMs >= markFor {
		t.lostMs = 0
	}
}

func (t *claimTable) list() ([]Entry, []mark) {
	es := make([]Entry, 0, len(t.byKey))
	for _, e := range t.byKey {
		es = append(es, *e)
	}
	sortBy(es, func(a, b *Entry) bool { return a.Claim.Key.less(b.Claim.Key) })
	ms := make([]mark, 0, len(t.marks))
	for id, at := range t.marks {
		ms = append(ms, mark{id, at})
	}
	sortBy(ms, func(a, b *mark) bool { return a.ID.less(b.ID) })
	return es, ms
}

func (t *claimTable) load(es []Entry, ms []mark, lostMs int64) {
	t.lostMs = lostMs
	for i := range es {
		t.byKey[es[i].Claim.Key] = &es[i]
	}
	for _, m := range ms {
		t.marks[m.ID] = m.AtMs
	}
}

func (k WriteKey) less(o WriteKey) bool {
	if k.Account != o.Account {
		return k.Account < o.Account
	}
	if k.Service != o.Service {
		return k.Service < o.Service
	}
	return k.Key < o.Key
}

func (m markID) less(o markID) bool {
	if m.High != o.High {
		return m.High < o.High
	}
	return m.Low < o.Low
}
