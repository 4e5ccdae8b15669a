package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// world simulates hosts and voters on one clock, with messages that take time and may be lost.
type world struct {
	limits  Limits
	rand    *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	hosts   []*simHost
	voters  map[tier.NodeID]*simVoter
	members *membership
	// limit returns the limit of a tenant that a voter knows.
	limit func(*simVoter, tier.Tenant) (rate, burst float64)
	// cut reports whether messages from a to b are lost.
	cut func(a, b string) bool
	// latency returns the one-way latency.
	latency func(a, b tier.Zone) time.Duration
	// frozen holds the processes that do not run; their events are delayed until they do.
	frozen map[string]time.Duration
	// sent are the times at which requests were sent to servers, by tenant.
	sent   map[tier.Tenant][]time.Duration
	calls  int
	grants uint64
}

type simHost struct {
	name    string
	zone    tier.Zone
	pool    *Pool
	boot    int
	pending map[uint64]func(Outcome)
}

type simVoter struct {
	id       tier.NodeID
	zone     tier.Zone
	grantor  *Grantor
	standing *Standing
	settled  bool
	// members is what the voter knows of the membership; share is that of the membership in which it had a share, as on its disk.
	members, share *membership
	// contact is when the contact with the leader ends.
	contact time.Duration
}

// membership is one committed membership of the group.
type membership map[tier.NodeID]bool

// always is the end of a contact that lasts.
const always = 1000 * time.Hour

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type events []simEvent

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newWorld(l Limits, seed uint64) *world {
	return &world{
		limits: l, rand: rand.New(rand.NewPCG(seed, 1)), voters: map[tier.NodeID]*simVoter{}, members: &membership{},
		cut: func(string, string) bool { return false }, latency: func(tier.Zone, tier.Zone) time.Duration { return time.Millisecond },
		frozen: map[string]time.Duration{}, sent: map[tier.Tenant][]time.Duration{},
	}
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.now + d, w.seq, f})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// at runs f in a process after d, or when the process is no longer frozen.
func (w *world) at(process string, d time.Duration, f func()) {
	w.after(d, func() {
		if until := w.frozen[process]; w.now < until {
			w.at(process, until-w.now, f)
			return
		}
		f()
	})
}

func (w *world) addHost(zone tier.Zone) *simHost {
	h := &simHost{name: fmt.Sprint("h", len(w.hosts)), zone: zone}
	w.hosts = append(w.hosts, h)
	w.startHost(h)
	return h
}

func (w *world) startHost(h *simHost) {
	h.boot++
	h.pending = map[uint64]func(Outcome){}
	h.pool = &Pool{Limits: w.limits, Zone: h.zone, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2))}
	h.pool.Start()
	var list []Voter
	for _, id := range w.voterIDs() {
		list = append(list, Voter{id, w.voters[id].zone})
	}
	h.pool.SetVoters(list)
}

func (w *world) voterIDs() (out []tier.NodeID) {
	for i := range len(w.voters) {
		out = append(out, tier.NodeID(fmt.Sprint("v", i)))
	}
	return out
}

func (w *world) addVoter(zone tier.Zone, member, fresh bool) *simVoter {
	v := &simVoter{id: tier.NodeID(fmt.Sprint("v", len(w.voters))), zone: zone}
	w.voters[v.id] = v
	if member {
		(*w.members)[v.id] = true
	}
	v.members, v.contact = w.members, always
	w.startVoter(v, fresh)
	w.observe(v)
	return v
}

// startVoter starts a voter; fresh is set if the group was just bootstrapped.
func (w *world) startVoter(v *simVoter, fresh bool) {
	w.grants += 1 << 20
	v.grantor = &Grantor{Limits: w.limits, FirstGrant: w.grants}
	v.grantor.Start(w.now, fresh)
	v.standing = &Standing{}
	v.standing.Resume(w.now)
	if fresh {
		v.standing.Bootstrapped()
	}
	m := *v.members
	v.settled = m[v.id] && (fresh || v.share == v.members)
	v.standing.Members(w.now, m[v.id], len(m), v.settled)
}

// observe lets a voter observe its contact, now and from now on.
func (w *world) observe(v *simVoter) {
	v.standing.Observe(w.now, w.now < v.contact)
	if !v.settled && w.now < v.contact && w.othersCount(v) {
		v.standing.Settle(w.now)
	}
	if w.standing(v) > 0 && v.standing.Stable(w.now) {
		v.share = v.members
	}
	w.at(string(v.id), 100*time.Millisecond, func() { w.observe(v) })
}

// othersCount reports whether all other voters count by the membership that a voter knows.
func (w *world) othersCount(v *simVoter) bool {
	for id := range *v.members {
		if x := w.voters[id]; x != v && (x == nil || x.members != v.members || !x.standing.Counting(w.now)) {
			return false
		}
	}
	return (*v.members)[v.id]
}

// learn tells a voter the membership.
func (w *world) learn(v *simVoter, m *membership) {
	v.members = m
	v.standing.Members(w.now, (*m)[v.id], len(*m), false)
}

func (w *world) standing(v *simVoter) int {
	settled := v.standing.Settled(w.now)
	if settled && !v.settled {
		v.grantor.Restart(w.now)
	}
	v.settled = settled
	return v.standing.Granting(w.now)
}

func (w *world) handle(v *simVoter, q Request) Reply {
	rate, burst := w.limit(v, q.Tenant)
	v.grantor.Return(w.now, q.Returned)
	n := w.standing(v)
	if n == 0 {
		return Reply{Absent: true, NoVoter: !v.standing.Voter()}
	}
	return v.grantor.Grant(w.now, q.Tenant, rate, burst, n, q.Wanted)
}

// request lets a host decide on a request; done gets the outcome and the time of the decision.
func (w *world) request(h *simHost, t tier.Tenant, done func(Outcome)) {
	id, eff := h.pool.Take(w.now, t, w.now+60*time.Millisecond)
	h.pending[id] = done
	w.effects(h, t, eff)
}

func (w *world) effects(h *simHost, t tier.Tenant, eff Effects) {
	for _, r := range eff.Results {
		f := h.pending[r.Waiter]
		delete(h.pending, r.Waiter)
		f(r.Outcome)
	}
	for _, c := range eff.Calls {
		w.calls++
		w.send(h, c)
	}
	boot := h.boot
	if wake := h.pool.Wake(t); len(h.pending) > 0 && wake < w.now+time.Hour {
		w.at(h.name, max(0, wake-w.now), func() {
			if h.boot == boot {
				w.effects(h, t, h.pool.Tick(w.now, t))
			}
		})
	}
}

func (w *world) send(h *simHost, c Call) {
	boot, v := h.boot, w.voters[c.Voter]
	back := func(d time.Duration, f func() Effects) {
		w.at(h.name, d, func() {
			if h.boot == boot {
				w.effects(h, c.Request.Tenant, f())
			}
		})
	}
	back(250*time.Millisecond, func() Effects { return h.pool.Fail(w.now, c.ID) })
	if w.cut(h.name, string(c.Voter)) {
		return
	}
	w.at(string(c.Voter), w.latency(h.zone, v.zone), func() {
		r := w.handle(v, c.Request)
		if w.cut(string(c.Voter), h.name) {
			return
		}
		back(w.latency(h.zone, v.zone), func() Effects { return h.pool.Reply(w.now, c.ID, r) })
	})
}
