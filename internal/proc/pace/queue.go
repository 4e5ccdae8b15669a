package pace

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// queueDelayDivisor divides a request's target to give the response time from
// which on a server's reported queue is used. Servers may report false queues,
// and a queue that does not delay answers does no harm.
const queueDelayDivisor = 2

// queueDelay returns the expected time until an answer of a server with a
// queue, or 0 if no queue is known. The time since the report is subtracted,
// because the server has worked on its queue meanwhile. A report older than
// loadMaxAge is ignored, so that a false one does not keep requests away
// permanently.
func (b *Board) queueDelay(now time.Duration, k Timing, id tier.ServerID) time.Duration {
	s := b.servers[id]
	if s == nil || s.queuePerSlot == 0 || now-s.loadAt >= loadMaxAge || s.currentRatio(now)*float64(k.Base) < float64(k.Target)/queueDelayDivisor {
		return 0
	}
	return time.Duration(float64(k.Quick)*(1+s.queuePerSlot)) - (now - s.loadAt)
}

// Behind reports whether every candidate has a queue because of which an answer
// is expected to take longer than limit. It is false for an empty list.
func (b *Board) Behind(now time.Duration, k Timing, candidates []tier.Candidate, limit time.Duration) bool {
	for _, c := range candidates {
		if b.queueDelay(now, k, c.Server) <= limit {
			return false
		}
	}
	return len(candidates) > 0
}
