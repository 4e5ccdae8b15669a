package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Size and settings of the fleet and its load.
const (
	seedHosts    = 3
	shards       = 4
	minShards    = 2
	replicas     = 2
	deskServers  = 2
	callers      = 6
	operators    = 2
	drainGraceMs = 4000
	drainGrace   = drainGraceMs * time.Millisecond

	repeatPercent = 20
	repeatFixed   = 60
	repeatWindow  = 10 * time.Second

	// recoveryTimeout is how long the fleet may take to recover after the last fault.
	recoveryTimeout = 20 * time.Second
	// faultFreeTime is how long the fleet is checked without faults after its recovery.
	faultFreeTime = 3 * time.Second
)

// Fleet is one soak run: its nodes, servers, callers and operators. Set the exported fields, then call Run.
type Fleet struct {
	// Binary is the path of the executable that the nodes run.
	Binary string
	// Dir is the directory for settings, data and logs.
	Dir string
	// Seed determines every fault and its time.
	Seed uint64
	// Hosts is the number of nodes; the first Disks of them have a data directory.
	Hosts, Disks int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// First is the name of a fault that lasts from the start of the faults to their end; it may be empty.
	First string
	// Out receives one line per injected fault.
	Out io.Writer

	ctx     context.Context
	checker *checker
	rand    *rand.Rand
	port    int
	hosts   []*host
	servers []*server
	version atomic.Int64
	wait    sync.WaitGroup
	wiped   bool
}

// Result is the outcome of a run.
type Result struct {
	Seed           uint64
	Served, Failed int
	Tables         int
	// SecondAnswers is how many requests servers answered twice.
	SecondAnswers int
	// KeysRefused is how many requests were refused for their keys.
	KeysRefused int
	Violations  []string
}

// Run runs the soak and returns the guarantees that were violated.
func (f *Fleet) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.ctx, f.checker, f.rand = ctx, newChecker(), rand.New(rand.NewPCG(f.Seed, 3))
	defer f.close()
	if err := f.startAll(); err != nil {
		return Result{}, err
	}
	f.checker.markFaulty(0)
	work, stop := context.WithCancel(ctx)
	f.startTraffic(work)
	f.injectFaults(ctx)
	f.clearFaults()
	f.checkRecovery(ctx)
	f.await(f.checker.stable)
	r := rand.New(rand.NewPCG(f.Seed, 400))
	f.checkFrail(ctx, r)
	f.drainBesideLongRequests(ctx)
	pause(ctx, faultFreeTime)
	stop()
	f.wait.Wait()
	f.checker.checkBudget()
	j := f.checker
	return Result{Seed: f.Seed, Served: j.served, Failed: j.failed, Tables: j.acked / operators, SecondAnswers: j.seconds, KeysRefused: j.keysRefused, Violations: j.violations}, ctx.Err()
}

// startAll starts relays, hosts and servers, and waits until every host answers a search with all shards.
func (f *Fleet) startAll() error {
	f.port = 14000 + int(f.Seed%1500)*portCount
	for i := range f.Hosts {
		h := &host{fleet: f, index: i, id: fmt.Sprintf("127.90.%d.%d", f.network(), i+1), bind: fmt.Sprintf("127.91.%d.%d", f.network(), i+1), hasDisk: i < f.Disks, bootstrap: true}
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
		if err := f.addServer(shardService(i%shards), byte(i%shards)); err != nil {
			return err
		}
	}
	for range deskServers {
		if err := f.addServer(deskService, 0); err != nil {
			return err
		}
	}
	for range frailServers {
		if err := f.addServer(frailService, 0); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: 3 * time.Second}
	f.applyTable(f.ctx, client, operators)
	if !f.await(func() bool { return f.allComplete(client) }) {
		return fmt.Errorf("the fleet did not start to serve all shards: %v", f.checker.violations)
	}
	return nil
}

func (f *Fleet) addServer(service string, shard byte) error {
	n := len(f.servers)
	s := &server{
		id: fmt.Sprintf("%s-%d", service, n), service: service, shard: shard, control: f.controlAddrs(), checker: f.checker,
		rand: rand.New(rand.NewPCG(f.Seed, uint64(300+n))),
	}
	// An address of the run's own: while a server is down, another process on this machine could get its port.
	if err := s.start(fmt.Sprintf("127.92.%d.1", f.network())); err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return nil
}

// network returns the part of the IP addresses that differs between runs side by side.
func (f *Fleet) network() uint64 { return 1 + f.Seed%250 }

// deskService is the service without shards.
const deskService = "desk"

func shardService(shard int) string { return fmt.Sprintf("s%d", shard) }

