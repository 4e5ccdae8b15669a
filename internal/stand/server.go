package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// otherRequestID is the request id in an answer that the MixShare fault assigns to the wrong request.
const otherRequestID = "another-request"

// server is one stand-in server. mu is its only lock.
type server struct {
	id      tier.ServerID
	service Service
	zone    tier.Zone
	address string
	certs   string
	writes  *writeCounts

	mu        sync.Mutex
	rand      *rand.Rand
	fault     Fault
	instance  tier.Instance
	holdings  []tier.Holding
	group     int
	started   time.Time
	sequence  uint64
	http      *http.Server
	conns     map[net.Conn]bool
	silenced  map[string]bool
	dead      bool
	totals    Counters
	running   int64
	limit     limitWatch
	connCount atomic.Int64
}

// writeCounts counts how often each write ran on the servers of this process, by the hash of its body.
type writeCounts struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func (l *writeCounts) record(body []byte) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := xxhash.Sum64(body)
	l.counts[h]++
	return l.counts[h] > 1
}

// start listens on the address and serves as a new instance.
func (s *server) start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return tier.At("listen", s.address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = tier.Instance(s.rand.Uint64() | 1)
	s.started, s.sequence = time.Now(), 0
	s.dead = false
	s.conns = map[net.Conn]bool{}
	s.silenced = map[string]bool{}
	s.http = &http.Server{Handler: s.handler()}
	srv := s.http
	limited := &limitListener{l, s}
	if s.certs == "" {
		go func() { _ = srv.Serve(limited) }()
		return nil
	}
	file := filepath.Join(s.certs, string(s.service.Name))
	go func() { _ = srv.ServeTLS(limited, file+".pem", file+".key") }()
	return nil
}

func (s *server) handler() http.Handler {
	if s.service.Routed {
		return http.HandlerFunc(s.routed)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", s.search)
	mux.HandleFunc("POST /write", s.write)
	return mux
}

// crash closes the listener and all connections at once. The server restarts after the RestartMs of the fault, if set.
func (s *server) crash() {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return
	}
	s.dead = true
	s.totals.Deaths++
	srv, restart := s.http, s.fault.RestartMs
	s.mu.Unlock()
	_ = srv.Close()
	if restart > 0 {
		time.AfterFunc(time.Duration(restart)*time.Millisecond, s.revive)
	}
}

