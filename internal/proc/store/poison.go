package store

import (
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// The weight of a server death is divided among the requests that were running on the server.
const (
	weightPerDeath = 1000
	// quarantineScore is the score at which a request is quarantined even if other requests ran at each death.
	quarantineScore = 3000
	maxDeaths       = 1024
)

// Suspect is a request that was running on one or more servers when they died.
type Suspect struct {
	Fingerprint tier.Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	Service     tier.Service     `json:"service" cbor:"2,keyasint"`
	Deaths      int              `json:"deaths" cbor:"3,keyasint"`
	Alone       int              `json:"alone" cbor:"4,keyasint"`
	Score       int              `json:"score" cbor:"5,keyasint"`
	UntilMs     int64            `json:"until_ms" cbor:"6,keyasint"`
	Quarantined bool             `json:"quarantined" cbor:"7,keyasint"`
}

// death identifies a server instance that died.
type death struct {
	Server   tier.ServerID `cbor:"1,keyasint"`
	Instance tier.Instance `cbor:"2,keyasint"`
}

// poisonTable scores requests by the deaths of the servers on which they were running.
type poisonTable struct {
	byFingerprint map[tier.Fingerprint]*Suspect
	deaths        []death
	version       uint64
}

func newPoisonTable() poisonTable {
	return poisonTable{byFingerprint: map[tier.Fingerprint]*Suspect{}}
}

// recordDeath records a server death. The death of an instance counts once, however many nodes report it.
func (t *poisonTable) recordDeath(b DeathReport, c *vers.Config, nowMs int64) {
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
	if len(t.deaths) > maxDeaths {
		t.deaths = append([]death(nil), t.deaths[len(t.deaths)-maxDeaths:]...)
	}
	t.version++
	for _, f := range b.Fingerprints {
		t.addDeath(f, b, c, nowMs)
	}
}

func (t *poisonTable) addDeath(f tier.Fingerprint, b DeathReport, c *vers.Config, nowMs int64) {
	s := t.byFingerprint[f]
	if s == nil {
		if len(t.byFingerprint) >= MaxSuspects {
			return
		}
		s = &Suspect{Fingerprint: f, Service: b.Service}
		t.byFingerprint[f] = s
	}
	s.Deaths++
	s.Score += weightPerDeath / len(b.Fingerprints)
	if len(b.Fingerprints) == 1 {
		s.Alone++
	}
	alone := s.Alone >= int(c.Get(vers.KeyPoisonDeaths, vers.Service(b.Service)))
	if alone || s.Score >= quarantineScore {
		s.Quarantined = true
	}
	hold := c.Get(vers.KeySuspectHold)
	if s.Quarantined {
		hold = c.Get(vers.KeyPoisonHold)
	}
	s.UntilMs = max(s.UntilMs, nowMs+hold)
}

func (t *poisonTable) clear(f tier.Fingerprint) {
	t.version++
	if f == 0 {
		t.byFingerprint = map[tier.Fingerprint]*Suspect{}
		return
	}
	delete(t.byFingerprint, f)
}

func (t *poisonTable) sweep(nowMs int64) {
	for f, s := range t.byFingerprint {
		if s.UntilMs <= nowMs {
			delete(t.byFingerprint, f)
			t.version++
		}
	}
}

func (t *poisonTable) list() []Suspect {
	list := make([]Suspect, 0, len(t.byFingerprint))
	for _, s := range t.byFingerprint {
		list = append(list, *s)
	}
	sortBy(list, func(a, b *Suspect) bool { return a.Fingerprint < b.Fingerprint })
	return list
}

func (t *poisonTable) load(list []Suspect, deaths []death) {
	for i := range list {
		t.byFingerprint[list[i].Fingerprint] = &list[i]
	}
	t.deaths = deaths
}

// Suspects returns the suspected and quarantined requests, ordered by fingerprint.
func (s *Store) Suspects() []Suspect { return s.poison.list() }

// SuspectsVersion returns a counter that increases whenever the list of suspects changes.
func (s *Store) SuspectsVersion() uint64 { return s.poison.version }
