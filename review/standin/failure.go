package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shards        = 10
	copies        = 3
	searchTime    = 20 * time.Second
	searchPerS    = 60
	searchBudget  = 2 * time.Second
	failingShare  = 0.4
	failingServer = 5
)

// gatherState returns a desired state with one route that gathers from all shards.
func gatherState(version uint64) []byte {
	s := desiredState{Version: version, Limits: limits()}
	var names []string
	for i := range shards {
		names = append(names, shardName(i))
		s.Services = append(s.Services, service(shardName(i)))
	}
	s.Routes = []map[string]any{{
		"name": "profile-lookup", "hostname": "a.example", "path_prefix": "/search/", "kind": "idempotent", "timeout_ms": 2000,
		"target_latency_ms": 200, "priority": 1, "gather": names, "max_attempts": 2, "top_k": 20, "min_shard_fraction": 0.89,
	}}
	return encode(&s)
}

func shardName(i int) string { return fmt.Sprintf("shard%d", i) }

// runFailure lets servers fail part of their requests with status 404 while their status check is good, and checks the parts
// that successes name.
func runFailure(f *fleet, trouble bool) string {
	b := newBackend(f)
	for i := range shards {
		for c := range copies {
			b.add(shardName(i), fmt.Sprintf("z%d", c), 28*time.Millisecond)
		}
	}
	grey := map[string]bool{}
	for i := range failingServer {
		grey[fmt.Sprintf("i-%s-%d-b1", shardName(i*2), i*2*copies)] = true
	}
	var failing atomic.Bool
	b.fail = func(id string, _ *http.Request) int {
		if failing.Load() && grey[id] && rand.Float64() < failingShare {
			return http.StatusNotFound
		}
		return 0
	}
	op := &operator{fleet: f}
	if status := op.put(1, gatherState(1), 20*time.Second); status != http.StatusOK {
		cannotRun("the desired state was not accepted: %d", status)
	}
	f.waitReady(f.machines, 20*time.Second)
	time.Sleep(3 * time.Second)
	failing.Store(trouble)
	q := newRequester()
	var mu sync.Mutex
	broken, wrong, served := "", 0, 0
	var open sync.WaitGroup
	for n := range int(searchTime.Seconds()) * searchPerS {
		m := f.machines[n%len(f.machines)]
		open.Add(1)
		go func() {
			defer open.Done()
			attempt := fmt.Sprintf("%016x", 0x5000+n)
			r := q.do(m.addr(portFrontend), "a.example", fmt.Sprintf("/search/%d", n), attempt, searchBudget)
			parts := list(r.header, "Part-Signatures")
			f.rec.add("requester: %s to %s: status %d, %d parts, missing %q", attempt, m.ip, r.status, len(parts), r.header.Get("Missing-Parts"))
			if r.status/100 != 2 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			for _, p := range parts {
				b.mu.Lock()
				ran, known := b.runs[p]
				b.mu.Unlock()
				if known && ran.attempt == attempt && ran.status/100 == 2 {
					continue
				}
				wrong++
				why := fmt.Sprintf("the success to %s names the part %q of %s, whose answer had status %d", attempt, p, ran.server, ran.status)
				f.rec.add("%s", why)
				if broken == "" {
					broken = why
				}
			}
		}()
		time.Sleep(time.Second / searchPerS)
	}
	open.Wait()
	f.rec.add("%d successes, %d wrong parts", served, wrong)
	if served < searchPerS {
		cannotRun("only %d successes", served)
	}
	return broken
}
