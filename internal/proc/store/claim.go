package store

import (
	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// ClaimEntry is a granted claim and the recorded outcome, if any. A claim without a record is pending: its holder
// may run the write, and no other attempt is ever granted the key.
type ClaimEntry struct {
	Claim  Claim   `cbor:"1,keyasint"`
	Record *Record `cbor:"2,keyasint,omitempty"`
	AtMs   int64   `cbor:"3,keyasint"`
}

// keyHash is the 128-bit hash of a WriteKey.
type keyHash struct {
	High uint64 `cbor:"1,keyasint"`
	Low  uint64 `cbor:"2,keyasint"`
}

// tombstone records that a key was used, after its claim has been removed.
type tombstone struct {
	Hash keyHash `cbor:"1,keyasint"`
	AtMs int64   `cbor:"2,keyasint"`
}

// claimTable holds the claims by key, and the tombstones of the claims that were removed.
type claimTable struct {
	byKey      map[WriteKey]*ClaimEntry
	tombstones map[keyHash]int64
	// restoredMs is the time at which the state was restored from a backup, or 0. Claims made between the backup
	// and that time are unknown.
	restoredMs int64
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[WriteKey]*ClaimEntry{}, tombstones: map[keyHash]int64{}}
}

func hashKey(k WriteKey) keyHash {
	s := string(k.Account) + "\x00" + string(k.Service) + "\x00" + k.Key
	return keyHash{xxhash.Sum64String(s), xxhash.Sum64String("\x01" + s)}
}

// claim grants a key to the first claim for it. If a claim with the same ID is repeated, it is granted again. A key
// whose recorded outcome is NotRun may be claimed by a new attempt.
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
		t.byKey[c.Key] = &ClaimEntry{Claim: c, AtMs: nowMs}
		return ClaimResult{Status: ClaimGranted}
	}
	r := *e.Record
	return ClaimResult{Status: ClaimRecorded, Record: &r}
}

func (t *claimTable) claimNew(c Claim, nowMs int64) ClaimResult {
	if _, used := t.tombstones[hashKey(c.Key)]; used {
		return ClaimResult{Status: ClaimExpired}
	}
	if t.restoredMs != 0 && !c.First {
		return ClaimResult{Status: ClaimExpired}
	}
	t.byKey[c.Key] = &ClaimEntry{Claim: c, AtMs: nowMs}
	return ClaimResult{Status: ClaimGranted}
}

// record stores the outcome of the attempt that holds the key. Done and NotRun are final for that attempt; Unknown may
// still become Done.
func (t *claimTable) record(r Record, nowMs int64, allowOverwrite bool) {
	e := t.byKey[r.Key]
	if e == nil || e.Claim.ID != r.ID {
		return
	}
	final := e.Record != nil && (e.Record.Outcome != tier.Unknown || r.Outcome != tier.Done)
	if final && !allowOverwrite {
		return
	}
	e.Record = &r
	e.AtMs = nowMs
}

// sweep replaces expired claims by tombstones and removes expired tombstones. A write that did not run leaves no
// tombstone.
func (t *claimTable) sweep(nowMs int64, c *vers.Config, skipTombstones bool) {
	retention, tombstoneTTL := c.Get(vers.KeyWriteKeep), c.Get(vers.KeyWriteMark)
	for k, e := range t.byKey {
		if nowMs-e.AtMs < retention {
			continue
		}
		if !skipTombstones && (e.Record == nil || e.Record.Outcome != tier.NotRun) {
			t.tombstones[hashKey(k)] = nowMs
		}
		delete(t.byKey, k)
	}
	for id, at := range t.tombstones {
		if nowMs-at >= tombstoneTTL {
			delete(t.tombstones, id)
		}
	}
	if nowMs-t.restoredMs >= tombstoneTTL {
		t.restoredMs = 0
	}
}

func (t *claimTable) list() ([]ClaimEntry, []tombstone) {
	entries := make([]ClaimEntry, 0, len(t.byKey))
	for _, e := range t.byKey {
		entries = append(entries, *e)
	}
	sortBy(entries, func(a, b *ClaimEntry) bool { return a.Claim.Key.less(b.Claim.Key) })
	tombstones := make([]tombstone, 0, len(t.tombstones))
	for id, at := range t.tombstones {
		tombstones = append(tombstones, tombstone{id, at})
	}
	sortBy(tombstones, func(a, b *tombstone) bool { return a.Hash.less(b.Hash) })
	return entries, tombstones
}

func (t *claimTable) load(entries []ClaimEntry, tombstones []tombstone, restoredMs int64) {
	t.restoredMs = restoredMs
	for i := range entries {
		t.byKey[entries[i].Claim.Key] = &entries[i]
	}
	for _, m := range tombstones {
		t.tombstones[m.Hash] = m.AtMs
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

func (m keyHash) less(o keyHash) bool {
	if m.High != o.High {
		return m.High < o.High
	}
	return m.Low < o.Low
}
