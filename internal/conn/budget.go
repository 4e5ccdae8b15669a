package conn

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// DefaultHeldBytes is the default of a process's Budget.
const DefaultHeldBytes = 32 << 20

// ErrNoRoom means that the process holds so many bytes of other bodies that there is no room for
// this one.
var ErrNoRoom = errors.New("no room for the body in the budget of this process")

// Budget bounds the bytes of message bodies that a process holds at a time. The zero value and nil
// have no bound. It is safe for concurrent use.
type Budget struct {
	// Limit is the maximum number of bytes; 0 means no limit.
	Limit int64

	held atomic.Int64
}

// Held returns the number of bytes that are held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

func (b *Budget) take(n int64) bool {
	if b == nil || b.Limit == 0 {
		return true
	}
	if b.held.Add(n) > b.Limit {
		b.held.Add(-n)
		return false
	}
	return true
}

func (b *Budget) giveBack(n int64) {
	if b != nil && b.Limit != 0 {
		b.held.Add(-n)
	}
}

// Reservation is the part of a budget that one body occupies. The zero value reserves nothing. It is
// not safe for concurrent use.
type Reservation struct {
	budget *Budget
	n      int64
	// caller, if not nil, is the connection that the body came over, and charged what is charged to it.
	caller  *Caller
	charged int64
}

// charge charges n more bytes to the caller.
func (r *Reservation) charge(n int64) error {
	if r.caller == nil {
		return nil
	}
	if !r.caller.grow(n) {
		return ErrNoRoom
	}
	r.charged += n
	return nil
}

// grow reserves n more bytes.
func (r *Reservation) grow(n int64) error {
	if n <= 0 {
		return nil
	}
	if !r.budget.take(n) {
		return ErrNoRoom
	}
	r.n += n
	return nil
}

// Release gives the bytes back; further calls do nothing.
func (r *Reservation) Release() {
	r.budget.giveBack(r.n)
	r.n = 0
	if r.charged > 0 {
		r.caller.grow(-r.charged)
		r.charged = 0
	}
}

// Reservations are those of one request. They are released together, as its answer may be merged
// from the bodies of many servers. It is safe for concurrent use.
type Reservations struct {
	mu       sync.Mutex
	list     []Reservation
	released bool
}

// Add adds a reservation, or releases it if the others have been released.
func (r *Reservations) Add(v Reservation) {
	if v.n == 0 && v.charged == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		v.Release()
		return
	}
	r.list = append(r.list, v)
}

// Release releases all reservations, including those that are added later.
func (r *Reservations) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	for i := range r.list {
		r.list[i].Release()
	}
	r.list = nil
}
