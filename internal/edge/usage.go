package edge

import "time"

const (
	// usageSeconds is the window in which requests are counted.
	usageSeconds = 10
	// busyRequests is the number of requests in that window from which on callers
	// use a node in earnest: operators and checks send every node a request or
	// two a second.
	busyRequests = 30
	// busyFor is how long a node stays busy after that: each change is told to
	// all hosts, and load comes in waves.
	busyFor = 30 * time.Second
	// busyShare is the part of the fleet's allowances for the busy nodes, while
	// there are any; all others share the rest.
	busyShare = 0.8
	// connShare is the part of a server's connections that nodes use: the rest is
	// for nodes that are not known yet, and for the connections of nodes that
	// lost power, which the server still counts.
	connShare = 0.75
)

// usage tells whether callers use a node in earnest. It is pure and not safe
// for concurrent use.
type usage struct {
	counts [usageSeconds]int64
	at     int
	total  int64
	until  time.Duration
}

// note takes the number of requests since the start, once a second.
func (u *usage) note(now time.Duration, total int64) (busy bool) {
	u.counts[u.at] = total - u.total
	u.at, u.total = (u.at+1)%usageSeconds, total
	sum := int64(0)
	for _, c := range u.counts {
		sum += c
	}
	if sum >= busyRequests {
		u.until = now + busyFor
	}
	return now < u.until
}

// crowd counts the live nodes among which the fleet's allowances are shared.
type crowd struct {
	busy, others int
	// self says that this node is one of the busy ones.
	self bool
}

// share returns this node's part of an allowance; the parts of all nodes add up to one at most.
func (c crowd) share() float64 {
	switch {
	case c.busy == 0:
		return 1 / float64(max(1, c.others))
	case c.others == 0:
		return 1 / float64(c.busy)
	case c.self:
		return busyShare / float64(c.busy)
	default:
		return (1 - busyShare) / float64(c.others)
	}
}

// conns returns this node's part of a server's connections, at least one.
func (c crowd) conns(limit int) int { return max(1, int(connShare*c.share()*float64(limit))) }