func (f *Fleet) shardServices() (list []string) {
	for i := range shards {
		list = append(list, shardService(i))
	}
	return list
}

// controlAddrs returns the control addresses of all hosts for a server, in rotation from a random host.
func (f *Fleet) controlAddrs() []string {
	var out []string
	first := rand.IntN(len(f.hosts))
	for i := range f.hosts {
		h := f.hosts[(first+i)%len(f.hosts)]
		out = append(out, h.addr(h.bind, portControl))
	}
	return out
}

// allComplete reports whether every host answers a search with all shards.
func (f *Fleet) allComplete(client *http.Client) bool {
	for _, h := range f.hosts {
		a := f.request(f.ctx, client, h, http.MethodGet, "/search/", sending{id: fmt.Sprintf("whole-%d-%d", f.Seed, time.Now().UnixNano()), key: fixedKey(tenantNames[0])}, nil)
		if a.status != http.StatusOK || a.header.Get(tier.DefaultHeaders().Missing) != "0" {
			return false
		}
	}
	return true
}

// await polls done for up to recoveryTimeout and reports whether it became true.
func (f *Fleet) await(done func() bool) bool {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && f.ctx.Err() == nil; {
		if done() {
			return true
		}
		pause(f.ctx, 50*time.Millisecond)
	}
	return done()
}

// routingTable returns the routing table of a version. Its extra route is named after the version, so that the
// contents of two versions differ.
func (f *Fleet) routingTable(version int) []byte {
	var list []string
	for _, s := range f.shardServices() {
		list = append(list, strconv.Quote(s))
	}
	services := `{"name": "desk"}, {"name": "frail"}`
	for _, s := range list {
		services += `, {"name": ` + s + `}`
	}
	return fmt.Appendf(nil, `{"version": %d, "routes": [
		{"name": "search", "host": "soak.example", "prefix": "/search/", "idempotent": true, "timeout": 4000, "target": 200, "attempts": 2, "gather": [%s], "top": 100, "least": %g},
		{"name": "read", "host": "soak.example", "prefix": "/read/", "idempotent": true, "timeout": 4000, "service": "desk", "attempts": 2},
		{"name": "open", "host": "soak.example", "prefix": "/open/", "idempotent": true, "timeout": 4000, "service": "desk", "attempts": 2, "public": true},
		{"name": "frail", "host": "soak.example", "prefix": "/frail/", "idempotent": true, "timeout": 4000, "service": "frail", "attempts": 2, "public": true},
		{"name": "write", "host": "soak.example", "prefix": "/write/", "timeout": 4000, "service": "desk", "attempts": 2},
		{"name": "extra-%d", "host": "extra.example", "prefix": "/v%d/", "timeout": 4000, "service": "desk"}],
		"services": [%s], "tenants": [%s]}`, version, strings.Join(list, ", "), float64(minShards)/shards, version, version, services, tenantList(version))
}

func (f *Fleet) startTraffic(ctx context.Context) {
	for i := range callers {
		f.spawn(func() { f.runCaller(ctx, i, rand.New(rand.NewPCG(f.Seed, uint64(100+i)))) })
	}
	f.spawn(func() { f.runCrasher(ctx, rand.New(rand.NewPCG(f.Seed, 401))) })
	for i := range operators {
		f.spawn(func() { f.runOperator(ctx, i, rand.New(rand.NewPCG(f.Seed, uint64(200+i)))) })
	}
}

func (f *Fleet) spawn(run func()) {
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		run()
	}()
}

// clearFaults ends all faults of links, relays and servers and resumes frozen hosts.
func (f *Fleet) clearFaults() {
	for _, h := range f.hosts {
		for _, o := range f.hosts {
			h.setFault(o.bind, Fault{})
		}
		h.callerRelay.setFault(Fault{})
		h.callerRelay.reset()
		h.signal(syscall.SIGCONT, false)
	}
	for _, s := range f.servers {
		s.relay.setFault(Fault{})
		s.relay.reset()
		s.setState(false, 0)
	}
}

// checkRecovery checks that every host serves all shards again and returns a routing table that is not older than the
// newest acknowledged one.
func (f *Fleet) checkRecovery(ctx context.Context) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if !f.await(func() bool { return f.allComplete(client) }) {
		f.checker.report("not every host serves all shards within %v of the last fault", recoveryTimeout)
	}
	for _, h := range f.hosts {
		if !f.await(func() bool { return f.readTable(ctx, client, h) }) {
			f.checker.report("%s does not return the routing table within %v of the last fault", h.id, recoveryTimeout)
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
