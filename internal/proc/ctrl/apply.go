package ctrl

import (
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// process executes the core's effects until none are pending, then compacts the log if it is long enough.
func (r *Replica) process() error {
	for {
		eff := r.core.TakeEffects()
		if eff.Hard == nil && len(eff.Entries)+len(eff.Messages)+len(eff.Committed)+len(eff.Reads) == 0 && eff.Install == nil {
			break
		}
		if err := r.persist(eff); err != nil {
			return err
		}
		for _, m := range eff.Messages {
			r.send(m)
		}
		r.apply(eff.Committed)
		for _, d := range eff.Reads {
			r.finishRead(d)
		}
	}
	r.updateRole()
	r.notifyMembers()
	return r.compact()
}

func (r *Replica) persist(eff quorum.Effects) error {
	if eff.Hard != nil {
		r.hard = *eff.Hard
	}
	if eff.Install != nil {
		return r.install(*eff.Install, eff.Entries)
	}
	if err := r.Folder.Save(eff.Hard, eff.Entries); err != nil {
		return err
	}
	if n := len(eff.Entries); n > 0 {
		r.core.Persisted(eff.Entries[n-1].Index)
	}
	return nil
}

func (r *Replica) install(s quorum.Snap, rest []quorum.Entry) error {
	st, err := store.Load(s.Data)
	if err != nil {
		return tier.At("install snapshot", string(r.core.LeaderID()), err)
	}
	if err := r.Folder.SaveSnapshot(s, r.hard, rest); err != nil {
		return err
	}
	r.store, r.applied = st, s.Index
	r.notifyRoutes()
	r.notifyEvacuations()
	event.SnapshotInstalled.Log(r.Log, nil, r.snapshotFields(s))
	return nil
}

func (r *Replica) apply(entries []quorum.Entry) {
	version, suspects := r.store.Config().Version, r.store.SuspectsVersion()
	defer func() {
		if r.store.Config().Version != version || r.store.SuspectsVersion() != suspects {
			r.pushAll()
		}
	}()
	for _, e := range entries {
		res := r.applyOne(e)
		r.applied = e.Index
		w, ok := r.pending[e.Index]
		if !ok {
			continue
		}
		delete(r.pending, e.Index)
		if w.term != e.Term {
			w.done <- proposalResult{err: tier.ErrNotLeader}
			continue
		}
		w.done <- proposalResult{result: res}
	}
}

func (r *Replica) applyOne(e quorum.Entry) store.Result {
	if e.Kind != quorum.EntryCommand {
		return store.Result{}
	}
	var c store.Command
	if err := frame.Unmarshal(e.Data, &c); err != nil {
		event.CommandUnreadable.Log(r.Log, err, logrus.Fields{"index": e.Index})
		return store.Result{}
	}
	before := r.store.Config().Version
	res := r.store.Apply(c)
	if res.Routes != nil && res.Routes.Accepted {
		event.RoutesAccepted.Log(r.Log, nil, logrus.Fields{"version": res.Routes.Version, "index": e.Index})
		r.notifyRoutes()
	}
	if res.Evacuations != nil && res.Evacuations.Accepted {
		set := r.store.Evacuations()
		event.EvacuationAccepted.Log(r.Log, nil, logrus.Fields{"version": set.Version, "zones": set.Names(), "index": e.Index})
		r.notifyEvacuations()
	}
	if v := r.store.Config().Version; v != before {
		event.ConfigAccepted.Log(r.Log, nil, logrus.Fields{"version": v, "index": e.Index})
	}
	return res
}

// notifyRoutes calls RoutesChanged with the committed routing table, if there is one.
func (r *Replica) notifyRoutes() {
	if d := r.store.Routes(); d.Version > 0 && r.RoutesChanged != nil {
		r.RoutesChanged(d)
	}
}

// notifyEvacuations calls EvacuationsChanged with the committed set of evacuated zones, if there has been one.
func (r *Replica) notifyEvacuations() {
	if e := r.store.Evacuations(); e.Version > 0 && r.EvacuationsChanged != nil {
		r.EvacuationsChanged(e)
	}
}

func (r *Replica) send(m quorum.Msg) {
	if m.Kind == quorum.MsgSnap {
		r.attachSnapshot(&m)
	}
	b, err := frame.Marshal(m)
	if err != nil {
		return
	}
	r.Sender.Send(m.To.Node(), b)
}

// attachSnapshot adds the current state to a snapshot message, at most once per snapshotSendInterval and peer. Without
// it the message serves as a heartbeat.
func (r *Replica) attachSnapshot(m *quorum.Msg) {
	now := r.Clock.Now()
	if at, ok := r.snapshotSentAt[m.To]; ok && now-at < snapshotSendInterval {
		return
	}
	r.snapshotSentAt[m.To] = now
	if s, err := r.snapshot(); err == nil {
		m.Snap = &s
		fields := r.snapshotFields(s)
		fields["peer"] = m.To
		event.SnapshotSent.Log(r.Log, nil, fields)
	}
}

// snapshotFields returns the log fields of a snapshot whose data is the current state.
func (r *Replica) snapshotFields(s quorum.Snap) logrus.Fields {
	return logrus.Fields{"index": s.Index, "config": r.store.Config().Version, "routes": r.store.Routes().Version}
}

// snapshot returns the state of the store with the index of the last entry applied to it. The core may have committed
// further entries that are yet to be applied.
func (r *Replica) snapshot() (quorum.Snap, error) {
	b, err := r.store.Save()
	if err != nil {
		return quorum.Snap{}, err
	}
	i := r.applied
	return quorum.Snap{Index: i, Term: r.core.TermAt(i), Members: r.core.MembersAt(i), Data: b, Exact: true}, nil
}

func (r *Replica) compact() error {
	if r.core.LogLen() < r.CompactAfter || r.applied == 0 {
		return nil
	}
	s, err := r.snapshot()
	if err != nil {
		return err
	}
	rest := r.core.EntriesAfter(s.Index)
	if err := r.Folder.SaveSnapshot(s, r.hard, rest); err != nil {
		return err
	}
	r.core.Compact(s.Index)
	fields := r.snapshotFields(s)
	fields["bytes"] = len(s.Data)
	event.SnapshotCreated.Log(r.Log, nil, fields)
	return nil
}
