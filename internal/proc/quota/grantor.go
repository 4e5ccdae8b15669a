package quota

import (
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// maxWanted bounds the tokens of one grant.
	maxWanted = 1024
	// maxReturned bounds the entries of Request.Returned that are read.
	maxReturned = 256
	// maxWait bounds the wait that a reply states.
	maxWait = time.Minute
	// sweepInterval is the interval at which full buckets are dropped.
	sweepInterval = 10 * time.Second
)

// Grantor holds a voter's share of the tenants' limits. A tenant without a bucket has a full one.
type Grantor struct {
	// Limits must be the same on all voters.
	Limits Limits
	// FirstGrant is the number of the first grant; it must be greater than all numbers of earlier processes of this host.
	FirstGrant uint64

	buckets map[tier.Tenant]*bucket
	last    uint64
	// started is when the first token may have been granted. An earlier process may have granted the whole share just before,
	// so that buckets start empty; fullAt is when nothing of that counts any more, and buckets are as if they had started full.
	started, fullAt time.Duration
	swept           time.Duration
}

// bucket is a voter's share of one tenant's limit.
type bucket struct {
	// level is the number of tokens at the time at, with the rate since. ifFull is what it would be had the bucket started full.
	level, ifFull, rate, depth float64
	at                         time.Duration
	// grants are those whose tokens may still be in use, oldest first.
	grants []grant
	// promised is the number of hosts that were told to wait for a token that is not there yet.
	promised float64
}

type grant struct {
	number uint64
	at     time.Duration
	count  int
}

// Start initializes the Grantor. If fresh is set, no earlier process can have granted tokens, so that buckets start full.
func (g *Grantor) Start(now time.Duration, fresh bool) {
	g.buckets, g.last, g.started, g.swept = map[tier.Tenant]*bucket{}, g.FirstGrant, now, now
	g.fullAt = now
	if !fresh {
		g.fullAt += g.Limits.Window + g.Limits.Life()
	}
}

// Restart makes the buckets start empty again at now, because this voter had no share until then.
func (g *Grantor) Restart(now time.Duration) {
	g.buckets, g.started, g.fullAt = map[tier.Tenant]*bucket{}, now, now+g.Limits.Window+g.Limits.Life()
}

// Grant grants up to wanted tokens of a tenant with this limit, as one of n voters.
func (g *Grantor) Grant(now time.Duration, t tier.Tenant, rate, burst float64, n, wanted int) Reply {
	g.sweep(now)
	perSecond, depth := g.Limits.Share(rate, burst, n)
	b := g.bucket(now, t, perSecond, depth)
	b.advance(now, perSecond, depth, g)
	granted := min(wanted, int(min(b.level, maxWanted)))
	var r Reply
	if granted > 0 {
		g.last++
		b.level, b.ifFull = b.level-float64(granted), b.ifFull-float64(granted)
		b.grants = append(b.grants, grant{g.last, now, granted})
		r.Granted, r.Grant = granted, g.last
	}
	if granted < wanted {
		r.WaitMs = tier.ToMillis(b.wait())
		b.promised++
	}
	return r
}

// Return puts unused tokens back.
func (g *Grantor) Return(now time.Duration, list []Returned) {
	for i, r := range list {
		if b := g.buckets[r.Tenant]; b != nil && i < maxReturned {
			b.putBack(now, r, g.Limits.Life())
		}
	}
}

func (g *Grantor) bucket(now time.Duration, t tier.Tenant, rate, depth float64) *bucket {
	b := g.buckets[t]
	if b == nil {
		b = &bucket{level: depth, ifFull: depth, rate: rate, depth: depth, at: now}
		if now < g.fullAt {
			b.level, b.at = 0, g.started
		}
		g.buckets[t] = b
	}
	return b
}

// advance brings the bucket to the time now and to a limit, which may be new. The level and the tokens in use together stay
// within what a bucket without returns can have granted.
func (b *bucket) advance(now time.Duration, rate, depth float64, g *Grantor) {
	elapsed := now - b.at
	refill := min(b.rate, rate) * max(0, elapsed).Seconds()
	full := b.at < g.fullAt && now >= g.fullAt
	b.at, b.rate, b.depth = now, rate, depth
	b.promised = max(0, b.promised-refill)
	life := g.Limits.Life()
	most := max(0, min(depth, depth+rate*life.Seconds()-float64(b.inUse(now, life))))
	b.level, b.ifFull = min(b.level+refill, most), min(b.ifFull+refill, most)
	if full {
		b.level = b.ifFull
	}
}

// inUse drops the grants that have expired and returns the number of tokens in the others.
func (b *bucket) inUse(now, life time.Duration) (tokens int) {
	expired := 0
	for _, x := range b.grants {
		if now-x.at > life {
			expired++
			continue
		}
		tokens += x.count
	}
	b.grants = append(b.grants[:0], b.grants[expired:]...)
	return tokens
}

func (b *bucket) putBack(now time.Duration, r Returned, life time.Duration) {
	for i := range b.grants {
		x := &b.grants[i]
		if x.number == r.Grant && now-x.at <= life && r.Count > 0 {
			n := min(r.Count, x.count)
			x.count -= n
			b.level, b.ifFull = b.level+float64(n), b.ifFull+float64(n)
			return
		}
	}
}

// wait returns the time until there is a token for a host that asks now, behind those that were told to wait before. Without
// that, all hosts would ask again at the same moment.
func (b *bucket) wait() time.Duration {
	if b.depth < 1 || b.rate <= 0 {
		return maxWait
	}
	missing := max(0, 1-b.level) + b.promised
	return time.Duration(min(maxWait.Seconds(), missing/b.rate) * float64(time.Second))
}

// sweep drops buckets that are full, so that the memory is bounded by the tenants with requests.
func (g *Grantor) sweep(now time.Duration) {
	if now-g.swept < sweepInterval || now < g.fullAt {
		return
	}
	g.swept = now
	for t, b := range g.buckets {
		if now-b.at > g.Limits.Window+g.Limits.Life() && b.rate > 0 && b.filled(now) {
			delete(g.buckets, t)
		}
	}
}

// filled reports whether the bucket has been without requests for long enough to be full, whatever its depth was.
func (b *bucket) filled(now time.Duration) bool {
	return b.rate*(now-b.at).Seconds() >= b.depth
}
