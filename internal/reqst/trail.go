package reqst

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// sampleOneIn is the sampling rate of successful requests in the log, as one in N.
	// Sampling depends on the request's id, so that all nodes log the same requests.
	sampleOneIn = 256
	// maxLoggedAttempts is the maximum number of attempts listed in one log line.
	maxLoggedAttempts = 12
)

// attemptRecord is the log record of one sub-request.
type attemptRecord struct {
	shard  tier.Shard
	server tier.ServerID
	hedge  bool
	sent   time.Duration
	ended  time.Duration
	reason tier.Reason
	status int
	use    conn.Use
	open   bool
}

// attemptLog records the sub-requests of one request for the log.
type attemptLog struct {
	start   time.Duration
	records []attemptRecord
}

func (t *attemptLog) sent(now time.Duration, a Action) {
	for len(t.records) <= a.Attempt {
		t.records = append(t.records, attemptRecord{})
	}
	t.records[a.Attempt] = attemptRecord{shard: a.Shard, server: a.Server, hedge: a.Hedge, sent: now, open: true}
}

// ended records the end of an attempt; status is 0 if there was no answer.
func (t *attemptLog) ended(now time.Duration, attempt int, why tier.Reason, status int, use conn.Use) {
	if attempt < len(t.records) {
		r := &t.records[attempt]
		r.ended, r.reason, r.status, r.use, r.open = now, why, status, use, false
	}
}

// describeProblems describes the sub-requests that failed, are still open or took longer
// than slow.
func (t *attemptLog) describeProblems(now, slow time.Duration) []string {
	var out []string
	for i := range t.records {
		r := &t.records[i]
		if (!r.open && r.reason == tier.ReasonNone && r.ended-r.sent <= slow) || len(out) == maxLoggedAttempts {
			continue
		}
		why, end := string(r.reason), r.ended
		if why != "" && r.status >= http.StatusMultipleChoices {
			why += ":" + strconv.Itoa(r.status)
		}
		if r.open {
			why, end = "open", now
		}
		if r.hedge {
			why = "hedge " + why
		}
		out = append(out, strconv.Itoa(int(r.shard))+" "+string(r.server)+" +"+strconv.FormatInt((r.sent-t.start).Milliseconds(), 10)+
			"ms for "+strconv.FormatInt((end-r.sent).Milliseconds(), 10)+"ms "+r.describeUse()+why)
	}
	return out
}

// describeUse describes the connection of an attempt and the request's place on it, if they are known.
func (r *attemptRecord) describeUse() string {
	if r.use == (conn.Use{}) {
		return ""
	}
	return "conn=" + strconv.FormatUint(r.use.Conn, 10) + "/" + strconv.Itoa(r.use.Place) + " "
}

func sampled(id string) bool { return xxhash.Sum64String(id)%sampleOneIn == 0 }

// log records statistics, and writes one line for a request that failed, was late or was
// sampled.
func (f *forwarding) log(out *Outbound) {
	d := f.forwarder
	now := d.Clock.Now()
	failed := out.Status >= http.StatusInternalServerError || out.Status == http.StatusTooManyRequests
	d.Stats.Latency("route", f.route.Name, now-f.attempts.start)
	d.Stats.Count("requests", f.route.Name+"/"+strconv.Itoa(out.Status))
	if out.Status == http.StatusServiceUnavailable {
		d.Stats.Latency("refusal", f.route.Name, now-f.attempts.start)
	}
	if failed {
		d.Stats.Count("requests_failed", f.route.Name+"/"+string(out.Reason))
	}
	late := !failed && now > f.target
	if late {
		d.Stats.Count("requests_late", f.route.Name)
	}
	if (failed || late) && !d.failureLog.Allow(now) {
		d.Stats.Count("log_lines_dropped", "failures")
		return
	}
	if !failed && !late && !sampled(f.in.ID) {
		return
	}
	e := event.RequestServed
	if failed {
		e = event.RequestFailed
	}
	done, missing, hedges := f.plan.Counts()
	e.Log(d.Log, nil, withTenant(f.in, logrus.Fields{
		"request": f.in.ID, "route": f.route.Name, "table": f.routesVersion, "status": out.Status, "reason": out.Reason,
		"took_ms": (now - f.attempts.start).Milliseconds(), "left_ms": (f.deadline - now).Milliseconds(), "base_ms": f.kind.Base.Milliseconds(),
		"late": late, "parts": done, "missing": missing, "behind": f.lateShards, "hedges": hedges, "tries": f.attempts.describeProblems(now, time.Duration(hedgeEarlyFactor*float64(f.kind.Base))),
	}))
}
