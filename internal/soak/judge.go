package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxDrainDelay is the time after the acknowledgement of a drain from which the server gets no new requests.
const maxDrainDelay = 3 * time.Second

// checker records what callers, servers and operators observe, and the guarantees that are violated.
type checker struct {
	mu         sync.Mutex
	started    time.Time
	violations []string
	// executions counts how often each sending of a request ran, arrived how often servers got it, by sending and service.
	executions, arrived map[string]int
	// given holds the answers of servers by body; runs and seconds are the numbers of first and second answers.
	given         map[string]given
	runs, seconds int
	// notRun holds the sendings that were refused as not run and so must not run later.
	notRun map[string]bool
	// nonIdempotent holds the ids of requests that must run at most once.
	nonIdempotent map[string]bool
	// acked is the highest routing table version acknowledged to an operator.
	acked int
	// acks holds the acknowledgements of routing tables, proposed the highest version sent to a host, and sent the sendings with
	// their keys.
	acks        []ack
	proposed    int
	sent        map[string]sent
	keysRefused int
	// arrivals holds the arrivals at each service in order of time, for the repeat budget.
	arrivals map[string][]arrival
	// faultyUntil is the time until which faults of links or hosts may delay what hosts learn.
	faultyUntil time.Time
	served      int
	failed      int
	// crashes holds when requests for crashPath reached servers; lateCrashes counts those that were too late.
	crashes     []time.Time
	lateCrashes int
}

// arrival is a request that reached a server; repeat is true if the same sending had reached the service before.
type arrival struct {
	at     time.Time
	repeat bool
}

func newChecker() *checker {
	return &checker{started: time.Now(), executions: map[string]int{}, arrived: map[string]int{}, given: map[string]given{}, notRun: map[string]bool{}, nonIdempotent: map[string]bool{}, arrivals: map[string][]arrival{}, sent: map[string]sent{}}
}

// reportLocked is report for callers that hold the lock.
func (j *checker) reportLocked(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%.3f s: ", time.Since(j.started).Seconds())+fmt.Sprintf(format, args...))
}

// report records a violated guarantee.
func (j *checker) report(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reportLocked(format, args...)
}

// markFaulty records that links or hosts may be faulty for d from now on.
func (j *checker) markFaulty(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if until := time.Now().Add(d); until.After(j.faultyUntil) {
		j.faultyUntil = until
	}
}

// stableLocked reports whether no fault has been active for stabilizationTime. The caller holds the lock.
func (j *checker) stableLocked() bool { return time.Since(j.faultyUntil) > stabilizationTime }

// stabilizationTime is how long hosts must be free of faults before time limits apply to them. It is longer than
// a request that began during a fault can last.
const stabilizationTime = requestDeadline + deadlineMargin + time.Second

// stable is stableLocked for callers that do not hold the lock.
func (j *checker) stable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stableLocked()
}

// recordRun records that a server began to run a sending of a request; afterDrain is true if its drain must have taken
// effect before.
func (j *checker) recordRun(id, service string, afterDrain bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordArrivalLocked(id, service, afterDrain)
	key := id + "/" + service
	j.executions[key]++
	if j.nonIdempotent[id] && j.executions[key] > 1 {
		j.reportLocked("request %s ran %d times though it must not be repeated", id, j.executions[key])
	}
	if j.notRun[id] {
		j.reportLocked("request %s ran after it was refused as not run", id)
	}
}

// recordRefusal is recordRun for a sending that the server refuses to run.
func (j *checker) recordRefusal(id, service string, afterDrain bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordArrivalLocked(id, service, afterDrain)
}

func (j *checker) recordArrivalLocked(id, service string, afterDrain bool) {
	key := id + "/" + service
	j.arrived[key]++
	j.arrivals[service] = append(j.arrivals[service], arrival{time.Now(), j.arrived[key] > 1})
	if afterDrain && j.stableLocked() {
		j.reportLocked("request %s reached a server of %s more than %v after its drain was acknowledged", id, service, maxDrainDelay)
	}
}

// recordNotRun records a refusal that guarantees that a sending of a request has not run, and will not.
func (j *checker) recordNotRun(id string, services ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notRun[id] = true
	for _, s := range services {
		if j.executions[id+"/"+s] > 0 {
			j.reportLocked("request %s was refused as not run, but ran on %s", id, s)
		}
	}
}

// markNonIdempotent records a request that must run at most once.
func (j *checker) markNonIdempotent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nonIdempotent[id] = true
}

// recordOutcome records the response to a request. While there are no faults every request with a valid key must
// succeed.
func (j *checker) recordOutcome(id string, a response) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.status == http.StatusOK {
		j.served++
		return
	}
	j.failed++
	if a.status != http.StatusUnauthorized && j.stableLocked() {
		j.reportLocked("request %s got status %d, timed out %v, while nothing was disturbed", id, a.status, a.timedOut)
	}
}

// recordAck records the version of an acknowledged routing table; lastAcked returns the highest so far.
func (j *checker) recordAck(version int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked = max(j.acked, version)
	j.acks = append(j.acks, ack{version, time.Now()})
}

func (j *checker) lastAcked() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acked
}

// checkBudget checks that each service got at most repeatPercent of first requests and repeatFixed as repeats in every
// repeatWindow.
func (j *checker) checkBudget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, list := range j.arrivals {
		for i := range list {
			firsts, repeats := 0, 0
			for k := i; k < len(list) && list[k].at.Sub(list[i].at) < repeatWindow; k++ {
				if list[k].repeat {
					repeats++
				} else {
					firsts++
				}
			}
			if float64(repeats) > repeatPercent/100.0*float64(firsts)+repeatFixed {
				j.reportLocked("service %s got %d repeats for %d requests in %v", service, repeats, firsts, repeatWindow)
				break
			}
		}
	}
}
