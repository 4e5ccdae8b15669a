package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainBound is within which time of the acknowledgement a leaving server gets nothing new.
const drainBound = 3 * time.Second

// judge gathers what callers, servers and operators saw, and what of it breaks a promise.
type judge struct {
	mu     sync.Mutex
	began  time.Time
	breaks []string
	// runs counts the runs of requests by id.
	runs map[string]int
	// refused are requests that must not run: they were answered "not run".
	refused map[string]bool
	once    map[string]bool
	// acked is the highest routing table that an operator got an acknowledgement for.
	acked int
	// arrivals and requests are times by service, for the budget of repeats.
	arrivals map[string][]arrival
	// troubled is until when faults of links or hosts may delay what hosts know.
	troubled time.Time
	served   int
	failed   int
}

type arrival struct {
	at    time.Time
	again bool
}

func newJudge() *judge {
	return &judge{began: time.Now(), runs: map[string]int{}, refused: map[string]bool{}, once: map[string]bool{}, arrivals: map[string][]arrival{}}
}

func (j *judge) broken(format string, args ...any) {
	j.breaks = append(j.breaks, fmt.Sprintf("%.3f s: ", time.Since(j.began).Seconds())+fmt.Sprintf(format, args...))
}

// fail notes a broken promise.
func (j *judge) fail(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(format, args...)
}

// trouble notes that links or hosts are disturbed for a while.
func (j *judge) trouble(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if until := time.Now().Add(d); until.After(j.troubled) {
		j.troubled = until
	}
}

// calm reports whether nothing has been disturbed for as long as hosts may
// need to hear of everything.
func (j *judge) calm() bool { return time.Since(j.troubled) > contactWindow }

// contactWindow is for how long a host must be undisturbed before bounds of
// time hold for it: longer than a request that began under a fault lasts.
const contactWindow = deadline + late + time.Second

// quiet is calm for those that do not hold the lock.
func (j *judge) quiet() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.calm()
}

// ran notes that a server began to run a request.
func (j *judge) ran(id, service string, late bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key := id + "/" + service
	j.runs[key]++
	j.arrivals[service] = append(j.arrivals[service], arrival{time.Now(), j.runs[key] > 1})
	if j.once[id] && j.runs[key] > 1 {
		j.broken("request %s ran %d times though it must not be repeated", id, j.runs[key])
	}
	if j.refused[id] && j.once[id] {
		j.broken("request %s ran after it was refused as not run", id)
	}
	if late && j.calm() {
		j.broken("request %s reached a server of %s more than %v after its drain was acknowledged", id, service, drainBound)
	}
}

// refuse notes a refusal that promises that the request has not run.
func (j *judge) refuse(id, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[id] = true
	if j.once[id] && j.runs[id+"/"+service] > 0 {
		j.broken("request %s was refused as not run, but ran", id)
	}
}

// mark notes a request that must not be repeated.
func (j *judge) mark(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.once[id] = true
}

// count notes what became of a request. While nothing is disturbed each is served.
func (j *judge) count(id string, a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.status == http.StatusOK {
		j.served++
		return
	}
	j.failed++
	if j.calm() {
		j.broken("request %s got status %d, late %v, while nothing was disturbed", id, a.status, a.late)
	}
}

// acknowledged notes that a table is accepted; newest returns the highest so far.
func (j *judge) acknowledged(version int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acked = max(j.acked, version)
}

func (j *judge) newest() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acked
}

// budget checks that in every window each service got no more repeats than allowed.
func (j *judge) budget(window time.Duration, ratio, fixed float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, list := range j.arrivals {
		for i := range list {
			firsts, again := 0, 0
			for k := i; k < len(list) && list[k].at.Sub(list[i].at) < window; k++ {
				if list[k].again {
					again++
				} else {
					firsts++
				}
			}
			if float64(again) > ratio*float64(firsts)+fixed {
				j.broken("service %s got %d repeats for %d requests in %v", service, again, firsts, window)
				break
			}
		}
	}
}
