package soak

import (
	"bytes"
	"net/http"
	"strconv"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// sending is one sending of a request by a caller: n counts the sendings of an idempotent request, which may share an id.
type sending struct {
	id string
	n  int
	// key is the caller's; public is true on a route that needs none.
	key    string
	public bool
}

// String returns the value of the header that names the sending.
func (q sending) String() string { return q.id + "/" + strconv.Itoa(q.n) }

// given is the first answer of a server to a sending of a request. Second answers are not recorded: none of them is an
// answer to any sending.
type given struct {
	sending, id, run string
	shard            byte
	status           int
}

// newRun returns a number for a server's answer.
func (j *checker) newRun() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs++
	return strconv.Itoa(j.runs)
}

// recordAnswer records an answer by its body, before it is sent.
func (j *checker) recordAnswer(body string, g given) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.given[body] = g
}

// recordSecond counts a second answer.
func (j *checker) recordSecond() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seconds++
}

// checkAnswer checks that a response which is not the node's own is, as a whole, the answer that a server gave to this
// sending of the request.
func (j *checker) checkAnswer(q sending, a response) {
	if a.status != http.StatusOK && len(a.body) == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	g, ok := j.ownLocked(q, a.status, a.body)
	if !ok {
		return
	}
	if id, run := a.header.Get(tier.HeaderRequestID), a.header.Get(headerRun); id != g.id || run != g.run {
		j.reportLocked("response to %s has the header of request %q, run %q, and the body of run %s", q, id, run, g.run)
	}
}

// checkParts checks that each part of a gathered response is a success that a server gave to this sending, and returns
// the number of shards in it.
func (j *checker) checkParts(q sending, a response) int {
	const size = stand.RecordsPerAnswer * stand.RecordBytes
	j.mu.Lock()
	defer j.mu.Unlock()
	found := map[byte]bool{}
	for rest, last := a.body, []byte(nil); len(rest) > 0; {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		if g, ok := j.ownLocked(q, a.status, part); ok {
			if found[g.shard] {
				j.reportLocked("response to %s has shard %d twice", q, g.shard)
			}
			found[g.shard] = true
		}
		if last != nil && bytes.Compare(last, part) < 0 {
			j.reportLocked("response to %s has its records out of order", q)
		}
		last = part
	}
	return len(found)
}

// ownLocked returns the server's answer with this body, and reports it if it is not an answer to this sending or had
// another status. The caller holds the lock.
func (j *checker) ownLocked(q sending, status int, body []byte) (given, bool) {
	g, ok := j.given[string(body)]
	switch {
	case !ok:
		j.reportLocked("response %d to %s has a body that no server sent: %q", status, q, body)
	case g.sending != q.String():
		j.reportLocked("response %d to %s is of run %s for %s, which the server answered by %d", status, q, g.run, g.sending, g.status)
	case g.status != status:
		j.reportLocked("response %d to %s is of run %s, which the server answered by %d", status, q, g.run, g.status)
	}
	return g, ok
}
