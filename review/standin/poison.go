package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	deskServers = 8
	// contactWindow is contact_window_ms.
	contactWindow = 4 * time.Second
	// maxRetries is the number of retries that a request that has crashed three servers may still reach servers in.
	maxRetries  = 3
	crashLimit  = 3
	poisonPath  = "/desk/poison"
	calmAfter   = contactWindow + 2*time.Second
	poisonPause = 700 * time.Millisecond
	graceTime   = 6 * time.Second
)

// runPoison sends a request that crashes servers until the machines refuse it, stops and starts the machines in turn, and
// lets the request come again at each of them once it has been in touch again.
func runPoison(f *fleet, trouble bool) string {
	b := newBackend(f)
	var crashes atomic.Int64
	var crashedThird atomic.Int64
	b.crash = func(r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, poisonPath) {
			return false
		}
		if crashes.Add(1) == crashLimit {
			crashedThird.Store(time.Now().UnixMilli())
		}
		return true
	}
	for i := range deskServers {
		b.add("desk", fmt.Sprintf("z%d", i%3), 20*time.Millisecond)
	}
	op := &operator{fleet: f}
	state := desiredState{Version: 1, Limits: limits(), Services: []map[string]any{service("desk")}, Routes: []map[string]any{{
		"name": "job-history", "hostname": "a.example", "path_prefix": "/desk/", "kind": "idempotent", "timeout_ms": 2000,
		"target_latency_ms": 200, "priority": 1, "service": "desk", "max_attempts": 1,
	}}}
	if status := op.put(1, encode(&state), 20*time.Second); status != http.StatusOK {
		cannotRun("the desired state was not accepted: %d", status)
	}
	f.waitReady(f.machines, 20*time.Second)
	time.Sleep(3 * time.Second)
	q := newRequester()
	sent, late := 0, 0
	// send sends the request to a machine and reports whether it reached a server.
	send := func(m *machine) bool {
		before := crashes.Load()
		attempt := fmt.Sprintf("%016x", 0x7000+sent)
		sent++
		third := crashedThird.Load()
		r := q.do(m.addr(portFrontend), "a.example", poisonPath, attempt, 2*time.Second)
		reached := crashes.Load() > before
		f.rec.add("requester: %s to %s: status %d, Retry-After %q, reached a server: %v", attempt, m.ip, r.status, r.header.Get("Retry-After"), reached)
		if reached && third != 0 && time.Since(time.UnixMilli(third)) > contactWindow {
			late++
		}
		time.Sleep(poisonPause)
		return reached
	}
	// A harmless request shows that the service is there.
	if r := q.do(f.machines[0].addr(portFrontend), "a.example", "/desk/harmless", "a0", 2*time.Second); r.status != http.StatusOK {
		cannotRun("the service does not answer: %d", r.status)
	}
	for n := 0; n < 12 && crashes.Load() < crashLimit; n++ {
		send(f.machines[n%len(f.machines)])
	}
	for _, m := range f.machines {
		send(m)
	}
	f.rec.add("%d servers have crashed", crashes.Load())
	time.Sleep(calmAfter)
	for _, m := range f.machines {
		if trouble {
			m.signal(syscall.SIGTERM)
			select {
			case <-m.exited:
			case <-time.After(graceTime):
				m.kill()
			}
			time.Sleep(restartDelay)
			m.start()
			f.waitReady([]*machine{m}, 20*time.Second)
			time.Sleep(calmAfter)
		}
		for range crashLimit + 1 {
			send(m)
		}
	}
	f.rec.add("%d servers have crashed; the request reached servers in %d retries later than contact_window_ms after the third crash", crashes.Load(), late)
	if late > maxRetries {
		return fmt.Sprintf("the request reached servers in %d retries, later than contact_window_ms after it had crashed the third", late)
	}
	return ""
}
