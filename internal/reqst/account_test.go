package reqst

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sassafrasring.dev/sassafrasring/internal/conn"
)

// TestLeases lists what the next node may use after what happened at the nodes before it.
func TestLeases(t *testing.T) {
	served := func(used int) Outbound { return Outbound{Status: http.StatusOK, Attempts: used, Accounted: true} }
	failed := func(used int) Outbound {
		return Outbound{Status: http.StatusBadGateway, Attempts: used, Accounted: true}
	}
	refused := Outbound{Status: http.StatusServiceUnavailable, Accounted: true}
	former := Outbound{Status: http.StatusBadGateway}
	for _, c := range []struct {
		name         string
		limit, used  int
		keeps        bool
		out          Outbound
		err          error
		first, later int
		ran          bool
	}{
		{"used before, by a node of an earlier build", 2, 1, false, Outbound{}, nil, 0, 0, false},
		{"one attempt, lost", 1, 0, true, Outbound{}, errNoAnswer, 1, 0, true},
		{"one attempt, not received", 1, 0, true, Outbound{}, conn.ErrNotSent, 1, 1, false},
		{"one attempt, refused", 1, 0, true, refused, nil, 1, 1, false},
		{"two attempts, lost", 2, 0, true, Outbound{}, errNoAnswer, 1, 1, true},
		{"three attempts, lost", 3, 0, true, Outbound{}, errNoAnswer, 2, 1, true},
		{"three attempts, one used", 3, 0, true, failed(1), nil, 2, 2, true},
		{"three attempts, all of the lease used", 3, 0, true, served(2), nil, 2, 1, true},
		{"an earlier build, lost", 3, 0, false, Outbound{}, errNoAnswer, 3, 0, true},
		{"an earlier build, failed", 3, 0, false, former, nil, 3, 0, true},
		{"an earlier build, refused", 3, 0, false, Outbound{Status: http.StatusServiceUnavailable}, nil, 3, 3, false},
		{"not known to keep to leases before it answers", 3, 0, false, failed(1), nil, 3, 0, true},
		{"used before, nothing left", 2, 2, true, Outbound{}, nil, 0, 0, false},
		{"used before, one left", 2, 1, true, failed(1), nil, 1, 0, true},
	} {
		a := account{limit: c.limit, used: c.used}
		require.Equal(t, c.first, a.lease(c.keeps, true), c.name)
		if c.first > 0 {
			a.settle(&c.out, c.err)
		}
		require.Equal(t, c.ran, a.ran, c.name)
		require.Equal(t, c.later, a.lease(c.keeps, false), c.name)
	}
}

// TestAttemptsOfAllNodesStayWithinTheLimit passes a request on between nodes of both builds, which use any part of what they
// may, while messages and answers are lost. No more servers run it than the limit, and a refusal is never passed on as "not
// run" after a server may have run it.
func TestAttemptsOfAllNodesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		a := account{limit: limit}
		ran, counted := 0, 0
		for i := range maxRelays {
			former := rapid.Bool().Draw(t, "former build")
			keeps := !former && rapid.Bool().Draw(t, "known")
			attempts := a.lease(keeps, i+1 < maxRelays)
			if attempts == 0 {
				break
			}
			ranBefore, repeat := a.ran, a.counted
			var out Outbound
			var err error
			if rapid.Bool().Draw(t, "received") {
				allowed := attempts
				if former {
					allowed = limit
				}
				used := rapid.IntRange(0, allowed).Draw(t, "used")
				ran += used
				if !repeat && used > 0 {
					counted++
				}
				out = Outbound{Status: http.StatusBadGateway, Attempts: used, Accounted: !former}
				if used == 0 {
					out.Status = http.StatusServiceUnavailable
				}
				if former {
					out.Attempts = 0
				}
				if rapid.Bool().Draw(t, "answer lost") {
					out, err = Outbound{}, errNoAnswer
				}
			} else {
				err = conn.ErrNotSent
			}
			a.settle(&out, err)
			answer := out
			if err == nil && ranBefore {
				answer = out.afterRun()
			}
			if err == nil && saysNotRun(answer.Status) {
				require.Zero(t, ran, "a refusal promises that no server has run the request")
			}
			require.LessOrEqual(t, counted, 1, "a request is counted once")
			require.LessOrEqual(t, ran, limit)
		}
	})
}
