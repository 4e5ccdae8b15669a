package conn

import (
	"container/heap"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// meanWeight is the weight of a new sample in the mean service time: 1/8.
const meanWeight = 8

// Ticket is one request that wants a slot of a server.
type Ticket struct {
	// Rank orders classes; 0 is the most urgent.
	Rank int
	// Deadline is when the request is worthless.
	Deadline time.Duration
	// Solo asks for the server alone, with no other request beside it.
	Solo bool
	// Print is the request's fingerprint.
	Print tier.Fingerprint
	// Grant receives ReasonNone when the ticket may run, else why it was refused.
	Grant chan tier.Reason

	seq   uint64
	at    int
	began time.Duration
}

// Slots admits requests to one server: at most Limit at a time, the others
// wait in order of class and deadline. It is pure and not safe for
// concurrent use; Grant channels need room for one value.
type Slots struct {
	// Limit is the number of slots.
	Limit int
	// MaxQueue is the most tickets that wait.
	MaxQueue int
	// Unsafe queues whatever comes, for traces that show what refusal prevents.
	Unsafe bool

	running int
	solo    bool
	mean    time.Duration
	seq     uint64
	queue   ticketHeap
	closed  bool
}

// Running returns the number of slots in use.
func (s *Slots) Running() int { return s.running }

// Queued returns the number of waiting tickets.
func (s *Slots) Queued() int { return len(s.queue) }

// Mean returns the mean service time, or 0 before the first answer.
func (s *Slots) Mean() time.Duration { return s.mean }

// Wait returns the expected wait of a new ticket of the lowest class.
func (s *Slots) Wait() time.Duration {
	free := s.Limit - s.running
	if free > 0 && len(s.queue) == 0 {
		return 0
	}
	return s.mean * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.Limit))
}

// Offer runs, queues or refuses t. A refusal is ReasonOverload where t would
// not be served before its deadline or the queue is full.
func (s *Slots) Offer(now time.Duration, t *Ticket) (run bool, refused tier.Reason) {
	if s.closed {
		return false, tier.ReasonNoOwner
	}
	if now >= t.Deadline {
		return false, tier.ReasonDeadline
	}
	if len(s.queue) == 0 && s.fits(t) {
		s.start(now, t)
		return true, tier.ReasonNone
	}
	hopeless := len(s.queue) >= s.MaxQueue || now+s.waitFor(t)+s.mean > t.Deadline
	if hopeless && !s.Unsafe {
		return false, tier.ReasonOverload
	}
	s.seq++
	t.seq = s.seq
	heap.Push(&s.queue, t)
	return false, tier.ReasonNone
}

// waitFor returns the expected wait behind the tickets that go before t.
func (s *Slots) waitFor(t *Ticket) time.Duration {
	ahead := 0
	for _, q := range s.queue {
		if q.Rank < t.Rank || (q.Rank == t.Rank && q.Deadline <= t.Deadline) {
			ahead++
		}
	}
	return s.mean * time.Duration(ahead+1) / time.Duration(max(1, s.Limit))
}

func (s *Slots) fits(t *Ticket) bool {
	if s.solo {
		return false
	}
	if t.Solo {
		return s.running == 0
	}
	return s.running < s.Limit
}

func (s *Slots) start(now time.Duration, t *Ticket) {
	s.running++
	s.solo = t.Solo
	t.began = now
}

// Done frees the slot of t. sample is false where the time taken says
// nothing of the server, as after a cancellation.
func (s *Slots) Done(now time.Duration, t *Ticket, sample bool) {
	s.running--
	if t.Solo {
		s.solo = false
	}
	if sample {
		s.observe(now - t.began)
	}
	s.Next(now)
}

func (s *Slots) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / meanWeight
}

// Next grants freed slots and refuses tickets that can no longer be served in time.
func (s *Slots) Next(now time.Duration) {
	for len(s.queue) > 0 {
		t := s.queue[0]
		if now+s.mean/2 > t.Deadline {
			heap.Pop(&s.queue)
			t.Grant <- tier.ReasonOverload
			continue
		}
		if !s.fits(t) {
			return
		}
		heap.Pop(&s.queue)
		s.start(now, t)
		t.Grant <- tier.ReasonNone
	}
}

// Leave takes a waiting ticket out of the queue; false means that it was
// granted or refused before.
func (s *Slots) Leave(t *Ticket) bool {
	if t.at >= len(s.queue) || t.at < 0 || s.queue[t.at] != t {
		return false
	}
	heap.Remove(&s.queue, t.at)
	return true
}

// Close refuses all waiting tickets and all later ones.
func (s *Slots) Close(why tier.Reason) {
	s.closed = true
	for _, t := range s.queue {
		t.at = -1
		t.Grant <- why
	}
	s.queue = nil
}

// ticketHeap orders tickets by class, deadline and arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push adds a ticket at the end.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.at = len(*h)
	*h = append(*h, t)
}

// Pop takes the last ticket.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.at = -1
	return t
}
