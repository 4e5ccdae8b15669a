package event

import (
	"sync"
	"time"
)

// perSecond is the maximum number of lines of a Limit.
const perSecond = 20

// Limit bounds the lines of events that callers or servers can cause at any rate, to 20 per second.
type Limit struct {
	mu     sync.Mutex
	second int64
	count  int
}

// Allow reports whether a line may be logged at the time now.
func (l *Limit) Allow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now / time.Second); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= perSecond
}
