package soak

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestCheckerFindsViolations records one violation of each guarantee and expects the checker to report it.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(j *checker)
		want string
	}{
		{"a write runs twice", func(j *checker) {
			j.markNonIdempotent("w")
			j.recordRun("w", "desk", false)
			j.recordRun("w", "desk", false)
		}, "ran 2 times"},
		{"a write runs after it was refused", func(j *checker) {
			j.markNonIdempotent("w")
			j.recordNotRun("w", "desk")
			j.recordRun("w", "desk", false)
		}, "after it was refused"},
		{"a write that ran is refused", func(j *checker) {
			j.markNonIdempotent("w")
			j.recordRun("w", "desk", false)
			j.recordNotRun("w", "desk")
		}, "but ran"},
		{"a read that ran is refused", func(j *checker) {
			j.recordRun("r", "desk", false)
			j.recordNotRun("r", "desk")
		}, "but ran"},
		{"a search runs after it was refused", func(j *checker) {
			j.recordNotRun("r", "s0", "s1")
			j.recordRun("r", "s1", false)
		}, "after it was refused"},
		{"a leaving server gets new work", func(j *checker) { j.recordRun("r", "s0", true) }, "after its drain was acknowledged"},
		{"a request fails while nothing is disturbed", func(j *checker) { j.recordOutcome("r", response{status: http.StatusBadGateway}) }, "while nothing was disturbed"},
		{"repeats are over the budget", func(j *checker) {
			for range repeatFixed + 2 {
				j.recordRun("r", "s0", false)
			}
			j.checkBudget()
		}, "repeats for 1 requests"},
		{"repeats that are refused are over the budget", func(j *checker) {
			for range repeatFixed + 2 {
				j.recordRefusal("r", "s0", false)
			}
			j.checkBudget()
		}, "repeats for 1 requests"},
		{"a leaving server gets new work and refuses it", func(j *checker) { j.recordRefusal("r", "s0", true) }, "after its drain was acknowledged"},
		{"an answer that no server sent", func(j *checker) {
			j.checkAnswer(askedAgain, response{status: http.StatusOK, body: []byte("x")})
		}, "no server sent"},
		{"an answer without a body", func(j *checker) { j.checkAnswer(askedAgain, response{status: http.StatusOK}) }, "no server sent"},
		{"the answer to an earlier sending with the same id", func(j *checker) {
			a := answered(j, sending{id: "r"}, http.StatusOK, http.StatusOK)
			j.checkAnswer(askedAgain, a)
		}, "for r/0"},
		{"a failure of an earlier sending with the same id", func(j *checker) {
			a := answered(j, sending{id: "r"}, http.StatusNotFound, http.StatusNotFound)
			j.checkAnswer(askedAgain, a)
		}, "for r/0"},
		{"a success where the server failed", func(j *checker) {
			j.checkAnswer(askedAgain, answered(j, askedAgain, http.StatusInternalServerError, http.StatusOK))
		}, "which the server answered by 500"},
		{"a failure where the server succeeded", func(j *checker) {
			j.checkAnswer(askedAgain, answered(j, askedAgain, http.StatusOK, http.StatusInternalServerError))
		}, "which the server answered by 200"},
		{"the header of another answer", func(j *checker) {
			a := answered(j, askedAgain, http.StatusOK, http.StatusOK)
			a.header.Set(headerRun, "other")
			j.checkAnswer(askedAgain, a)
		}, "has the header of"},
		{"the header of another request", func(j *checker) {
			a := answered(j, askedAgain, http.StatusOK, http.StatusOK)
			a.header.Set(tier.HeaderRequestID, "other")
			j.checkAnswer(askedAgain, a)
		}, "has the header of"},
		{"a part that no server sent", func(j *checker) { j.checkParts(askedAgain, gathered(stand.Records("x", 0))) }, "no server sent"},
		{"a part that is not whole", func(j *checker) {
			part := partOf(j, askedAgain, 0, http.StatusOK)
			j.checkParts(askedAgain, gathered(part[:stand.RecordBytes]))
		}, "no server sent"},
		{"a part of an earlier sending with the same id", func(j *checker) {
			j.checkParts(askedAgain, gathered(partOf(j, sending{id: "r"}, 0, http.StatusOK)))
		}, "for r/0"},
		{"a part where the server failed", func(j *checker) {
			j.checkParts(askedAgain, gathered(partOf(j, askedAgain, 0, http.StatusNotFound)))
		}, "which the server answered by 404"},
		{"two answers of one shard", func(j *checker) {
			j.checkParts(askedAgain, gathered(inOrder(partOf(j, askedAgain, 0, http.StatusOK), partOf(j, askedAgain, 0, http.StatusOK))...))
		}, "shard 0 twice"},
		{"a server gets a key", func(j *checker) {
			j.checkTenant("r/0", http.Header{"X-Other": {fixedKey("second")}, "X-Tenant": {"second"}})
		}, "with a key"},
		{"a server gets the tenant that a caller names", func(j *checker) { j.checkTenant("r/0", http.Header{"X-Tenant": {claimedTenant}}) }, "as one of"},
		{"a server gets no tenant", func(j *checker) { j.checkTenant("r/0", http.Header{}) }, "as one of"},
		{"a server gets a tenant on a public route", func(j *checker) { j.checkTenant("public/0", http.Header{"X-Tenant": {"second"}}) }, "of a public route"},
		{"an unknown key runs", func(j *checker) { j.checkTenant("unknown/0", http.Header{"X-Tenant": {"second"}}) }, "as one of"},
		{"a key that was taken away runs", func(j *checker) { j.checkTenant("old/0", http.Header{"X-Tenant": {"first"}}) }, "as one of"},
		{"a key runs as one of its former tenant", func(j *checker) { j.checkTenant("moved/0", http.Header{"X-Tenant": {"first"}}) }, "as one of"},
		{"a valid key is refused", func(j *checker) { j.checkKeyRefused("r/0") }, "which is valid"},
		{"a public route asks for a key", func(j *checker) { j.checkKeyRefused("public/0") }, "which is valid"},
		{"a key that moved is refused", func(j *checker) { j.checkKeyRefused("moved/0") }, "which is valid"},
		{"parts out of order", func(j *checker) {
			list := inOrder(partOf(j, askedAgain, 0, http.StatusOK), partOf(j, askedAgain, 1, http.StatusOK))
			j.checkParts(askedAgain, gathered(list[1], list[0]))
		}, "out of order"},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newChecker()
			sendAll(j)
			c.do(j)
			require.Len(t, j.violations, 1)
			require.Contains(t, j.violations[0], c.want)
		})
	}
}

