package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// announcesPerLease is the number of announcements that a server sends in the time of one lease.
const announcesPerLease = 5

// Stand runs the stand-in servers of one process.
type Stand struct {
	// Spec describes the servers.
	Spec Spec

	servers     []*server
	writes      *writeCounts
	client      http.Client
	scheme      string
	announceNow map[tier.ServerID]chan struct{}
}

// Run starts the servers and the admin interface and serves until ctx ends.
func (s *Stand) Run(ctx context.Context) error {
	s.build()
	for _, v := range s.servers {
		if err := v.start(); err != nil {
			return err
		}
	}
	s.client.Timeout = time.Second
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	s.client.Transport = tr
	s.scheme = "http://"
	if s.Spec.CA != "" {
		conf, err := (&conn.Certs{CA: s.Spec.CA}).ClientConfig(nil, "")
		if err != nil {
			return err
		}
		s.scheme, tr.TLSClientConfig = "https://", conf
	}
	var wait sync.WaitGroup
	for i, v := range s.servers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.announce(ctx, v, i)
		}()
	}
	admin := &http.Server{Addr: s.Spec.Admin, Handler: s.routes()}
	go func() {
		<-ctx.Done()
		_ = admin.Close()
	}()
	err := admin.ListenAndServe()
	wait.Wait()
	for _, v := range s.servers {
		_ = v.http.Close()
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Stand) build() {
	s.writes = &writeCounts{counts: map[uint64]int{}}
	s.announceNow = map[tier.ServerID]chan struct{}{}
	port := s.Spec.BasePort
	for _, sv := range s.Spec.Services {
		for g := range sv.Groups {
			for r := range sv.Replicas {
				id := tier.ServerID(fmt.Sprintf("%s-%d-%d", sv.Name, g, r))
				v := &server{
					id: id, service: sv, zone: sv.Zones[(g+r)%len(sv.Zones)], group: g, writes: s.writes, certs: s.Spec.Certs,
					address: s.Spec.Host + ":" + strconv.Itoa(port), rand: rand.New(rand.NewPCG(s.Spec.Seed, uint64(port))),
				}
				v.addVersion(Fault{Version: 1})
				s.servers = append(s.servers, v)
				s.announceNow[id] = make(chan struct{}, 1)
				port++
			}
		}
	}
}

// announce renews the announcement of one server until ctx ends. If an entry fails, it goes on with the next one.
func (s *Stand) announce(ctx context.Context, v *server, turn int) {
	entries := s.Spec.Entries
	interval := s.Spec.LeaseMs.Duration() / announcesPerLease
	for ctx.Err() == nil {
		wait := interval
		if a, alive := v.announcement(s.Spec.LeaseMs); alive {
			if !s.post(ctx, entries[turn%len(entries)], a) {
				turn++
				wait = interval / 4
			}
		}
		select {
		case <-ctx.Done():
		case <-s.announceNow[v.id]:
		case <-time.After(wait):
		}
	}
}

func (s *Stand) post(ctx context.Context, entry string, a tier.Announcement) bool {
	b, err := json.Marshal(a)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.scheme+entry+"/v1/announce", bytes.NewReader(b))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	if s.Spec.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.Spec.Token)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *Stand) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.postFault)
	mux.HandleFunc("GET /counters", s.getCounters)
	mux.HandleFunc("GET /runs", s.getRuns)
	return mux
}

// postFault sets a fault on the servers that match and answers with their number.
func (s *Stand) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := 0
	for _, v := range s.servers {
		if ok, _ := path.Match(f.Match, string(v.id)); ok || f.Match == string(v.zone) {
			v.setFault(f)
			s.triggerAnnounce(v.id)
			n++
		}
	}
	_, _ = fmt.Fprintf(w, "%d\n", n)
}

func (s *Stand) triggerAnnounce(id tier.ServerID) {
	select {
	case s.announceNow[id] <- struct{}{}:
	default:
	}
}

// Report holds the counters of each server and their total.
type Report struct {
	Total   Counters                    `json:"total"`
	Servers map[tier.ServerID]*Counters `json:"servers"`
}

func (s *Stand) getCounters(w http.ResponseWriter, _ *http.Request) {
	rep := Report{Servers: map[tier.ServerID]*Counters{}}
	for _, v := range s.servers {
		c := v.counters()
		rep.Servers[v.id] = &c
		rep.Total.add(c)
	}
	_ = json.NewEncoder(w).Encode(rep)
}

// getRuns answers how often each write ran, by the hash of its body.
func (s *Stand) getRuns(w http.ResponseWriter, _ *http.Request) {
	l := s.writes
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.counts)
}
