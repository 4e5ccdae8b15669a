package reqst

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// coldInterval is the number of choices among servers of which some are cold, of which one prefers a cold server: it warms up
// by requests, but slows them down. The others use a cold server only if no warm one is allowed.
const coldInterval = 4

// Selection restricts the choice of servers. Its methods are called for every choice and must not block.
type Selection interface {
	// Restricted reports whether any zone is evacuated or any server cold.
	Restricted() bool
	// Evacuated reports whether a server's zone is evacuated.
	Evacuated(id tier.ServerID) bool
	// Cold returns what this node may send to a cold server; ok is false for a warm one.
	Cold(now time.Duration, id tier.ServerID) (c terms.Cold, ok bool)
}

// pick chooses a server of a list. It returns its index, or -1, and the servers that are not evacuated. It is called with mu held.
func (d *Forwarder) pick(now time.Duration, k pace.Timing, list []tier.Candidate) (at int, open []tier.Candidate) {
	if d.restricted() {
		return d.pickRestricted(now, k, list)
	}
	return d.Board.Pick(now, k, list), list
}

func (d *Forwarder) restricted() bool { return d.Selection != nil && d.Selection.Restricted() }

// pickRestricted is pick while some zone is evacuated or some server cold: the list of an open request was made when it arrived,
// and its later choices must keep to orders that came in between.
func (d *Forwarder) pickRestricted(now time.Duration, k pace.Timing, list []tier.Candidate) (at int, open []tier.Candidate) {
	var warm, cold []tier.Candidate
	for _, c := range list {
		if d.Selection.Evacuated(c.Server) {
			continue
		}
		open = append(open, c)
		if _, isCold := d.Selection.Cold(now, c.Server); isCold {
			cold = append(cold, c)
		} else {
			warm = append(warm, c)
		}
	}
	order := [2][]tier.Candidate{warm, cold}
	if len(cold) > 0 {
		if d.coldChoices++; d.coldChoices%coldInterval == 0 {
			order = [2][]tier.Candidate{cold, warm}
		}
	}
	for _, part := range order {
		if i := d.Board.Pick(now, k, part); i >= 0 {
			return indexOf(list, part[i].Server), open
		}
	}
	return -1, open
}

func indexOf(list []tier.Candidate, id tier.ServerID) int {
	for i, c := range list {
		if c.Server == id {
			return i
		}
	}
	return -1
}
