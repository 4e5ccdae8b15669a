package trace

import (
	"encoding/json"
	"fmt"

	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// storeMachine replays commands on the replicated state machine.
type storeMachine struct {
	store *store.Store
}

type storeEvent struct {
	// Set is a change of the setting hedge.budget.
	Set *struct {
		ID    tier.ChangeID      `json:"id"`
		Base  tier.ConfigVersion `json:"base"`
		Value int64              `json:"value"`
	} `json:"set"`
	// Many is the number of accepted changes to make, one after another.
	Many   int               `json:"many"`
	Claim  *storeClaim       `json:"claim"`
	Record *storeRecord      `json:"record"`
	Blame  *storeBlame       `json:"blame"`
	Clear  *tier.Fingerprint `json:"clear"`
	Sweep  bool              `json:"sweep"`
	// Restart saves the state as a snapshot and loads it again.
	Restart bool `json:"restart"`
}

type storeClaim struct {
	ID    tier.ClaimID     `json:"id"`
	Key   string           `json:"key"`
	Print tier.Fingerprint `json:"print"`
}

type storeRecord struct {
	ID      tier.ClaimID    `json:"id"`
	Key     string          `json:"key"`
	Outcome tier.Outcome    `json:"outcome"`
	Data    json.RawMessage `json:"data"`
}

type storeBlame struct {
	Server   tier.ServerID      `json:"server"`
	Instance tier.Instance      `json:"instance"`
	Prints   []tier.Fingerprint `json:"prints"`
}

type storeObserved struct {
	Status      string             `json:"status"`
	Outcome     tier.Outcome       `json:"outcome"`
	Data        json.RawMessage    `json:"data,omitempty"`
	Version     tier.ConfigVersion `json:"version"`
	Value       int64              `json:"value"`
	Suspects    []tier.Fingerprint `json:"suspects"`
	Quarantined []tier.Fingerprint `json:"quarantined"`
}

func newStoreMachine(_ json.RawMessage, without string) (machine, error) {
	s := store.New()
	switch without {
	case "":
	case "base_check":
		s.Unsafe.AnyBase = true
	case "change_ids":
		s.Unsafe.ForgetChanges = true
	case "claims":
		s.Unsafe.ForgetClaims = true
	case "final_records":
		s.Unsafe.OverwriteRecords = true
	case "blame":
		s.Unsafe.IgnoreDeaths = true
	case "marks":
		s.Unsafe.NoTombstones = true
	default:
		return nil, unknownMechanism(without)
	}
	return &storeMachine{s}, nil
}

func writeKey(key string) store.WriteKey {
	return store.WriteKey{Account: "desk", Service: "dispatch-desk", Key: key}
}

func change(id tier.ChangeID, base tier.ConfigVersion, value int64) *vers.Change {
	return &vers.Change{ID: id, Base: base, Edits: []vers.Edit{{Set: &vers.Default{Key: vers.KeyHedgeBudget, Value: value}}}}
}

func (m *storeMachine) do(at tier.Millis, raw json.RawMessage) (any, error) {
	var e storeEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	c := store.Command{NowMs: int64(at)}
	switch {
	case e.Set != nil:
		c.Change = change(e.Set.ID, e.Set.Base, e.Set.Value)
	case e.Claim != nil:
		c.Claim = &store.Claim{ID: e.Claim.ID, Key: writeKey(e.Claim.Key), Fingerprint: e.Claim.Print}
	case e.Record != nil:
		c.Record = &store.Record{ID: e.Record.ID, Key: writeKey(e.Record.Key), Outcome: e.Record.Outcome, Data: e.Record.Data}
	case e.Blame != nil:
		c.DeathReport = &store.DeathReport{Server: e.Blame.Server, Instance: e.Blame.Instance, Service: "fitter-app", Fingerprints: e.Blame.Prints}
	case e.Clear != nil:
		c.Clear = &store.Clear{Fingerprint: *e.Clear}
	case e.Sweep:
		c.Sweep = &store.Sweep{}
	}
	for i := range e.Many {
		v := m.store.Config().Version
		m.store.Apply(store.Command{Change: change(tier.ChangeID(fmt.Sprintf("many-%d", v)), v, int64(i%400))})
	}
	if e.Restart {
		return m.restart()
	}
	return m.observe(m.store.Apply(c)), nil
}

func (m *storeMachine) restart() (any, error) {
	b, err := m.store.Save()
	if err != nil {
		return nil, err
	}
	s, err := store.Load(b)
	if err != nil {
		return nil, err
	}
	s.Unsafe = m.store.Unsafe
	m.store = s
	return m.observe(store.Result{}), nil
}

func (m *storeMachine) observe(r store.Result) storeObserved {
	c := m.store.Config()
	o := storeObserved{Version: c.Version, Value: c.Get(vers.KeyHedgeBudget), Suspects: []tier.Fingerprint{}, Quarantined: []tier.Fingerprint{}}
	if r.Change != nil {
		o.Status = string(r.Change.Status)
	}
	if r.Claim != nil {
		o.Status = string(r.Claim.Status)
		if rec := r.Claim.Record; rec != nil {
			o.Outcome, o.Data = rec.Outcome, rec.Data
		}
	}
	for _, s := range m.store.Suspects() {
		if s.Quarantined {
			o.Quarantined = append(o.Quarantined, s.Fingerprint)
		} else {
			o.Suspects = append(o.Suspects, s.Fingerprint)
		}
	}
	return o
}
