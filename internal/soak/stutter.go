package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Shares of the requests, in percent, that a server with the habit fails, refuses or answers twice.
const (
	failPercent    = 40
	refusePercent  = 30
	stutterPercent = 75
	// copyPercent of the second answers are copies, anonymousPercent lack the request id.
	copyPercent      = 25
	anonymousPercent = 15
	// maxLateness bounds how late a second answer comes on an idle connection.
	maxLateness = 10 * time.Millisecond
)

// habit is a way in which a server treats a share of its requests. A server that stutters fails some too: only then do
// its second answers differ from what a caller may get.
type habit int

const (
	fails habit = iota
	refuses
	stutters
	habits
)

// addHabit adds n faults that give a server a habit, which lasts until all of them have ended.
func (s *server) addHabit(h habit, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.habits[h] += n
}

// servicePlan is how a server treats one request.
type servicePlan struct {
	status      int
	delay       time.Duration
	endless     bool
	endlessKind int
	afterDrain  bool
}

func (s *server) plan(method string) servicePlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endlessKind++
	p := servicePlan{status: http.StatusOK, delay: s.delay, endless: s.endless, endlessKind: s.endlessKind}
	p.afterDrain = !s.drainedBy.IsZero() && time.Now().After(s.drainedBy)
	switch {
	case p.endless:
	case s.habits[refuses] > 0 && percent(s.rand, refusePercent):
		p.status = http.StatusServiceUnavailable
	case s.habits[fails]+s.habits[stutters] > 0 && percent(s.rand, failPercent):
		p.status = http.StatusInternalServerError
		if method == http.MethodGet && percent(s.rand, 50) {
			p.status = http.StatusNotFound
		}
	}
	return p
}

func percent(r *rand.Rand, share int) bool { return r.IntN(100) < share }

// moment is when a second answer is sent: at once, after a delay, or when the next answer on the connection is due.
type moment int

const (
	momentNever moment = iota
	momentBehind
	momentIdle
	momentNext
	moments
)

// second returns a second answer to a request, and when it is due.
func (s *server) second(first reply) (out reply, m moment, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.habits[stutters] == 0 || !percent(s.rand, stutterPercent) {
		return reply{}, momentNever, 0
	}
	s.checker.recordSecond()
	out = first
	switch {
	case percent(s.rand, copyPercent):
	case first.status != http.StatusOK:
		out.status, out.notRun = http.StatusOK, false
	case percent(s.rand, 50):
		out.status, out.notRun = http.StatusServiceUnavailable, true
	default:
		out.status = http.StatusInternalServerError
	}
	if percent(s.rand, anonymousPercent) {
		out.id = ""
	}
	return out, momentBehind + moment(s.rand.IntN(int(moments-momentBehind))), time.Duration(1 + s.rand.Int64N(int64(maxLateness)))
}

// answer writes the second answer that was held back, the first answer, and the second one when it is due.
func (s *server) answer(c *serverConn, first reply) error {
	second, m, late := s.second(first)
	out := slices.Concat(c.held, first.encode())
	c.held = nil
	switch m {
	case momentBehind:
		out = append(out, second.encode()...)
	case momentNext:
		c.held = second.encode()
	case momentNever, momentIdle, moments:
	}
	err := c.write(out)
	if m == momentIdle {
		s.wait.Add(1)
		go s.answerLate(c, second, late)
	}
	return err
}

func (s *server) answerLate(c *serverConn, second reply, late time.Duration) {
	defer s.wait.Done()
	select {
	case <-s.stop:
	case <-time.After(late):
		// An error means that the connection has ended, which the reader of the connection sees.
		_ = c.write(second.encode())
	}
}
