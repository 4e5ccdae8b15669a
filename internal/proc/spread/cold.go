package spread

import "time"

// coldTolerance is how far the end of a server's warm-up may move before the other hosts are told: announcements are rounded
// and arrive with varying delays.
const coldTolerance = 500 * time.Millisecond

// unchanged reports whether an announcement says nothing that other hosts need to know. They need to know when a server becomes
// cold, again or for longer, and that it is warm: a host that gets a record later counts its warm-up time from then.
func (e *serverEntry) unchanged(now time.Duration, r *Server) bool {
	if !e.rec.sameContent(r) {
		return false
	}
	if r.RestMs <= 0 {
		return e.rec.RestMs <= 0
	}
	return e.rec.RestMs > 0 && now+r.RestMs.Duration() <= e.coldUntil+coldTolerance
}
