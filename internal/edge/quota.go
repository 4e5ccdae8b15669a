package edge

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/quota"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// kindQuota is the kind of streams on which hosts ask voters for tokens.
const kindQuota conn.Kind = "quota"

const (
	// quotaCallTimeout bounds a call to a voter. Another voter is asked sooner; tokens that come later than this are of no use.
	quotaCallTimeout = 250 * time.Millisecond
	// standingInterval is the interval at which a control host observes its contact with the leader.
	standingInterval = 100 * time.Millisecond
	// shareFile is the file in the data folder that says in which membership the host had a share.
	shareFile = "share"
	// quotaLogInterval is the time between two log lines about one tenant; maxNamedTenants bounds the tenants with log lines
	// and with counters of their own.
	quotaLogInterval = 10 * time.Second
	maxNamedTenants  = 100
	otherTenants     = "other"
)

// savedShare is the content of shareFile.
type savedShare struct {
	Replica tier.ReplicaID `cbor:"1,keyasint"`
	Index   tier.Index     `cbor:"2,keyasint"`
}

// quotas is a node's part of the tenants' quotas: its pool of tokens, and on a voter its share of the limits. It implements
// reqst.Quota. Nothing runs and no message is sent unless a tenant has a rate. Lock order: mu is never held during network or
// disk I/O.
type quotas struct {
	node *Node
	// Proven reports whether this node holds a valid proof of the control group; nil means always.
	Proven func() bool

	// limited is set if a tenant of the routing table has a rate; changed is signalled when that changes.
	limited atomic.Bool
	changed chan struct{}
	// first is set once the membership is known.
	first atomic.Bool

	mu      sync.Mutex
	pool    quota.Pool
	waiting map[uint64]chan quota.Outcome
	// hosts is the list that the pool's voters were taken from.
	hosts      *[]spread.Host
	grantor    quota.Grantor
	standing   quota.Standing
	membership ctrl.Membership
	// joined is the index of the membership that made this host a voter, as far as is known; published is the share in its
	// record.
	joined, published tier.Index
	// settled and granting are those of the standing at the last look.
	settled, granting bool
	named             map[tier.Tenant]*tenantNote
}

// tenantNote says when the events of a tenant were logged last.
type tenantNote struct{ exhausted, unavailable, small time.Duration }

func newQuotas(n *Node) *quotas {
	limits := n.Settings.Quota.Sane()
	q := &quotas{node: n, changed: make(chan struct{}, 1), waiting: map[uint64]chan quota.Outcome{}, named: map[tier.Tenant]*tenantNote{}}
	q.pool = quota.Pool{Limits: limits, Self: n.Settings.ID, Zone: n.Settings.Zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), n.boot))}
	q.pool.Start()
	// A process makes fewer than a million grants per millisecond of its life, so that numbers of later processes are greater.
	q.grantor = quota.Grantor{Limits: limits, FirstGrant: n.boot << 20}
	q.grantor.Start(n.LeaseClock.Now(), false)
	return q
}

func (q *quotas) now() time.Duration { return q.node.LeaseClock.Now() }

// Take takes a token from the pool, or from a voter.
func (q *quotas) Take(ctx context.Context, t *vers.Tenant, limit time.Duration) reqst.QuotaResult {
	done := make(chan quota.Outcome, 1)
	q.mu.Lock()
	q.updateVoters()
	now := q.now()
	id, eff := q.pool.Take(now, t.Name, now+limit)
	q.waiting[id] = done
	q.carryOut(eff)
	wake := q.pool.Wake(t.Name)
	q.mu.Unlock()
	select {
	case o := <-done:
		return q.result(t.Name, o)
	default:
	}
	timer := time.NewTimer(wake - now)
	defer timer.Stop()
	for {
		select {
		case o := <-done:
			return q.result(t.Name, o)
		case <-timer.C:
			q.mu.Lock()
			now = q.now()
			q.carryOut(q.pool.Tick(now, t.Name))
			timer.Reset(q.pool.Wake(t.Name) - now)
			q.mu.Unlock()
		case <-ctx.Done():
			q.cancel(t.Name, id, done)
			return reqst.QuotaResult{}
		}
	}
}

