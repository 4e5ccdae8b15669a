package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// desiredState is one version of the desired state, as the operator sends it.
type desiredState struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}
}

// operator sends desired states and reads them back.
type operator struct {
	fleet *fleet
	next  atomic.Uint32

	mu sync.Mutex
	// acked is the highest version with an ack, ackedAt the time of that ack.
	acked   uint64
	ackedAt time.Time
}

const (
	// minBackoff and maxBackoff bound the pause before the operator calls the next machine.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// answerTimeout is how long the operator waits for an answer.
	answerTimeout = 2 * time.Second
)

// put sends a desired state to one machine after the other until it gets a clear answer, which it returns; 0 if none came
// in time.
func (o *operator) put(version uint64, body []byte, limit time.Duration) int {
	f := o.fleet
	end := time.Now().Add(limit)
	for pause := minBackoff; time.Now().Before(end); pause = min(2*pause, maxBackoff) {
		m := f.machines[int(o.next.Add(1))%len(f.machines)]
		status, _ := f.call(http.MethodPut, m.control()+"/configuration", body, answerTimeout)
		f.rec.add("operator: PUT version %d to %s: %d", version, m.ip, status)
		switch {
		case status == http.StatusOK:
			o.mu.Lock()
			if version > o.acked {
				o.acked, o.ackedAt = version, time.Now()
			}
			o.mu.Unlock()
			return status
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return status
		}
		time.Sleep(pause)
	}
	return 0
}

// read reads the desired state back from a machine; version is 0 without a clear answer.
func (o *operator) read(m *machine) (version uint64) {
	status, b := o.fleet.call(http.MethodGet, m.control()+"/configuration", nil, answerTimeout)
	var s desiredState
	if status == http.StatusOK && json.Unmarshal(b, &s) == nil {
		version = s.Version
	}
	o.fleet.rec.add("operator: GET from %s: status %d, version %d", m.ip, status, version)
	return version
}

func encode(s *desiredState) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		cannotRun("%v", err)
	}
	return b
}

// manyRoutes returns a desired state with a number of routes.
func manyRoutes(version uint64, routes int) []byte {
	s := desiredState{Version: version, Limits: limits(), Services: []map[string]any{service("desk")}}
	for i := range routes {
		s.Routes = append(s.Routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": "a.example", "path_prefix": fmt.Sprintf("/p%d/", i), "kind": "idempotent",
			"timeout_ms": 800 + version%100, "target_latency_ms": 80, "priority": 1, "service": "desk", "max_attempts": 2,
		})
	}
	return encode(&s)
}
