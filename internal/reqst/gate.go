package reqst

import (
	"context"
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/shed"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// minGateShards is the number of shards from which on the searches of a route are admitted by a gate. With fewer shards, most
// searches get through beside a few full ones, and the refusal behind queues is enough.
const minGateShards = 30

// gateFor returns the gate for the searches of a route, or nil if it has none. It is called with mu held.
func (d *Forwarder) gateFor(now time.Duration, r *vers.Route) *shed.Gate {
	if len(r.Gather) < minGateShards {
		return nil
	}
	g := d.gates[r.Gather[0]]
	if g == nil {
		g = &shed.Gate{}
		g.Start(now, len(r.Gather))
		d.gates[r.Gather[0]] = g
		d.Board.Wide = true
	}
	return g
}

// Admitted returns the least share of the most urgent searches that is admitted, by the first of their services, where it is below 1.
func (d *Forwarder) Admitted() map[tier.Service]float64 {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[tier.Service]float64{}
	for s, g := range d.gates {
		if share := g.LeastShare(now); share < 1 {
			out[s] = share
		}
	}
	return out
}

// askGate returns the refusal of a search for which the servers have no room, or nil.
func (f *forwarding) askGate(now time.Duration) *Outbound {
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.gate = d.gateFor(now, f.route); f.gate == nil {
		return nil
	}
	late := f.answerDue()-now < f.kind.Quick
	spare := f.spareShards()
	ask := shed.Request{Rank: f.tenant.Rank(f.route), Spare: spare, Late: late}
	if f.tenant != nil {
		ask.Tenant, ask.Weight = f.tenant.Name, f.tenant.Rate
	}
	if f.gate.Admit(now, ask) {
		return nil
	}
	d.Stats.Count("searches_shed", f.route.Name)
	out := refusal(tier.ReasonOverload, f.gate.RetryAfter(now, spare))
	return &out
}

// spareShards returns the number of shards that the answer may lack.
func (f *forwarding) spareShards() int { return len(f.services) - minParts(f.route) }

// noteCovered records when the plan has the shards that the answer needs.
func (f *forwarding) noteCovered(now time.Duration) {
	if f.coveredAt == 0 && f.plan.Covered() {
		f.coveredAt = now
	}
}

// tellGate tells the gate when the search had the shards that it needs. Requests that came late, those whose caller left, and
// failures for other reasons than the servers' load tell nothing.
func (f *forwarding) tellGate(ctx context.Context) {
	allowed := f.answerDue() - f.attempts.start
	if f.gate == nil || ctx.Err() != nil || allowed < f.route.Objective()/rejectDivisor {
		return
	}
	share := shed.FailedTime
	switch {
	case f.coveredAt > 0:
		share = float64(f.coveredAt-f.attempts.start) / float64(allowed)
	case !f.plan.Overloaded():
		return
	}
	d := f.forwarder
	d.mu.Lock()
	defer d.mu.Unlock()
	f.gate.Finished(d.Clock.Now(), f.spareShards(), share)
}

// reportQueue tells the gate of the queue that a server reported. It is called with the forwarder's mu held.
func (a *subRequest) reportQueue(now time.Duration, l pace.Load) {
	if a.gate != nil && l.Slots > 0 {
		a.gate.Queue(now, int(a.action.Shard), float64(l.Waiting)/float64(l.Slots))
	}
}