func (q *quotas) result(t tier.Tenant, o quota.Outcome) reqst.QuotaResult {
	q.record(t, o)
	return reqst.QuotaResult{Granted: o.Granted, Known: o.Known, RetryAfter: o.RetryAfter, Token: o.Token}
}

// cancel gives up a request that has ended.
func (q *quotas) cancel(t tier.Tenant, id uint64, done chan quota.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pool.Cancel(t, id)
	delete(q.waiting, id)
	select {
	case o := <-done:
		if o.Granted {
			q.carryOut(q.pool.Give(q.now(), t, o.Token))
		}
	default:
	}
}

// Return puts a token back.
func (q *quotas) Return(t *vers.Tenant, token quota.Token) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.carryOut(q.pool.Give(q.now(), t.Name, token))
}

// carryOut passes outcomes on and starts calls. It is called with mu held.
func (q *quotas) carryOut(eff quota.Effects) {
	for _, r := range eff.Results {
		if done := q.waiting[r.Waiter]; done != nil {
			delete(q.waiting, r.Waiter)
			done <- r.Outcome
		}
	}
	for _, c := range eff.Calls {
		q.node.workers.Go(func() { q.call(c) })
	}
}

// call asks a voter for tokens.
func (q *quotas) call(c quota.Call) {
	reply, err := q.ask(c)
	outcome := "answered"
	switch {
	case err != nil:
		outcome = "unanswered"
	case reply.Absent:
		outcome = "absent"
	}
	q.node.Stats.Count("quota_calls", outcome)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.carryOut(q.pool.Fail(q.now(), c.ID))
		return
	}
	q.carryOut(q.pool.Reply(q.now(), c.ID, reply))
}

func (q *quotas) ask(c quota.Call) (r quota.Reply, err error) {
	if c.Voter == q.node.Settings.ID {
		return q.answer(&c.Request), nil
	}
	ctx, cancel := context.WithTimeout(q.node.ctx, quotaCallTimeout)
	defer cancel()
	p, _ := q.node.peer(c.Voter)
	err = q.node.mesh.Call(ctx, p, kindQuota, &c.Request, &r)
	return r, err
}

// updateVoters takes the hosts with a replica from the membership. Those that are no voters say so when they are asked.
func (q *quotas) updateVoters() {
	hosts := q.node.gossip.hosts.Load()
	if hosts == nil || hosts == q.hosts {
		return
	}
	q.hosts = hosts
	var list []quota.Voter
	for i := range *hosts {
		if h := &(*hosts)[i]; h.Replica != "" && h.State != spread.HostDown {
			list = append(list, quota.Voter{ID: h.ID, Zone: h.Zone})
		}
	}
	q.pool.SetVoters(list)
}

// serve answers a host's request for tokens.
func (q *quotas) serve(_ context.Context, s *conn.Stream) {
	var w quota.Request
	if s.Recv(&w) != nil {
		return
	}
	_ = s.Send(q.answer(&w))
}

func (q *quotas) answer(w *quota.Request) quota.Reply {
	var t *vers.Tenant
	if r := q.node.Routes(); r != nil {
		t = r.Tenant(w.Tenant)
	}
	proven := q.Proven == nil || q.Proven()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	voters := q.updateStanding(now)
	q.grantor.Return(now, w.Returned)
	if voters == 0 || !proven || t == nil || t.Rate <= 0 {
		return quota.Reply{Absent: true, NoVoter: !q.standing.Voter()}
	}
	reply := q.grantor.Grant(now, t.Name, t.Rate, t.Burst, voters, w.Wanted)
	if _, depth := q.grantor.Limits.Share(t.Rate, t.Burst, voters); depth < 1 {
		q.logTooSmall(now, t.Name, voters)
	}
	return reply
}

// updateStanding returns the number of voters that share the limits, or 0 while this node has no share. It is called with mu
// held.
func (q *quotas) updateStanding(now time.Duration) int {
	settled, voters := q.standing.Settled(now), q.standing.Granting(now)
	if settled && !q.settled {
		q.grantor.Restart(now)
	}
	q.settled = settled
	if granting := voters > 0; granting != q.granting {
		q.granting = granting
		event.QuotaGranting.Log(q.node.Log, nil, logrus.Fields{"granting": granting, "voters": voters})
	}
	return voters
}

