package reqst

import (
	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
)

// account keeps the attempts of one request over all nodes that handle it: how many servers may still run a shard, and
// whether any may have run the request. A node that passes the request on leases attempts to the next one, which uses no
// more than these and reports what it has used. Without a report all that it might have used counts. It does no I/O.
type account struct {
	// limit is the number of servers of a shard that may run the request; used is how many may have.
	limit, used int
	// ran is set if a server may have run the request; counted if a node has counted it for the budget of repeats.
	ran, counted bool
	// leased is what the node that holds the request may use, most what it may use if it does not keep to that.
	leased, most int
}

// mustKeep reports whether the next node must be known to keep to a lease: one of an earlier build uses as many attempts as the
// route allows, and some are used already.
func (a *account) mustKeep() bool { return a.used > 0 }

// left returns the attempts that are left for each shard.
func (a *account) left() int { return max(0, a.limit-a.used) }

// lease returns how many attempts for each shard the next node may use, or 0 if it must not get the request. keeps is set if
// that node is known to keep to a lease. One attempt is then kept for a node after it, if there are two or more left and
// another node may be asked.
func (a *account) lease(keeps, another bool) int {
	a.leased, a.most = a.left(), a.limit
	if !keeps && a.mustKeep() {
		a.leased = 0
	}
	if keeps && another && a.leased > 1 {
		a.leased--
	}
	if keeps {
		a.most = a.leased
	}
	return a.leased
}

// exhausted reports whether nothing is left for another node if the one that holds the request does not answer.
func (a *account) exhausted() bool { return a.used+a.most >= a.limit }

// settle counts the outcome of a lease: the answer of the other node, or the error.
func (a *account) settle(out *Outbound, err error) {
	switch {
	case errors.Is(err, conn.ErrNotSent):
	case err != nil:
		a.used += a.most
		a.ran, a.counted = true, true
	case out.Accounted:
		a.used += out.Attempts
		a.ran = a.ran || out.Attempts > 0 || !saysNotRun(out.Status)
		a.counted = a.counted || out.Attempts > 0
	case !saysNotRun(out.Status):
		a.used += a.most
		a.ran, a.counted = true, true
	}
	a.leased, a.most = 0, 0
}