func (s *server) revive() {
	s.mu.Lock()
	dead := s.dead
	s.mu.Unlock()
	if dead {
		_ = s.start()
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// requestPlan is how one request is handled, decided at its arrival: its work time and which faults apply.
type requestPlan struct {
	work                                 time.Duration
	shed, truncate, drop, mix, endless   bool
	endlessKind                          int
	poison, silent, overSlots, falseLoad bool
	// limit is the limit that the answer names.
	limit float64
}

// admit draws the plan of a request and counts the request as running unless it is shed.
func (s *server) admit(r *http.Request, body []byte) requestPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.fault
	s.totals.Received++
	if s.limit.record(time.Now()) {
		s.totals.OverLimit++
	}
	j := requestPlan{limit: f.Limit}
	j.poison = f.Poison != "" && strings.Contains(string(body), f.Poison)
	j.silent = s.isSilenced(r)
	j.falseLoad = f.Lie
	j.overSlots = s.running >= int64(s.service.Slots)
	j.shed = j.overSlots || s.rand.Float64() < f.ShedShare
	j.truncate = s.rand.Float64() < f.TruncateShare
	j.drop = s.rand.Float64() < f.DropShare
	j.mix = s.rand.Float64() < f.MixShare
	if f.EndlessShare > 0 {
		j.endless, j.endlessKind = s.rand.Float64() < f.EndlessShare, s.rand.IntN(len(endlessAnswers))
	}
	j.work = s.workTime()
	if j.overSlots {
		s.totals.Overrun++
	}
	if j.shed {
		s.totals.Shed++
		return j
	}
	s.running++
	s.totals.MaxOpen = max(s.totals.MaxOpen, s.running)
	return j
}

// isSilenced reports whether requests on the connection of r get no answer. Connections that were open when the Silent
// fault was set stay silenced until the server restarts.
func (s *server) isSilenced(r *http.Request) bool {
	return s.silenced[r.RemoteAddr]
}

func (s *server) workTime() time.Duration {
	w := s.service.WorkMs * (0.5 + s.rand.Float64())
	if s.fault.Slow > 0 {
		w *= s.fault.Slow
	}
	if s.rand.Float64() < s.fault.StragglerShare {
		w *= s.fault.StragglerFactor
	}
	if age := time.Since(s.started); s.service.ColdMs > 0 && age < millis(s.service.ColdMs) {
		w *= 4
	}
	return millis(w)
}

func (s *server) finish(done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if done {
		s.totals.Done++
	} else {
		s.totals.Cancelled++
	}
}

// receive reads the request and applies the steps that all kinds of request share: admission, shedding and the faults
// that prevent an answer. ok is false if the request needs no further handling.
func (s *server) receive(w http.ResponseWriter, r *http.Request) (j requestPlan, body []byte, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return j, nil, false
	}
	s.trackConn(r.RemoteAddr)
	j = s.admit(r, body)
	w.Header().Set(tier.HeaderRequestID, r.Header.Get(tier.HeaderRequestID))
	w.Header().Set(tier.HeaderServer, string(s.id))
	if j.limit > 0 {
		w.Header().Set(tier.HeaderLimit, strconv.FormatFloat(j.limit, 'f', -1, 64))
	}
	switch {
	case j.shed:
		w.Header().Set(tier.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return j, nil, false
	case j.poison:
		s.finish(false)
		s.crash()
		return j, nil, false
	case j.silent:
		<-r.Context().Done()
		s.finish(false)
		return j, nil, false
	}
	return j, body, true
}

// trackConn records an open connection, so that the Silent fault can apply to it.
func (s *server) trackConn(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.silenced[addr]; !known {
		s.silenced[addr] = false
	}
}

func (s *server) search(w http.ResponseWriter, r *http.Request) {
	j, body, ok := s.receive(w, r)
	if !ok {
		return
	}
	version, shard := r.Header.Get(tier.HeaderVersion), r.Header.Get(tier.HeaderShard)
	if !s.holds(version, shard) {
		s.finish(false)
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !simulateWork(r.Context(), j.work) {
		s.finish(false)
		return
	}
	s.finish(true)
	w.Header().Set(tier.HeaderVersion, version)
	w.Header().Set(tier.HeaderShard, shard)
	s.sendAnswer(w, r, j, s.searchAnswer(version, shard, body))
}

func simulateWork(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// searchAnswer returns the body of an answer to a search: server, index version, shard and the hash of the query.
func (s *server) searchAnswer(version, shard string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"server":%q,"version":%s,"shard":%q,"echo":%d`, s.id, version, shard, xxhash.Sum64(body))
	if s.service.DataBytes > 0 {
		fmt.Fprintf(&b, `,"fill":%q`, strings.Repeat("x", s.service.DataBytes))
	}
	b.WriteString("}")
	return b.Bytes()
}

func (s *server) holds(version, shard string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if version == strconv.FormatUint(uint64(h.Snapshot.Version), 10) && shard == fmt.Sprintf("%d/%d", h.Shard, h.Snapshot.Shards) {
			return true
		}
	}
	return false
}

func (s *server) write(w http.ResponseWriter, r *http.Request) {
	j, body, ok := s.receive(w, r)
	if !ok {
		return
	}
	s.runWrite(r, j, body)
	s.sendAnswer(w, r, j, fmt.Appendf(nil, `{"server":%q,"confirmed":%d}`, s.id, xxhash.Sum64(body)))
}

// runWrite counts a write and simulates its work, which goes on if the caller disconnects.
func (s *server) runWrite(r *http.Request, j requestPlan, body []byte) {
	again := s.writes.record(body)
	s.mu.Lock()
	s.totals.Writes++
	if again {
		s.totals.Doubled++
	}
	s.mu.Unlock()
	simulateWork(context.WithoutCancel(r.Context()), j.work)
	s.finish(true)
}

// routed serves a caller's request as forwarded by a node: a POST is a write that is counted by its body, any other
// method reads this server's shard.
func (s *server) routed(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(tier.DefaultHeaders().Expect); want != "" && want != string(s.id) {
		w.Header().Set(tier.HeaderRequestID, r.Header.Get(tier.HeaderRequestID))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	j, body, ok := s.receive(w, r)
	if !ok {
		return
	}
	id := r.Header.Get(tier.HeaderRequestID)
	if j.mix {
		id = otherRequestID
	}
	if r.Method == http.MethodPost {
		s.runWrite(r, j, body)
		s.sendAnswer(w, r, j, []byte(WriteAnswer(s.id, id)))
		return
	}
	done := simulateWork(r.Context(), j.work)
	s.finish(done)
	if done {
		s.sendAnswer(w, r, j, Records(id, byte(s.group)))
	}
}

func (s *server) sendAnswer(w http.ResponseWriter, r *http.Request, j requestPlan, data []byte) {
	if j.endless {
		SendEndless(w, r, j.endlessKind, tier.HeaderRequestID)
		return
	}
	if j.drop {
		panic(http.ErrAbortHandler)
	}
	if j.mix {
		w.Header().Set(tier.HeaderRequestID, otherRequestID)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(tier.HeaderLoad, s.loadHeader(j.falseLoad))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if j.truncate {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// loadHeader returns the value of the load header: the number of running requests, or 0 with the Lie fault. For routed
// servers, a 0 and the number of slots follow.
func (s *server) loadHeader(lie bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.running
	if lie {
		open = 0
	}
	if s.service.Routed {
		return fmt.Sprintf("%d,0,%d", open, s.service.Slots)
	}
	return strconv.FormatInt(open, 10)
}

// announcement returns the server's current announcement; ok is false if the server is dead.
func (s *server) announcement(lease tier.Millis) (a tier.Announcement, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a = tier.Announcement{
		Server: s.id, Instance: s.instance, Service: s.service.serviceName(s.group), Zone: s.zone, Address: s.address, Slots: s.service.Slots,
		Conns: s.service.Connections, Draining: s.fault.Drain, LeaseMs: lease, Holdings: append([]tier.Holding(nil), s.holdings...),
	}
	if s.service.Routed {
		s.sequence++
		a.BornMs, a.Sequence, a.Holdings = s.started.UnixMilli(), s.sequence, nil
	}
	return a, !s.dead
}

// setFault replaces the fault of the server and applies its immediate effects.
func (s *server) setFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.limit.name(time.Now(), f.Limit)
	cut := s.cutConns()
	if f.Silent {
		for addr := range s.silenced {
			s.silenced[addr] = true
		}
	}
	s.addVersion(f)
	s.mu.Unlock()
	for _, c := range cut {
		reset(c)
	}
	if f.Kill {
		s.crash()
	}
	if f.Revive {
		s.revive()
	}
}

// addVersion adds the holdings of the fault's index version; with DropOld they replace the present ones.
func (s *server) addVersion(f Fault) {
	if f.Version == 0 || s.service.Write {
		return
	}
	snap := tier.Snapshot{Version: f.Version, Shards: f.Shards}
	if snap.Shards == 0 {
		snap.Shards = tier.Shard(s.service.Groups)
	}
	if f.DropOld {
		s.holdings = nil
	}
	for shard := tier.Shard(s.group); shard < snap.Shards; shard += tier.Shard(s.service.Groups) {
		s.holdings = append(s.holdings, tier.Holding{Snapshot: snap, Shard: shard})
	}
}

func (s *server) counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}
