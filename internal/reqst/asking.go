package reqst

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/shed"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// subRequest is one sub-request sent to a server.
type subRequest struct {
	forwarder   *Forwarder
	out         *conn.Outgoing
	kind        pace.Timing
	route       string
	fingerprint tier.Fingerprint
	action      Action
	careful     bool
	// gathers is set if the answer is to be a part of a gathered one.
	gathers bool
	// gate is told what the server reports; nil if the route has none.
	gate     *shed.Gate
	sent     time.Duration
	deadline time.Duration
	// born is the start of the server to which the sub-request was sent.
	born int64
}

// run sends the sub-request, classifies the result and records it.
func (a *subRequest) run(ctx context.Context) *directReply {
	d := a.forwarder
	rep := &directReply{Reply: conn.Reply{Attempt: a.action.Attempt, Shard: a.action.Shard, Server: a.action.Server, Result: conn.ResultFailed}}
	// The server may have left since it was chosen.
	if direct := d.Directory.Direct(a.action.Server); direct != nil && d.Directory.Accepts(a.action.Server) {
		var err error
		a.born = direct.Born
		rep.answer, err = direct.Do(ctx, a.out, a.deadline-a.sent, a.careful)
		d.classify(rep, err, a.gathers)
		if mayHaveDied(rep) {
			d.Workers.Go(func() { d.watchDeath(direct, a.fingerprint, rep.Reason) })
		}
	} else {
		rep.Result, rep.Reason = conn.ResultNotRun, tier.ReasonNoOwner
	}
	a.record(rep)
	return rep
}

// record updates the board with the outcome of the sub-request.
func (a *subRequest) record(rep *directReply) {
	d, id := a.forwarder, a.action.Server
	now := d.Clock.Now()
	took := now - a.sent
	ratio := float64(took) / float64(a.kind.Base)
	if s := rep.answer.Status; s >= http.StatusMultipleChoices {
		d.Stats.Count("server_failures", a.route+"/"+strconv.Itoa(s))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordStatement(now, id, a.born, rep.answer.Status, rep.answer.Header)
	d.recordReach(now, id, rep)
	if rep.answer.Status != 0 {
		d.deathWatch.alive(now, a.sent, instance{id, a.born})
	}
	b := d.Board
	b.RecordEnded(id)
	if answered := rep.Result == conn.ResultDone; answered || rep.Reason == tier.ReasonCanceled {
		b.RecordDuration(id, a.sent, now, a.kind.Base, answered)
	}
	switch {
	case rep.Result == conn.ResultDone:
		b.RecordAnswer(now, id, ratio)
		if t, cleared := d.suspects.Answer(now, a.fingerprint); cleared {
			d.Workers.Go(func() { d.tellTrial(t) })
		}
		load := parseLoad(rep.answer.Header.Get(d.Names.Load))
		b.RecordLoad(now, id, load)
		a.reportQueue(now, load)
		if !a.action.Hedge {
			d.latencyMedian(a.route).Add(took)
		}
	case rep.Reason == tier.ReasonShed || rep.Reason == tier.ReasonRefused:
		b.RecordRefusal(now, id)
		if a.gate != nil {
			a.gate.Refused(now, int(a.action.Shard))
		}
	case rep.Reason == tier.ReasonServerError || rep.Reason == tier.ReasonTruncated:
		b.RecordError(now, id)
	case rep.Reason == tier.ReasonCanceled || rep.Reason == tier.ReasonNoRoom:
		b.RecordLowerBound(now, id, ratio)
	default:
		b.RecordFailure(now, id)
	}
}

// minLoadFields is the number of required fields in a server's load header: running,
// waiting, slots. Some platforms add the current service time in percent of the usual one.
const minLoadFields = 3

// maxLoad bounds the numbers of a load header, far above what one server can hold.
const maxLoad = 1e6

// parseLoad parses a load header; it returns the zero Load for a malformed one.
func parseLoad(s string) pace.Load {
	var v [minLoadFields + 1]int
	fields := strings.Split(s, ",")
	for i, f := range fields[:min(len(fields), len(v))] {
		n, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || n < 0 || n > maxLoad {
			return pace.Load{}
		}
		v[i] = n
	}
	if len(fields) < minLoadFields {
		return pace.Load{}
	}
	return pace.Load{Running: v[0], Waiting: v[1], Slots: v[2], Slowdown: float64(v[minLoadFields]) / 100}
}

// unsigned reports whether an answer lacks the signature header that the platform
// requires.
func unsigned(h http.Header, name string) bool { return name != "" && h.Get(name) == "" }

// signs reports whether an answer has one signature that can be named in a list of them.
func signs(h http.Header, name string) bool {
	if name == "" {
		return true
	}
	v := h.Values(name)
	return len(v) == 1 && !strings.Contains(v[0], ",")
}

// classify sets the result and reason of a reply from the server's answer or the error.
func (d *Forwarder) classify(rep *directReply, err error, gathers bool) {
	switch {
	case err == nil:
		d.classifyAnswer(rep, gathers)
	case errors.Is(err, conn.ErrNotSent):
		rep.Result, rep.Reason = conn.ResultNotRun, tier.ReasonLost
	case errors.Is(err, conn.ErrRefused):
		rep.Reason = tier.ReasonRefused
	case errors.Is(err, context.Canceled):
		rep.Reason = tier.ReasonCanceled
	case errors.Is(err, conn.ErrNoRoom):
		rep.Reason = tier.ReasonNoRoom
	case errors.Is(err, conn.ErrMalformed):
		rep.Reason = tier.ReasonTruncated
	default:
		rep.Reason = tier.ReasonLost
	}
}

// classifyAnswer sets the result and reason of a reply from the server's answer. A route with one service passes on whatever
// its server answers; a route that gathers needs successes, as a failure has no records.
func (d *Forwarder) classifyAnswer(rep *directReply, gathers bool) {
	h := rep.answer.Header
	switch s := rep.answer.Status; {
	case s == http.StatusMisdirectedRequest:
		rep.Result, rep.Reason = conn.ResultNotRun, tier.ReasonNoOwner
	case h.Get(d.Names.NotRun) != "":
		rep.Result, rep.Reason = conn.ResultNotRun, tier.ReasonShed
	case s >= http.StatusInternalServerError || (gathers && s >= http.StatusMultipleChoices):
		rep.Reason = tier.ReasonServerError
	case gathers && !signs(h, d.Names.Signature):
		rep.Reason = tier.ReasonTruncated
	case s < http.StatusMultipleChoices && (unsigned(h, d.Names.Signature) || h.Get("Content-Encoding") != ""):
		rep.Reason = tier.ReasonTruncated
	default:
		rep.Result, rep.Data, rep.Signature = conn.ResultDone, rep.answer.Body, h.Get(d.Names.Signature)
	}
}