// membersChanged is called by the replica with each new membership.
func (q *quotas) membersChanged(m ctrl.Membership) {
	first := q.first.CompareAndSwap(false, true)
	had := first && (m.Bootstrapped || q.hadShare(m))
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if first && m.Bootstrapped {
		q.grantor.Start(now, true)
		q.standing.Bootstrapped()
	}
	if first {
		q.settled = m.Voter && had
	}
	if m.Voter && !q.membership.Voter {
		q.joined = m.Index
	}
	q.membership = m
	q.standing.Members(now, m.Voter, len(m.Voters), had)
}

// hadShare reports whether this host had a share in a membership before its process started.
func (q *quotas) hadShare(m ctrl.Membership) bool {
	if q.node.Settings.Data == "" {
		return false
	}
	var s savedShare
	found, err := disk.LoadFile(filepath.Join(q.node.Settings.Data, shareFile), &s)
	if err != nil {
		event.LocalCopyFailed.Log(q.node.Log, err, nil)
	}
	return found && s == savedShare{m.Replica, m.Index}
}

// routesChanged is called with each routing table that comes into force.
func (q *quotas) routesChanged(t *vers.Routes) {
	limited := false
	for i := range t.Tenants {
		limited = limited || t.Tenants[i].Rate > 0
	}
	if q.limited.Swap(limited) == limited {
		return
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// watch observes the contact with the control leader, while a tenant has a rate.
func (q *quotas) watch(ctx context.Context) error {
	saved := &shareCopy{node: q.node}
	for ctx.Err() == nil {
		if !q.limited.Load() {
			select {
			case <-q.changed:
			case <-ctx.Done():
			}
			continue
		}
		q.observeWhileLimited(ctx, saved)
	}
	return ctx.Err()
}

func (q *quotas) observeWhileLimited(ctx context.Context, saved *shareCopy) {
	t := time.NewTicker(standingInterval)
	defer t.Stop()
	q.mu.Lock()
	q.standing.Resume(q.now())
	q.mu.Unlock()
	for q.limited.Load() {
		if share, ok := q.observe(ctx); ok {
			saved.update(q.now(), share)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// shareCopy is the copy on the disk of the membership in which this host has a share.
type shareCopy struct {
	node    *Node
	saved   savedShare
	retryAt time.Duration
}

func (c *shareCopy) update(now time.Duration, s savedShare) {
	if s == c.saved || now < c.retryAt || c.node.Settings.Data == "" {
		return
	}
	c.retryAt = now + minCopyInterval
	if c.node.saveCopy(shareFile, s) {
		c.saved = s
	}
}

// observe records the replica's contact with the leader. ok is set while this host has a share that a restart does not
// interrupt.
func (q *quotas) observe(ctx context.Context) (share savedShare, ok bool) {
	r := q.node.replica.Load()
	if r == nil {
		return share, false
	}
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	contact, committed := r.InContact(ctx)
	q.publishShare(committed)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.standing.Observe(now, contact)
	if !q.settled && contact && q.othersCount() {
		q.standing.Settle(now)
	}
	return savedShare{q.membership.Replica, q.membership.Index}, q.updateStanding(now) > 0 && q.standing.Stable(now)
}

// publishShare publishes in this host's record by which membership it counts the shares, once that is committed and no larger
// one counts any more.
func (q *quotas) publishShare(committed tier.Index) {
	q.mu.Lock()
	share := q.membership.Index
	if committed != share || !q.standing.Counting(q.now()) {
		share = 0
	}
	published := q.published
	q.published = max(published, share)
	q.mu.Unlock()
	if share > published {
		q.node.gossip.updateSelf(func(h *spread.Host) { h.Share = share })
	}
}

// othersCount reports whether all other voters count by the membership that made this host a voter, or by a later one. It is
// called with mu held.
func (q *quotas) othersCount() bool {
	if !q.membership.Voter || q.published < q.joined {
		return false
	}
	hosts := q.node.gossip.list()
	for _, id := range q.membership.Voters {
		i := slices.IndexFunc(hosts, func(h spread.Host) bool { return h.ID == id })
		if id != q.node.Settings.ID && (i < 0 || hosts[i].State == spread.HostDown || hosts[i].Share < q.joined) {
			return false
		}
	}
	return true
}
