package reqst

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// maxQuarantineRetryAfter bounds the delay that a caller of a quarantined request is told: the request may be cleared at any time.
const maxQuarantineRetryAfter = time.Minute

// fingerprintOf returns the fingerprint of a caller's request: tenants may send different requests under the same path.
func fingerprintOf(in *Inbound) tier.Fingerprint {
	what := in.Host + in.Target
	if in.Tenant != "" {
		what += "\x00" + string(in.Tenant)
	}
	return Fingerprint(tier.Service(what), in.Body)
}

// checkSuspect returns the refusal of a request that is quarantined, or nil. If a trial of it is due, it goes to one server,
// from the node that sends the trials of this request.
func (d *Forwarder) checkSuspect(f *forwarding) *Outbound {
	now := d.Clock.Now()
	d.mu.Lock()
	s := d.suspects.Check(now, f.fingerprint)
	d.mu.Unlock()
	if !s.Quarantined {
		return nil
	}
	if s.TrialDue && d.admitTrial(now, f) {
		return nil
	}
	d.Stats.Count("requests_quarantined", f.route.Name)
	event.RequestQuarantined.Log(d.Log, nil, logrus.Fields{
		"request": f.in.ID, "route": f.route.Name, "fingerprint": f.fingerprint, "deaths": s.Deaths, "crashes": s.Crashes, "answered": s.Answered,
		"trials": s.Trials, "next_ms": s.Remaining.Milliseconds(),
	})
	out := refusal(tier.ReasonQuarantine, min(s.Remaining, maxQuarantineRetryAfter))
	return &out
}

// admitTrial reports whether a request is sent as a trial, from this node or through another one.
func (d *Forwarder) admitTrial(now time.Duration, f *forwarding) bool {
	node := d.Self
	if d.TrialNode != nil {
		node = d.TrialNode(f.fingerprint)
	}
	switch {
	case node == "" || d.cut.Load():
		return false
	case node != d.Self:
		f.trialNode = node
		return d.relayable(f.in)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	f.trial = d.suspects.BeginTrial(now, f.fingerprint)
	return f.trial
}

// endTrial records the end of a trial. The plan is nil if the request was refused before a server was chosen.
func (d *Forwarder) endTrial(f *forwarding) {
	if !f.trial {
		return
	}
	d.mu.Lock()
	t, counts := d.suspects.EndTrial(d.Clock.Now(), f.fingerprint, tier.TrialID(rand.Uint64()), f.plan != nil && f.plan.Ran())
	d.mu.Unlock()
	if counts {
		d.tellTrial(t)
	}
}

// tellTrial reports the end of a trial, or an answer that cleared a suspect, to the other nodes.
func (d *Forwarder) tellTrial(t Trial) {
	event.TrialEnded.Log(d.Log, nil, logrus.Fields{"fingerprint": t.Fingerprint, "answered": t.Answered})
	if d.TrialEnded != nil {
		d.TrialEnded(t)
	}
}

// relayTrial sends a request through the node that sends its trials. Unless that node did not receive it, it may have run.
func (d *Forwarder) relayTrial(ctx context.Context, f *forwarding, version vers.RoutesVersion) Outbound {
	r, began := f.route, d.Clock.Now()
	deadline := began + f.in.timeLeft(r)
	forward := *f.in
	forward.Relayed, forward.RoutesVersion, forward.TimeLeft = true, version, deadline-began
	out, err := d.relayOnce(ctx, f.trialNode, &forward, r, forward.TimeLeft)
	switch {
	case errors.Is(err, conn.ErrNotSent):
		out = refusal(tier.ReasonQuarantine, firstTrialDelay)
	case err != nil:
		out = failedRelay(err, d.Clock.Now() >= deadline)
	}
	d.recordRelayed(f.in, r, &out, d.Clock.Now()-began, []tier.NodeID{f.trialNode})
	return out
}

// Blame records that a server died while running a request, on this or another node. It
// reports whether the death was new.
func (d *Forwarder) Blame(death Death) (fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.Blame(d.Clock.Now(), death)
}

// LearnTrial records what another node told about a trial.
func (d *Forwarder) LearnTrial(t Trial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects.Learn(d.Clock.Now(), t)
}

// Suspicions returns the deaths under requests and the trials that count, on this or other nodes, at most limit of each.
func (d *Forwarder) Suspicions(limit int) ([]Death, []Trial) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	return d.suspects.Deaths(now, limit), d.suspects.Trials(now, limit)
}

// SuspectSum returns a hash of the quarantined requests and their trials.
func (d *Forwarder) SuspectSum() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspects.Sum(d.Clock.Now())
}
