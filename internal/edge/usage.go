package edge

import "time"

const (
	// usageSeconds is the length of the window in which requests are counted.
	usageSeconds = 10
	// minBusyRequests is the number of requests in that window from which a node counts as busy. It
	// is above the request or two per second that operators and health checks send to every node.
	minBusyRequests = 30
	// busyHold is how long a node stays busy after that. It keeps bursty load from toggling the
	// state, because each change is sent to all hosts.
	busyHold = 30 * time.Second
	// busyShare is the fraction of the fleet's allowances that busy nodes get, if there are any;
	// the other nodes share the rest.
	busyShare = 0.8
	// connShare is the fraction of a server's connections that known nodes use. The rest is
	// reserved for nodes that are not known yet, and for connections of nodes that lost power,
	// which the server still counts.
	connShare = 0.75
)

// usage decides whether a node is busy, that is, whether callers send it significant traffic. It
// does no I/O and is not safe for concurrent use.
type usage struct {
	counts    [usageSeconds]int64
	next      int
	total     int64
	busyUntil time.Duration
}

// record must be called once per second with the total number of requests since the start.
func (u *usage) record(now time.Duration, total int64) (busy bool) {
	u.counts[u.next] = total - u.total
	u.next, u.total = (u.next+1)%usageSeconds, total
	sum := int64(0)
	for _, c := range u.counts {
		sum += c
	}
	if sum >= minBusyRequests {
		u.busyUntil = now + busyHold
	}
	return now < u.busyUntil
}

// hostCounts counts the live nodes that share the fleet's allowances.
type hostCounts struct {
	busy, others int
	// selfBusy is true if this node is one of the busy ones.
	selfBusy bool
}

// share returns this node's fraction of an allowance; the fractions of all nodes add up to at most
// one.
func (c hostCounts) share() float64 {
	switch {
	case c.busy == 0:
		return 1 / float64(max(1, c.others))
	case c.others == 0:
		return 1 / float64(c.busy)
	case c.selfBusy:
		return busyShare / float64(c.busy)
	default:
		return (1 - busyShare) / float64(c.others)
	}
}

// conns returns this node's share of a server's connections, at least one.
func (c hostCounts) conns(limit int) int { return max(1, int(connShare*c.share()*float64(limit))) }
