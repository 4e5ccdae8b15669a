package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Shape of a soak.
const (
	founders    = 3
	shards      = 4
	leastShards = 2
	replicas    = 2
	desks       = 2
	callers     = 6
	operators   = 2
	graceMs     = 4000
	grace       = graceMs * time.Millisecond

	repeatPercent = 20
	repeatFixed   = 60
	repeatWindow  = 10 * time.Second

	// healTime is how long the fleet has after the last fault.
	healTime = 20 * time.Second
	// calmTime is how long the fleet is watched without faults.
	calmTime = 3 * time.Second
)

// Fleet is one run of the soak. Set the exported fields, then call Run.
type Fleet struct {
	// Binary is the program of the nodes.
	Binary string
	// Dir takes settings, data and logs.
	Dir string
	// Seed decides every fault and its time.
	Seed uint64
	// Hosts is the number of nodes, of which the first Disks have a disk.
	Hosts, Disks int
	// Length is how long faults are injected.
	Length time.Duration
	// Out takes a line for each fault.
	Out io.Writer

	ctx     context.Context
	judge   *judge
	rand    *rand.Rand
	port    int
	hosts   []*host
	servers []*server
	version atomic.Int64
	wait    sync.WaitGroup
	lost    bool
}

// Result is what a run came to.
type Result struct {
	Seed           uint64
	Served, Failed int
	Tables         int
	Breaks         []string
}

// Run runs the soak and returns which promises were broken.
func (f *Fleet) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.ctx, f.judge, f.rand = ctx, newJudge(), rand.New(rand.NewPCG(f.Seed, 3))
	defer f.close()
	if err := f.open(); err != nil {
		return Result{}, err
	}
	f.judge.trouble(0)
	work, stop := context.WithCancel(ctx)
	f.traffic(work)
	f.disturb(ctx)
	f.heal()
	f.settle(ctx)
	f.await(f.judge.quiet)
	pause(ctx, calmTime)
	stop()
	f.wait.Wait()
	f.judge.budget(repeatWindow, repeatPercent/100.0, repeatFixed)
	j := f.judge
	return Result{Seed: f.Seed, Served: j.served, Failed: j.failed, Tables: j.acked / operators, Breaks: j.breaks}, ctx.Err()
}

// open starts relays, hosts and servers, and waits until a search is answered in full.
func (f *Fleet) open() error {
	network := 1 + f.Seed%250
	f.port = 14000 + int(f.Seed%1500)*portCount
	for i := range f.Hosts {
		h := &host{fleet: f, index: i, id: fmt.Sprintf("127.90.%d.%d", network, i+1), bind: fmt.Sprintf("127.91.%d.%d", network, i+1), disk: i < f.Disks, first: true}
		f.hosts = append(f.hosts, h)
		if err := h.openRelays(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for i := range shards * replicas {
		if err := f.serve(fmt.Sprintf("s%d", i%shards), byte(i%shards)); err != nil {
			return err
		}
	}
	for range desks {
		if err := f.serve("desk", 0); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: 3 * time.Second}
	f.apply(f.ctx, client, operators)
	if !f.await(func() bool { return f.whole(client) }) {
		return fmt.Errorf("the fleet does not come up: %v", f.judge.breaks)
	}
	return nil
}

func (f *Fleet) serve(service string, shard byte) error {
	id := fmt.Sprintf("%s-%d", service, len(f.servers))
	s, err := startServer(id, service, shard, f.control(), f.judge)
	if err == nil {
		f.servers = append(f.servers, s)
	}
	return err
}

// control lists the addresses for servers, from a random one on.
func (f *Fleet) control() []string {
	var out []string
	at := rand.IntN(len(f.hosts))
	for i := range f.hosts {
		h := f.hosts[(at+i)%len(f.hosts)]
		out = append(out, h.addr(h.bind, portControl))
	}
	return out
}

// whole reports whether every host answers a search with all shards.
func (f *Fleet) whole(client *http.Client) bool {
	for _, h := range f.hosts {
		a := f.ask(f.ctx, client, h, http.MethodGet, "/search/", fmt.Sprintf("whole-%d-%d", f.Seed, time.Now().UnixNano()), nil)
		if a.status != http.StatusOK || a.header.Get(tier.DefaultHeaders().Missing) != "0" {
			return false
		}
	}
	return true
}

// await reports whether something comes true within healTime.
func (f *Fleet) await(done func() bool) bool {
	for end := time.Now().Add(healTime); time.Now().Before(end) && f.ctx.Err() == nil; {
		if done() {
			return true
		}
		pause(f.ctx, 50*time.Millisecond)
	}
	return done()
}

// table makes a routing table; the version decides which extra route it has.
func (f *Fleet) table(version int) []byte {
	var list []string
	for i := range shards {
		list = append(list, fmt.Sprintf("%q", fmt.Sprintf("s%d", i)))
	}
	services := `{"name": "desk"}`
	for _, s := range list {
		services += `, {"name": ` + s + `}`
	}
	return fmt.Appendf(nil, `{"version": %d, "routes": [
		{"name": "search", "host": "soak.example", "prefix": "/search/", "idempotent": true, "timeout": 4000, "target": 200, "attempts": 2, "gather": [%s], "top": 100, "least": %g},
		{"name": "write", "host": "soak.example", "prefix": "/write/", "timeout": 4000, "service": "desk", "attempts": 2},
		{"name": "extra-%d", "host": "extra.example", "prefix": "/v%d/", "timeout": 4000, "service": "desk"}],
		"services": [%s]}`, version, strings.Join(list, ", "), float64(leastShards)/shards, version, version, services)
}

func (f *Fleet) traffic(ctx context.Context) {
	for i := range callers {
		f.spawn(func() { f.call(ctx, i, rand.New(rand.NewPCG(f.Seed, uint64(100+i)))) })
	}
	for i := range operators {
		f.spawn(func() { f.operate(ctx, i, rand.New(rand.NewPCG(f.Seed, uint64(200+i)))) })
	}
}

func (f *Fleet) spawn(run func()) {
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		run()
	}()
}

// heal ends all faults.
func (f *Fleet) heal() {
	for _, h := range f.hosts {
		for _, o := range f.hosts {
			h.setFault(o.bind, Fault{})
		}
		h.front.set(Fault{})
		h.front.reset()
		h.signal(syscall.SIGCONT, false)
	}
	for _, s := range f.servers {
		s.relay.set(Fault{})
		s.relay.reset()
		s.set(false, 0)
	}
}

// settle checks that everything comes back and nothing acknowledged is lost.
func (f *Fleet) settle(ctx context.Context) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if !f.await(func() bool { return f.whole(client) }) {
		f.judge.fail("not every host serves all shards %v after the last fault", healTime)
	}
	for _, h := range f.hosts {
		if !f.await(func() bool { return f.read(ctx, client, h) }) {
			f.judge.fail("%s does not read the routing table back %v after the last fault", h.id, healTime)
		}
	}
}

func (f *Fleet) close() {
	for _, s := range f.servers {
		s.close()
	}
	for _, h := range f.hosts {
		h.kill()
		h.closeRelays()
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
