package conn

import (
	"container/heap"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// meanDivisor sets the weight of a new sample in the moving average of the service time: 1/8.
const meanDivisor = 8

// Ticket is one request for a slot of a server.
type Ticket struct {
	// Rank is the priority of the request's class; 0 is the most urgent.
	Rank int
	// Deadline is the time after which an answer is useless.
	Deadline time.Duration
	// Solo requires that no other request runs on the server at the same time.
	Solo bool
	// Fingerprint is the request's fingerprint.
	Fingerprint tier.Fingerprint
	// Grant receives ReasonNone when the ticket may run, otherwise the reason for the refusal.
	Grant chan tier.Reason

	seq       uint64
	heapIndex int
	startedAt time.Duration
}

// Slots admits requests to one server: at most Limit run at a time, and the others wait in order of
// class and deadline. It does no I/O, takes the time as an argument and is not safe for concurrent
// use. Grant channels need a buffer of one value.
type Slots struct {
	// Limit is the number of slots.
	Limit int
	// MaxQueue is the maximum number of waiting tickets.
	MaxQueue int
	// DisableRefusal disables the refusal of tickets because of overload, for traces that show what
	// this refusal prevents.
	DisableRefusal bool

	running     int
	soloRunning bool
	mean        time.Duration
	seq         uint64
	queue       ticketHeap
	closed      bool
}

// Running returns the number of slots in use.
func (s *Slots) Running() int { return s.running }

// Queued returns the number of waiting tickets.
func (s *Slots) Queued() int { return len(s.queue) }

// Mean returns the moving average of the service time, or 0 before the first sample.
func (s *Slots) Mean() time.Duration { return s.mean }

// ExpectedWait returns the expected wait of a new ticket of the lowest class.
func (s *Slots) ExpectedWait() time.Duration {
	free := s.Limit - s.running
	if free > 0 && len(s.queue) == 0 {
		return 0
	}
	return s.mean * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.Limit))
}

// Offer runs, queues or refuses t. The refusal is ReasonOverload if the queue is full or t would
// not be served before its deadline.
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
	unservable := len(s.queue) >= s.MaxQueue || now+s.waitFor(t)+s.mean > t.Deadline
	if unservable && !s.DisableRefusal {
		return false, tier.ReasonOverload
	}
	s.seq++
	t.seq = s.seq
	heap.Push(&s.queue, t)
	return false, tier.ReasonNone
}

// waitFor returns the expected wait of t behind the tickets that are served before it.
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
	if s.soloRunning {
		return false
	}
	if t.Solo {
		return s.running == 0
	}
	return s.running < s.Limit
}

func (s *Slots) start(now time.Duration, t *Ticket) {
	s.running++
	s.soloRunning = t.Solo
	t.startedAt = now
}

// Done frees the slot of t. sample is false if the time taken says nothing about the server, as
// after a cancellation.
func (s *Slots) Done(now time.Duration, t *Ticket, sample bool) {
	s.running--
	if t.Solo {
		s.soloRunning = false
	}
	if sample {
		s.observe(now - t.startedAt)
	}
	s.ProcessQueue(now)
}

func (s *Slots) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / meanDivisor
}

// ProcessQueue grants free slots to waiting tickets and refuses tickets that can no longer be
// served in time.
func (s *Slots) ProcessQueue(now time.Duration) {
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

// Remove removes a waiting ticket from the queue; it returns false if the ticket was granted or
// refused before.
func (s *Slots) Remove(t *Ticket) bool {
	if t.heapIndex >= len(s.queue) || t.heapIndex < 0 || s.queue[t.heapIndex] != t {
		return false
	}
	heap.Remove(&s.queue, t.heapIndex)
	return true
}

// Close refuses all waiting tickets and all later ones.
func (s *Slots) Close(reason tier.Reason) {
	s.closed = true
	for _, t := range s.queue {
		t.heapIndex = -1
		t.Grant <- reason
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
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = -1
	return t
}
