package store

import (
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Blame weights. A death is shared by the requests that ran on the server.
const (
	aloneWeight = 1000
	// crowdedScore quarantines a request that was present at many crowded deaths.
	crowdedScore = 3000
	deathsKept   = 1024
)

// Suspect is a request that ran on servers when they died.
type Suspect struct {
	Fingerprint tier.Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	Service     tier.Service     `json:"service" cbor:"2,keyasint"`
	Deaths      int              `json:"deaths" cbor:"3,keyasint"`
	Alone       int              `json:"alone" cbor:"4,keyasint"`
	Score       int              `json:"score" cbor:"5,keyasint"`
	UntilMs     int64            `json:"until_ms" cbor:"6,keyasint"`
	Quarantined bool             `json:"quarantined" cbor:"7,keyasint"`
}

type death struct {
	Server   tier.ServerID `cbor:"1,keyasint"`
	Instance tier.Instance `cbor:"2,keyasint"`
}

// poisonTable scores requests by the deaths of the servers that ran them.
type poisonTable struct {
	byPrint map[tier.Fingerprint]*Suspect
	deaths  []death
	changed uint64
}

func newPoisonTable() poisonTable {
	return poisonTable{byPrint: map[tier.Fingerprint]*Suspect{}}
}

// blame counts each death of an instance once, however many nodes report it.
func (t *poisonTable) blame(b Blame, c *vers.Config, nowMs int64) {
	d := death{b.Server, b.Instance}
	for _, k := range t.deaths {
		if k == d {
			return
		}
	}
	if len(b.Fingerprints) == 0 {
		return
	}
	t.deaths = append(t.deaths, d)
	if len(t.deaths) > deathsKept {
		t.deaths = append([]death(nil), t.deaths[len(t.deaths)-deathsKept:]...)
	}
	t.changed++
	for _, f := range b.Fingerprints {
		t.add(f, b, c, nowMs)
	}
}

func (t *poisonTable) add(f tier.Fingerprint, b Blame, c *vers.Config, nowMs int64) {
	s := t.byPrint[f]
	if s == nil {
		if len(t.byPrint) >= MaxPoison {
			return
		}
		s = &Suspect{Fingerprint: f, Service: b.Service}
		t.byPrint[f] = s
	}
	s.Deaths++
	s.Score += aloneWeight / len(b.Fingerprints)
	if len(b.Fingerprints) == 1 {
		s.Alone++
	}
	alone := s.Alone >= int(c.Get(vers.KeyPoisonDeaths, vers.Service(b.Service)))
	if alone || s.Score >= crowdedScore {
		s.Quarantined = true
	}
	hold := c.Get(vers.KeySuspectHold)
	if s.Quarantined {
		hold = c.Get(vers.KeyPoisonHold)
	}
	s.UntilMs = max(s.UntilMs, nowMs+hold)
}

func (t *poisonTable) clear(f tier.Fingerprint) {
	t.changed++
	if f == 0 {
		t.byPrint = map[tier.Fingerprint]*Suspect{}
		return
	}
	delete(t.byPrint, f)
}

func (t *poisonTable) sweep(nowMs int64) {
	for f, s := range t.byPrint {
		if s.UntilMs <= nowMs {
			delete(t.byPrint, f)
			t.changed++
		}
	}
}

func (t *poisonTable) list() []Suspect {
	list := make([]Suspect, 0, len(t.byPrint))
	for _, s := range t.byPrint {
		list = append(list, *s)
	}
	sortBy(list, func(a, b *Suspect) bool { return a.Fingerprint < b.Fingerprint })
	return list
}

func (t *poisonTable) load(list []Suspect, deaths []death) {
	for i := range list {
		t.byPrint[list[i].Fingerprint] = &list[i]
	}
	t.deaths = deaths
}

// Suspects returns the suspects and quarantined requests, by fingerprint.
func (s *Store) Suspects() []Suspect { return s.poison.list() }

// PoisonChanged returns a counter that moves whenever Suspects changes.
func (s *Store) PoisonChanged() uint64 { return s.poison.changed }
