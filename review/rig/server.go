package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server is a stand-in for one server of a service. It runs as a process of its own and writes one JSON line for each
// request and each acknowledgement to standard output.
type server struct {
	id, service, address, zone string
	controls                   []string
	slots                      int
	work, cold                 time.Duration
	crashPath, tailPath        string
	crashTenant, leaveAt       string
	tail, linger               time.Duration

	sequence atomic.Int64
	draining atomic.Bool
	failing  atomic.Bool
	fail     float64
	born     int64
	running  atomic.Int64
	waiting  atomic.Int64
	queue    int
	slot     chan struct{}
	out      sync.Mutex
}

// event is one line of a server's output.
type event struct {
	AtMs    float64 `json:"at_ms"`
	Server  string  `json:"server"`
	What    string  `json:"what"`
	Attempt string  `json:"attempt,omitempty"`
	Path    string  `json:"path,omitempty"`
	Status  int     `json:"status,omitempty"`
	From    string  `json:"from,omitempty"`
	// Tenant and Credential are the headers of the request.
	Tenant     string `json:"tenant,omitempty"`
	Credential string `json:"credential,omitempty"`
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (s *server) write(e event) {
	e.AtMs, e.Server = nowMs(), s.id
	b, _ := json.Marshal(e)
	s.out.Lock()
	defer s.out.Unlock()
	_, _ = os.Stdout.Write(append(b, '\n'))
}

func runServer(args []string) int {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{}
	var controls string
	var workMs, tailMs int
	f.StringVar(&s.id, "id", "", "id")
	f.Int64Var(&s.born, "born", 0, "start in Unix milliseconds")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.address, "address", "", "address")
	f.StringVar(&s.zone, "zone", "", "zone")
	f.StringVar(&controls, "controls", "", "control addresses, separated by commas")
	f.StringVar(&s.crashPath, "crash", "", "requests whose path contains this crash the server")
	f.StringVar(&s.leaveAt, "leave-at", "", "the address that gets the first DELETE")
	f.StringVar(&s.crashTenant, "crash-tenant", "", "only requests of this tenant crash the server")
	f.StringVar(&s.tailPath, "tail", "", "requests whose path contains this take -tail-ms")
	f.Float64Var(&s.fail, "fail", 0, "the share of requests that fail after SIGUSR2, until the next one")
	f.IntVar(&s.slots, "slots", 4, "requests that run at a time")
	f.IntVar(&s.queue, "queue", 16, "requests that wait beside those that run")
	f.IntVar(&workMs, "work-ms", 60, "work of a request")
	f.IntVar(&tailMs, "tail-ms", 0, "work of a slow request")
	f.DurationVar(&s.linger, "linger", 9*time.Second, "how long the server serves after the acknowledgement that it is draining")
	_ = f.Parse(args)
	s.controls, s.work, s.tail = strings.Split(controls, ","), time.Duration(workMs)*time.Millisecond, time.Duration(tailMs)*time.Millisecond
	s.slot = make(chan struct{}, s.slots)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	terms, leaves, fails := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	signal.Notify(leaves, syscall.SIGUSR1)
	signal.Notify(fails, syscall.SIGUSR2)
	srv := &http.Server{Addr: s.address, Handler: http.HandlerFunc(s.serve), IdleTimeout: 30 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.ListenAndServe() }()
	wake := make(chan struct{}, 1)
	go s.beat(ctx, wake)
	for {
		select {
		case <-leaves:
			s.draining.Store(true)
			wake <- struct{}{}
		case <-fails:
			s.failing.Store(!s.failing.Load())
		case <-terms:
			return 0
		case err := <-failed:
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
}

// beat announces the server as PROTOCOL.md says. A heartbeat without an acknowledgement within a second goes to the next node.
func (s *server) beat(ctx context.Context, wake <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	at, home, told := int(s.born), "", false
	for ctx.Err() == nil {
		to := home
		if to == "" {
			to = s.controls[at%len(s.controls)]
			at++
		}
		leaving := s.draining.Load()
		state := "ready"
		if leaving {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
			"cold_remaining_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
		})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+"/instances/"+s.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		home = ""
		if err == nil {
			b, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
			_ = resp.Body.Close()
			var a struct {
				Next string `json:"heartbeat_address"`
			}
			_ = json.Unmarshal(b, &a)
			if resp.StatusCode/100 == 2 {
				home = a.Next
				if leaving && !told {
					told = true
					s.write(event{What: "draining acknowledged", From: to})
					time.AfterFunc(s.linger, func() { s.leave(client, to) })
				}
			}
		}
		wait := 1200 * time.Millisecond
		if err != nil {
			wait = 50 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// leave ends the server, which has served for long enough after the acknowledgement that it is draining. The call goes to the next
// node if there is no acknowledgement within a second.
func (s *server) leave(client *http.Client, to string) {
	for _, node := range append([]string{s.leaveAt, to}, s.controls...) {
		if node == "" {
			continue
		}
		s.write(event{What: "sends DELETE", From: node})
		req, _ := http.NewRequest(http.MethodDelete, "http://"+node+"/instances/"+s.id, nil)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			break
		}
	}
	s.write(event{What: "ends"})
	os.Exit(0)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h["Date"] = nil
	if s.draining.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if x := r.Header.Get("Expected-Instance"); x != "" && x != s.id {
		s.write(event{What: "misdirected", Attempt: id, Path: r.URL.Path})
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > int64(s.slots+s.queue) {
		s.waiting.Add(-1)
		s.write(event{What: "sheds", Attempt: id, Path: r.URL.Path})
		h.Set("Attempt-Id", id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	s.write(event{What: "arrives", Attempt: id, Path: r.URL.Path, From: r.RemoteAddr, Tenant: r.Header.Get("Tenant"), Credential: r.Header.Get("Credential")})
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
		s.write(event{What: "left", Attempt: id, Path: r.URL.Path})
		return
	}
	defer func() { <-s.slot }()
	if s.crashPath != "" && strings.Contains(r.URL.Path, s.crashPath) && (s.crashTenant == "" || r.Header.Get("Tenant") == s.crashTenant) {
		s.write(event{What: "crashes", Attempt: id, Path: r.URL.Path})
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	work := s.work
	if s.tailPath != "" && strings.Contains(r.URL.Path, s.tailPath) {
		work = s.tail
	}
	status := http.StatusOK
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Remaining")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work, status = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		s.write(event{What: "left", Attempt: id, Path: r.URL.Path})
		return
	}
	if status == http.StatusOK && s.failing.Load() && rand.Float64() < s.fail {
		status = http.StatusInternalServerError
	}
	h.Set("Attempt-Id", id)
	h.Set("Response-Signature", s.id+"."+id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load()-1, s.slots))
	if s.draining.Load() {
		h.Set("Server-Leaving", "1")
	}
	s.write(event{What: "answers", Attempt: id, Path: r.URL.Path, Status: status})
	body := []byte(s.id + " " + id + "\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
