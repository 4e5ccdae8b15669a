package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const heartbeatInterval = 200 * time.Millisecond

// server is a backend server of the soak: its responses identify the request that they belong to, and it records the
// requests that it ran with the checker.
type server struct {
	id      string
	service string
	shard   byte
	relay   *streamRelay
	control []string
	checker *checker

	mu        sync.Mutex
	startedMs int64
	seq       uint64
	draining  bool
	crashed   bool
	delay     time.Duration
	// endless makes the server answer by bytes without end, each time in another way.
	endless     bool
	endlessKind int
	// drainedBy is when an acknowledged drain must have taken effect; zero if there is none.
	drainedBy time.Time
	listener  net.Listener
	conns     map[net.Conn]bool
	habits    [habits]int
	rand      *rand.Rand
	stop      chan struct{}
	wait      sync.WaitGroup
}

// start starts the server behind a relay, both on the IP address, and announces it regularly.
func (s *server) start(ip string) error {
	s.stop = make(chan struct{})
	l, err := listenOn(net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	if s.relay, err = newStreamRelay(net.JoinHostPort(ip, "0"), l.Addr().String()); err != nil {
		return err
	}
	s.listen(l)
	s.wait.Add(1)
	go s.announce()
	return nil
}

func (s *server) listen(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		_ = l.Close()
		return
	default:
	}
	s.startedMs, s.seq, s.crashed, s.draining = time.Now().UnixMilli(), 0, false, false
	s.listener, s.drainedBy, s.conns = l, time.Time{}, map[net.Conn]bool{}
	s.wait.Add(1)
	go s.accept(l)
}

// crash closes the listener and all connections and stops the announcements; restart listens on the same address as
// a new instance.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) restart() {
	for range 100 {
		l, err := listenOn(s.listener.Addr().String())
		if err == nil {
			s.listen(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) setState(draining bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.delay = draining, delay
	if !draining {
		s.drainedBy = time.Time{}
	}
}

func (s *server) setEndless(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endless = on
}

func (s *server) close() {
	close(s.stop)
	s.crash()
	s.relay.close()
	s.wait.Wait()
}

func (s *server) announce() {
	defer s.wait.Done()
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for target := 0; ; {
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
		s.mu.Lock()
		s.seq++
		a := tier.Announcement{
			Server: tier.ServerID(s.id), Instance: tier.Instance(s.startedMs), Service: tier.Service(s.service), Zone: "z0", Address: s.relay.addr(),
			Slots: 8, Conns: 100, Draining: s.draining, LeaseMs: 800, BornMs: s.startedMs, Sequence: s.seq,
		}
		crashed := s.crashed
		s.mu.Unlock()
		if crashed {
			continue
		}
		if !s.announceTo(client, s.control[target%len(s.control)], a) {
			target++
		}
	}
}

func (s *server) announceTo(client *http.Client, addr string, a tier.Announcement) bool {
	b, err := json.Marshal(a)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/v1/announce", bytes.NewReader(b))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Draining && s.draining && s.drainedBy.IsZero() {
		s.drainedBy = time.Now().Add(maxDrainDelay)
	}
	return true
}
