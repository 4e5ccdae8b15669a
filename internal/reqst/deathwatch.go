package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// deathWatchTime is how long after a lost sub-request another instance at the server's address means
	// that the server died under it: crashed servers are back some seconds later, and announce themselves about
	// once a second.
	deathWatchTime = 10 * time.Second
	// maxLosses is the maximum number of losses that are watched.
	maxLosses = 1024
	// refusalDialInterval and refusalDialBurst bound the dials that check whether a server that reset a new connection is gone:
	// after a loss of power servers that still count the connections from before reset thousands, and each dial takes a
	// connection of such a server.
	refusalDialInterval = time.Second
	refusalDialBurst    = 4
)

// Fate is what a Directory knows about an instance of a server.
type Fate uint8

// FateServing means that the server accepts new requests, FateLeaving that it ends on purpose or is unknown,
// FateReplaced that another instance has announced itself at its address or under its id.
const (
	FateServing Fate = iota
	FateLeaving
	FateReplaced
)

// loss is a sub-request that ended without an answer.
type loss struct {
	fingerprint tier.Fingerprint
	server      instance
	address     string
	at          time.Duration
}

func (l *loss) death() Death {
	return Death{Fingerprint: l.fingerprint, Server: l.server.server, Born: l.server.born}
}

// deathWatch holds the losses of which it is not yet known whether the server died under them. It does no I/O
// and is not safe for concurrent use.
type deathWatch struct {
	losses []loss
	// dials is the number of dials that are allowed after refusals, as of dialsAt; limited is set once it counts.
	dials   float64
	dialsAt time.Duration
	limited bool
}

// takeDial reports whether a server that refused a connection may be dialed now, and counts the dial.
func (w *deathWatch) takeDial(now time.Duration) bool {
	if !w.limited {
		w.limited, w.dials, w.dialsAt = true, refusalDialBurst, now
	}
	w.dials = min(refusalDialBurst, w.dials+float64(now-w.dialsAt)/float64(refusalDialInterval))
	w.dialsAt = now
	if w.dials < 1 {
		return false
	}
	w.dials--
	return true
}

func (w *deathWatch) add(l loss) {
	if len(w.losses) >= maxLosses {
		w.losses = w.losses[1:]
	}
	w.losses = append(w.losses, l)
}

// drop removes the losses that are too long ago, and of the others those for which match returns true; it
// returns the latter.
func (w *deathWatch) drop(now time.Duration, match func(*loss) bool) (out []loss) {
	kept := w.losses[:0]
	for _, l := range w.losses {
		switch {
		case now-l.at >= deathWatchTime:
		case match(&l):
			out = append(out, l)
		default:
			kept = append(kept, l)
		}
	}
	w.losses = kept
	return out
}

// alive handles an answer of a server to what was sent at a time: the server has survived what was lost before.
func (w *deathWatch) alive(now, sent time.Duration, server instance) {
	if len(w.losses) > 0 {
		w.drop(now, func(l *loss) bool { return l.server == server && l.at <= sent })
	}
}

// left handles that a server leaves on purpose.
func (w *deathWatch) left(now time.Duration, server instance) {
	if len(w.losses) > 0 {
		w.drop(now, func(l *loss) bool { return l.server == server })
	}
}

// started handles the announcement of a server, and returns the losses of servers that it replaces.
func (w *deathWatch) started(now time.Duration, address string, server instance) []loss {
	if len(w.losses) == 0 {
		return nil
	}
	return w.drop(now, func(l *loss) bool {
		if l.server.server == server.server {
			return l.server.born < server.born
		}
		return l.address == address && l.server.born <= server.born
	})
}

// mayHaveDied reports whether the end of a sub-request may mean that the server's process died: its connection
// broke, at any point. A new connection that is reset at once may have been refused,
// or the process died before it had read the request.
func mayHaveDied(rep *directReply) bool {
	if rep.Result != conn.ResultFailed {
		return false
	}
	return rep.Reason == tier.ReasonLost || rep.Reason == tier.ReasonRefused || (rep.Reason == tier.ReasonTruncated && rep.answer.Ended)
}

// watchDeath finds out whether a server died while it ran a request that ended without an answer: its address
// no longer listens, or another instance announces itself there.
func (d *Forwarder) watchDeath(direct *conn.Direct, f tier.Fingerprint, reason tier.Reason) {
	lost := time.Now()
	l := loss{f, instance{direct.Server, direct.Born}, direct.Address, d.Clock.Now()}
	switch d.Directory.Fate(direct.Server, direct.Born) {
	case FateLeaving:
		return
	case FateReplaced:
		d.serverDied(l.death())
		return
	case FateServing:
	}
	d.mu.Lock()
	d.deathWatch.add(l)
	dial := reason != tier.ReasonRefused || d.deathWatch.takeDial(l.at)
	d.mu.Unlock()
	if dial && direct.NotListening(d.base, lost) {
		d.serverDied(l.death())
	}
}

// serverDied records a death that this node has found, and reports it to the others if it is new.
func (d *Forwarder) serverDied(death Death) {
	d.mu.Lock()
	death.Answered = d.suspects.WasAnswered(death.Fingerprint)
	fresh := d.suspects.Blame(d.Clock.Now(), death)
	d.mu.Unlock()
	if fresh && d.ServerDied != nil {
		d.ServerDied(death)
	}
}

// ServerStarted handles the announcement of a server that accepts requests.
func (d *Forwarder) ServerStarted(address string, id tier.ServerID, born int64) {
	d.mu.Lock()
	replaced := d.deathWatch.started(d.Clock.Now(), address, instance{id, born})
	d.mu.Unlock()
	for i := range replaced {
		d.serverDied(replaced[i].death())
	}
}

// ServerLeft handles that a server leaves on purpose.
func (d *Forwarder) ServerLeft(id tier.ServerID, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deathWatch.left(d.Clock.Now(), instance{id, born})
}
