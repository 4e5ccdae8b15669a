package terms

import (
	"math"
	"time"
)

// permitLife is how long an unused permit stays valid. It bounds the bursts of hosts that have sent nothing for a while:
// all of them together may send what the limit allows in this time, on top of the rate.
const permitLife = 500 * time.Millisecond

// pacer issues permits for requests at a rate.
type pacer struct {
	at time.Duration
	// issued is the number of permits issued so far, with the fraction of the next one; used is how many of them are used
	// or have expired.
	issued, used float64
}

// advance issues the permits that are due at a rate since the last call.
func (p *pacer) advance(now time.Duration, rate Rate) {
	p.issued += float64(rate) * max(0, now-p.at).Seconds()
	p.at = now
	p.used = max(p.used, math.Floor(p.issued-float64(rate)*permitLife.Seconds()))
}

// next returns when a permit is available at a rate: now, or later.
func (p *pacer) next(now time.Duration, rate Rate) time.Duration {
	missing := p.used + 1 - p.issued
	if missing <= 0 {
		return now
	}
	if rate <= 0 {
		return now + maxWait
	}
	return now + min(maxWait, time.Duration(missing/float64(rate)*float64(time.Second)))
}