// sendAll records sendings with all kinds of keys, long after a table of the second epoch was acknowledged.
func sendAll(j *checker) {
	j.acks = []ack{{epochVersions, time.Now().Add(-2 * keyDelay)}, {2 * epochVersions, time.Now()}}
	j.recordProposed(2 * epochVersions)
	for _, q := range []sending{
		{id: "r", key: fixedKey("second")}, {id: "public", public: true}, {id: "unknown", key: unknownKey}, {id: "old", key: epochKey(0)}, {id: "new", key: epochKey(1)}, {id: "moved", key: movingKey},
	} {
		j.recordSent(q)
	}
}

// askedAgain is the second sending of a request, with the id of the first.
var askedAgain = sending{id: "r", n: 1}

// answered records a server's answer and returns it with a status of its own, as a caller gets it.
func answered(j *checker, q sending, first, got int) response {
	run := j.newRun()
	body := "GET  of " + q.String() + "#" + run
	j.recordAnswer(body, given{sending: q.String(), id: q.id, run: run, status: first})
	return response{status: got, header: http.Header{tier.HeaderRequestID: {q.id}, headerRun: {run}}, body: []byte(body)}
}

// partOf records a server's answer to a search and returns its body.
func partOf(j *checker, q sending, shard byte, status int) []byte {
	run := j.newRun()
	body := stand.Records(q.String()+"#"+run, shard)
	j.recordAnswer(string(body), given{sending: q.String(), id: q.id, run: run, shard: shard, status: status})
	return body
}

func inOrder(a, b []byte) [][]byte {
	if bytes.Compare(a, b) < 0 {
		a, b = b, a
	}
	return [][]byte{a, b}
}

func gathered(parts ...[]byte) response {
	return response{status: http.StatusOK, body: bytes.Join(parts, nil)}
}

// TestCheckerAcceptsValidRun records events that violate no guarantee: an idempotent request that repeats within the
// budget, that is sent again after it ran and gets its own answers, one that is refused, and, while a fault is active, a
// failed request and one after a drain.
func TestCheckerAcceptsValidRun(t *testing.T) {
	j := newChecker()
	sendAll(j)
	for id, tenant := range map[string]string{"r/0": "second", "moved/0": "third", "new/0": "first"} {
		j.checkTenant(id, http.Header{"X-Tenant": {tenant}})
	}
	j.checkTenant("public/0", http.Header{})
	j.checkKeyRefused("unknown/0")
	j.checkKeyRefused("old/0")
	j.checkKeyRefused("new/0")
	j.recordRun("r/0", "s0", false)
	j.recordRun("r/0", "s0", false)
	j.markFaulty(time.Hour)
	j.recordSent(sending{id: "old", n: 1, key: epochKey(0)})
	j.checkTenant("old/1", http.Header{"X-Tenant": {"first"}})
	j.recordOutcome("r/0", response{status: http.StatusServiceUnavailable})
	j.recordRun("r/0", "s1", true)
	j.recordRefusal("r/1", "s0", false)
	j.recordNotRun("r/1", "s0")
	j.recordRun("r/2", "s0", false)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		j.checkAnswer(askedAgain, answered(j, askedAgain, status, status))
	}
	j.checkAnswer(askedAgain, response{status: http.StatusBadGateway})
	list := inOrder(partOf(j, askedAgain, 0, http.StatusOK), partOf(j, askedAgain, 1, http.StatusOK))
	require.Equal(t, 2, j.checkParts(askedAgain, gathered(list...)))
	j.checkBudget()
	require.Empty(t, j.violations)
	require.False(t, j.stable())
}
