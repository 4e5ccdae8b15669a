package main

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a server.
const (
	serverSlots   = 5
	serverQueue   = 30
	recordsInPart = 25
	recordBytes   = 16
)

// run is one request that a server has run, by the signature of its answer.
type run struct {
	attempt, service, server string
	status                   int
}

// backend is the set of all servers, with what they have run.
type backend struct {
	fleet *fleet
	// fail, if not nil, returns the status with which a server fails a request that it runs; 0 is a success.
	fail func(id string, r *http.Request) int
	// crash, if not nil, reports whether a request crashes the server that runs it.
	crash func(r *http.Request) bool

	mu      sync.Mutex
	runs    map[string]run
	count   atomic.Int64
	servers []*server
}

// server is one server of a service.
type server struct {
	backend *backend
	// name is the name of the server; its id is new at each boot.
	name    string
	boots   int
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	// down is how long the server is down after a crash.
	down time.Duration

	mu    sync.Mutex
	born  int64
	seq   int
	beat  string
	http  *http.Server
	alive bool
	slots chan struct{}
	wait  atomic.Int64
}

func newBackend(f *fleet) *backend { return &backend{fleet: f, runs: map[string]run{}} }

// add starts a server of a service.
func (b *backend) add(service, zone string, work time.Duration) *server {
	b.mu.Lock()
	s := &server{
		backend: b, name: fmt.Sprintf("i-%s-%d", service, len(b.servers)), service: service, zone: zone, work: work,
		slots: make(chan struct{}, serverSlots), down: 2 * time.Second,
	}
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	s.start("127.0.0.1:0")
	go s.heartbeats()
	return s
}

func (s *server) start(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("server: %v", err)
	}
	s.mu.Lock()
	s.address, s.born, s.seq, s.alive = l.Addr().String(), time.Now().UnixMilli(), 0, true
	s.boots++
	s.id = fmt.Sprintf("%s-b%d", s.name, s.boots)
	s.http = &http.Server{Handler: s}
	h := s.http
	s.mu.Unlock()
	s.backend.fleet.rec.add("server: %s of %s starts at %s", s.id, s.service, s.address)
	go func() { _ = h.Serve(l) }()
}

// crashNow ends the server, which starts again after some time, with the same id.
func (s *server) crashNow() {
	s.mu.Lock()
	if !s.alive {
		s.mu.Unlock()
		return
	}
	s.alive = false
	h := s.http
	s.mu.Unlock()
	s.backend.fleet.rec.add("server: %s crashes", s.id)
	_ = h.Close()
	time.AfterFunc(s.down, func() { s.start(s.address) })
}

// heartbeats announces the server to the control addresses.
func (s *server) heartbeats() {
	f := s.backend.fleet
	for i := 0; ; i++ {
		s.mu.Lock()
		s.seq++
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": s.seq, "born": s.born,
		})
		alive, beat, id := s.alive, s.beat, s.id
		s.mu.Unlock()
		if alive {
			if beat == "" {
				beat = f.machines[i%len(f.machines)].addr(portControl)
			}
			status, answer := f.call(http.MethodPut, "http://"+beat+"/instances/"+id, body, time.Second)
			var next struct {
				Address string `json:"heartbeat_address"`
			}
			_ = json.Unmarshal(answer, &next)
			s.mu.Lock()
			s.beat = next.Address
			s.mu.Unlock()
			if status/100 != 2 {
				continue
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP answers a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := s.backend
	s.mu.Lock()
	own := s.id
	s.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), s.wait.Load(), serverSlots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", own)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != own {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if s.wait.Add(1) > serverQueue {
		s.wait.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.wait.Add(-1)
	case <-r.Context().Done():
		s.wait.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	_, _ = io.Copy(io.Discard, r.Body)
	n := b.count.Add(1)
	if b.crash != nil && b.crash(r) {
		b.fleet.rec.add("server: %s runs %s, which crashes it", own, attempt)
		s.crashNow()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	status := http.StatusOK
	if b.fail != nil {
		if failure := b.fail(own, r); failure != 0 {
			status = failure
		}
	}
	body := part(n)
	signature := sign(attempt, own, status, n, body)
	b.mu.Lock()
	b.runs[signature] = run{attempt, s.service, own, status}
	b.mu.Unlock()
	w.Header().Set("Response-Signature", signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// part returns records that differ between runs.
func part(n int64) []byte {
	out := make([]byte, 0, recordsInPart*recordBytes)
	for i := range recordsInPart {
		h := sha256.Sum256(binary.BigEndian.AppendUint64(nil, uint64(n)<<8|uint64(i)))
		out = append(out, h[:recordBytes]...)
	}
	return out
}

func sign(attempt, server string, status int, n int64, body []byte) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d|%d|%x", attempt, server, status, n, body))
	return hex.EncodeToString(h[:12])
}

// result is what a requester got for one attempt.
type result struct {
	status int
	header http.Header
	body   []byte
}

// requester sends requests on kept connections.
type requester struct {
	client *http.Client
}

func newRequester() *requester {
	return &requester{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// do sends one attempt with a time budget; status 0 means that no complete answer came.
func (q *requester) do(address, host, path, attempt string, budget time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		cannotRun("%v", err)
	}
	req.Host = host
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Remaining", strconv.FormatInt(budget.Milliseconds(), 10))
	req.Header.Set("Accept-Encoding", "identity")
	resp, err := q.client.Do(req)
	if err != nil {
		return result{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{}
	}
	return result{resp.StatusCode, resp.Header, body}
}

// list returns the entries of a header that holds a list.
func list(h http.Header, name string) (out []string) {
	for _, v := range h.Values(name) {
		for _, e := range strings.Split(v, ",") {
			out = append(out, strings.TrimSpace(e))
		}
	}
	return out
}
