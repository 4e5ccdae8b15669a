// Command rig plays the cases of the second review against the project's own programs.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	unable
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(unable)
	}
	if os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	cases := map[string]func(f *fleet, trouble bool) (int, error){
		"drain": drain, "crash": crashEarly, "lapse": crashLapse, "keys": keys, "writer": writer, "callers": callers, "popular": popular, "restart": restart,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(unable)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	code, err := run(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = unable
	}
	f.note("result %d", code)
	f.end()
	fmt.Println("result", code)
	os.Exit(code)
}

func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type object = map[string]any

func route(name, prefix, service string, timeoutMs, targetMs int) object {
	return object{
		"name": name, "hostname": "leno12.example", "path_prefix": prefix, "kind": "idempotent", "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

func config(version int, service string, routes ...object) object {
	return object{
		"version": version, "routes": routes,
		"services": []object{{"name": service, "health_path": "/health", "max_connections": 45, "protocol": "h1", "tls": false}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// prepare starts three hosts and servers, and waits until requests are served.
func prepare(f *fleet, servers int, service string, doc object, path string, deadline time.Duration, args ...string) error {
	return prepareKeyed(f, servers, service, doc, path, deadline, nil, args...)
}

// prepareKeyed is prepare with further headers for the requests.
func prepareKeyed(f *fleet, servers int, service string, doc object, path string, deadline time.Duration, header []string, args ...string) error {
	if err := f.startNodes(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for i := range servers {
		if err := f.startServer(fmt.Sprintf("i-%08x", rand.Uint32()), service, 20+i, args...); err != nil {
			return err
		}
	}
	if err := f.putConfig(doc); err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	for range 20 {
		ok := 0
		for node := 1; node <= 3; node++ {
			if f.ask(node, "GET", "leno12.example", path, attemptID(), deadline, nil, header...).status == 200 {
				ok++
			}
		}
		if ok == 3 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("requests are not served")
}

const drainTimeout = 3000 // drain_timeout_ms

// drain replaces the servers of a service one after the other: the new one starts first, then the old one drains while some
// slow requests are under way at others.
func drain(f *fleet, trouble bool) (int, error) {
	const service, prefix = "torneio", "/draws/"
	const rounds = 6
	deadline := 8 * time.Second
	args := []string{"-work-ms", "2200", "-tail", "/slow/", "-tail-ms", "6500"}
	doc := config(7, service, route("r-draws", prefix, service, 8000, 4000))
	if err := prepare(f, 3, service, doc, prefix+"1", deadline, args...); err != nil {
		return unable, err
	}
	var quiet sync.WaitGroup
	for range 2 { // the usual latency becomes known on each host
		for node := 1; node <= 3; node++ {
			quiet.Go(func() { f.ask(node, "GET", "leno12.example", prefix+"2", attemptID(), deadline, nil) })
		}
		quiet.Wait()
	}
	var order []string
	for id := range f.servers {
		order = append(order, id)
	}
	for n := range rounds {
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		order = append(order, id)
		if err := f.startServer(id, service, 23+n, args...); err != nil {
			return unable, err
		}
		time.Sleep(1500 * time.Millisecond)
		var wait sync.WaitGroup
		for node := 1; node <= 3; node++ {
			wait.Go(func() {
				f.ask(node, "GET", "leno12.example", prefix+fmt.Sprintf("slow/%d-%d", n, node), attemptID(), deadline, nil)
			})
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			f.note("server %s is to leave", order[n])
			_ = f.servers[order[n]].cmd.Process.Signal(syscall.SIGUSR1)
		}
		wait.Wait()
		time.Sleep(3 * time.Second)
	}
	acked := map[string]float64{}
	result := held
	for _, e := range f.all() {
		switch e.What {
		case "draining acknowledged":
			acked[e.Server] = e.AtMs
		case "arrives":
			if at, ok := acked[e.Server]; ok && e.AtMs > at+drainTimeout {
				result = broken
				f.note("BROKEN: request %s reaches server %s %.0f ms after the acknowledgement that it is draining", e.Attempt, e.Server, e.AtMs-at)
			}
		}
	}
	return result, nil
}

const contactWindow = 4000 // contact_window_ms

// callers sends a request of one tenant that crashes each server that begins to run it, while another tenant sends sound requests
// with the same path and body.
func callers(f *fleet, trouble bool) (int, error) {
	const service, prefix = "reservas", "/confirm/"
	const sick, sound = "k-3f9c1d22", "k-77d2a0b1"
	f.contracts, f.bounds = keyedContracts, keyedBounds
	doc := config(7, service, route("r-confirm", prefix, service, 2500, 250))
	doc["tenants"] = []object{{"name": "lisboa", "api_keys": []string{sick}}, {"name": "porto", "api_keys": []string{sound}}}
	var args []string
	if trouble {
		args = []string{"-crash", "/club-17", "-crash-tenant", "lisboa"}
	}
	deadline := 2500 * time.Millisecond
	if err := prepareKeyed(f, servers, service, doc, prefix+"1", deadline, []string{"Credential", sound}, args...); err != nil {
		return unable, err
	}
	time.Sleep(5 * time.Second)
	var stop atomic.Bool
	var wait sync.WaitGroup
	wait.Go(func() {
		for i := 0; !stop.Load(); i++ {
			wait.Go(func() {
				f.ask(1+i%3, "POST", "leno12.example", prefix+"club-17", attemptID(), deadline, nil, "Credential", sound)
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	if err := f.comeAgain(service, 40*time.Second, 1, nil, args, "Credential", sick); err != nil {
		return unable, err
	}
	stop.Store(true)
	wait.Wait()
	return f.countRetries(prefix+"club-17", "lisboa", 5000), nil
}

// crashEarly sends a request again and again that crashes each server that begins to run it, before the server has read the
// whole body.
func crashEarly(f *fleet, trouble bool) (int, error) {
	return crash(f, trouble, make([]byte, 6<<10), 40*time.Second, 1)
}

// crashLapse sends such a request without a body, each second to each host, for longer than a minute.
func crashLapse(f *fleet, trouble bool) (int, error) {
	return crash(f, trouble, nil, 72*time.Second, 3)
}

const servers = 5

func crash(f *fleet, trouble bool, body []byte, long time.Duration, machines int) (int, error) {
	const service, prefix = "reservas", "/confirm/"
	var args []string
	if trouble {
		args = []string{"-crash", "/club-17"}
	}
	doc := config(7, service, route("r-confirm", prefix, service, 2500, 250))
	if err := prepare(f, servers, service, doc, prefix+"1", 2500*time.Millisecond, args...); err != nil {
		return unable, err
	}
	time.Sleep(5 * time.Second)
	if err := f.comeAgain(service, long, machines, body, args); err != nil {
		return unable, err
	}
	return f.countRetries(prefix+"club-17", "", contactWindow), nil
}

// comeAgain sends the request for club 17 each second to a number of hosts, and starts crashed servers again after 3 s, as new boots
// with new ids at their addresses.
func (f *fleet) comeAgain(service string, long time.Duration, machines int, body []byte, args []string, header ...string) error {
	hosts := map[string]int{}
	for h := 20; h < 20+servers; h++ {
		for id, p := range f.servers {
			if p.address == f.addr(h, portServer) {
				hosts[id] = h
			}
		}
	}
	end := time.Now().Add(long)
	back := map[string]time.Time{}
	i := 0
	for n := 0; time.Now().Before(end); n++ {
		for id, h := range hosts {
			p := f.servers[id]
			select {
			case <-p.done:
			default:
				continue
			}
			if back[id].IsZero() {
				back[id] = time.Now().Add(3 * time.Second)
			}
			if time.Now().Before(back[id]) {
				continue
			}
			delete(hosts, id)
			next := fmt.Sprintf("i-%08x", rand.Uint32())
			hosts[next] = h
			if err := f.startServer(next, service, h, args...); err != nil {
				return err
			}
		}
		if n%10 == 0 {
			for range machines {
				node := 1 + i%3
				i++
				go f.ask(node, "POST", "leno12.example", "/confirm/club-17", attemptID(), 2500*time.Millisecond, body, header...)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// countRetries checks how often a request of a tenant that crashes servers reached them later than window ms after the third
// crash.
func (f *fleet) countRetries(path, tenant string, window float64) int {
	crashes, third, retries := 0, 0.0, 0
	for _, e := range f.all() {
		switch e.What {
		case "crashes":
			if crashes++; crashes == 3 {
				third = e.AtMs
			}
		case "arrives":
			if third > 0 && e.AtMs > third+window && e.Path == path && e.Tenant == tenant {
				retries++
				f.note("arrival %d, %.1f s after the third crash", retries, (e.AtMs-third)/1000)
			}
		}
	}
	f.note("%d crashes, %d arrivals later than contact_window_ms after the third", crashes, retries)
	if retries > 3 {
		return broken
	}
	return held
}

const configApply = 4000 // config_apply_ms

// keys puts a desired state without tenants in force while requesters that hold a key of the state before still send it.
func keys(f *fleet, trouble bool) (int, error) {
	const service, prefix, key = "reservas", "/confirm/", "k-3f9c1d22"
	deadline := 2500 * time.Millisecond
	f.contracts, f.bounds = keyedContracts, keyedBounds
	r := route("r-confirm", prefix, service, 2500, 250)
	keyed := config(7, service, r)
	keyed["tenants"] = []object{{"name": "lisboa", "api_keys": []string{key}, "rate_per_s": 0, "burst": 0}}
	credential := []string{"Credential", key}
	if err := prepareKeyed(f, 5, service, keyed, prefix+"1", deadline, credential, "-work-ms", "20"); err != nil {
		return unable, err
	}
	var wait sync.WaitGroup
	ask := func(n int) {
		for i := range n {
			wait.Go(func() {
				f.ask(1+i%3, "GET", "leno12.example", prefix+fmt.Sprint(i), attemptID(), deadline, nil, credential...)
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	ask(50)
	if trouble {
		if err := f.putConfig(config(9, service, r)); err != nil {
			return unable, err
		}
	}
	ask(configApply/100 - 5) // they end before config_apply_ms after the acknowledgement
	wait.Wait()
	passed := 0
	for _, e := range f.all() {
		if e.What == "arrives" && e.Credential == key {
			passed++
		}
	}
	f.note("the key was passed on to servers with %d requests", passed)
	if passed > 0 {
		return broken, nil
	}
	return held, nil
}

const recovery = 12000 // recovery_s, in milliseconds

// load sends requests at a steady rate, as requesters that retry once on a new connection.
type load struct {
	stop     atomic.Bool
	wait     sync.WaitGroup
	mu       sync.Mutex
	requests []request
}

type request struct {
	at     float64
	served bool
}

func (l *load) start(f *fleet, pause, deadline time.Duration, path func(i int) string) {
	l.wait.Go(func() {
		for i := 0; !l.stop.Load(); i++ {
			l.wait.Go(func() {
				at, end, served := nowMs(), time.Now().Add(deadline), false
				for k := 0; k < 2 && !served; k++ {
					a := f.ask(1+(i+k)%3, "GET", "leno12.example", path(i), attemptID(), time.Until(end), nil)
					served = a.err == nil && a.status == 200 && a.signed
				}
				l.mu.Lock()
				l.requests = append(l.requests, request{at, served})
				l.mu.Unlock()
			})
			time.Sleep(pause)
		}
	})
}

// end stops the load and returns the numbers of requests and of those served before fault, and later than recovery_s after back.
func (l *load) end(f *fleet, fault, back float64) (code int) {
	l.stop.Store(true)
	l.wait.Wait()
	var before, servedBefore, after, servedAfter float64
	for _, q := range l.requests {
		switch {
		case q.at < fault:
			before++
			if q.served {
				servedBefore++
			}
		case q.at > back+recovery:
			after++
			if q.served {
				servedAfter++
			}
		}
	}
	f.note("served: %.0f of %.0f requests before the final fault, %.0f of %.0f sent later than recovery_s after the hosts are back", servedBefore, before, servedAfter, after)
	if servedBefore >= before/4 && servedAfter < after/4 {
		return broken
	}
	return held
}

// writer lets another writer send one heartbeat for each server that lacks a field. A second later all hosts' processes are
// killed, right after a desired state was acknowledged, and are back within a second.
func writer(f *fleet, trouble bool) (int, error) {
	const service, prefix = "reservas", "/confirm/"
	deadline := 2500 * time.Millisecond
	r := route("r-confirm", prefix, service, 2500, 250)
	if err := prepare(f, servers, service, config(7, service, r), prefix+"1", deadline, "-work-ms", "20"); err != nil {
		return unable, err
	}
	var l load
	l.start(f, 100*time.Millisecond, deadline, func(i int) string { return prefix + fmt.Sprint(i) })
	time.Sleep(8 * time.Second)
	if trouble {
		n := 0
		for id := range f.servers {
			n++
			if err := f.incompleteBeat(id, service, 1+n%3); err != nil {
				return unable, err
			}
		}
	}
	time.Sleep(time.Second)
	if err := f.putConfig(config(9, service, r)); err != nil {
		return unable, err
	}
	fault, back, err := f.finalFault(len(f.nodes), false)
	if err != nil {
		return unable, err
	}
	time.Sleep(recovery*time.Millisecond + 25*time.Second)
	return l.end(f, fault, back), nil
}

// finalFault kills the processes of the first n hosts and starts them again, with empty data folders if their disks are lost.
func (f *fleet) finalFault(n int, wipe bool) (fault, back float64, err error) {
	f.note("final fault: the processes of %d hosts are killed, disks lost: %v", n, wipe)
	fault = nowMs()
	for i, p := range f.nodes[:n] {
		_ = p.cmd.Process.Kill()
		<-p.done
		if wipe {
			f.disksLost[i+1]++
		}
		if err := f.writeSettings(i+1, len(f.nodes), false); err != nil {
			return fault, 0, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range f.nodes[:n] {
		if err := f.startNode(i); err != nil {
			return fault, 0, err
		}
	}
	return fault, nowMs(), nil
}

// popular lets all servers of a service crash at the same moment while each runs the same popular request. They are back 4.5 s
// later. A second after the crash one host loses its disk, right after a desired state was acknowledged.
func popular(f *fleet, trouble bool) (int, error) {
	const service, prefix = "torneio", "/draws/"
	deadline := 2500 * time.Millisecond
	r := route("r-draws", prefix, service, 2500, 250)
	args := []string{"-work-ms", "200"}
	if err := prepare(f, 3, service, config(7, service, r), prefix+"1", deadline, args...); err != nil {
		return unable, err
	}
	var l load
	l.start(f, 40*time.Millisecond, deadline, func(int) string { return prefix + "today" })
	time.Sleep(8 * time.Second)
	if trouble {
		f.note("all servers crash")
		for _, p := range f.servers {
			_ = p.cmd.Process.Kill()
		}
		time.AfterFunc(4500*time.Millisecond, func() {
			for h := range 3 {
				_ = f.startServer(fmt.Sprintf("i-%08x", rand.Uint32()), service, 20+h, args...)
			}
		})
	}
	time.Sleep(time.Second)
	if err := f.putConfig(config(9, service, r)); err != nil {
		return unable, err
	}
	fault, back, err := f.finalFault(1, true)
	if err != nil {
		return unable, err
	}
	time.Sleep(recovery*time.Millisecond + 25*time.Second)
	return l.end(f, fault, back), nil
}

// restart stops and starts the servers of a service one after the other, under their own ids. The first DELETE of each is held up on
// its way to one host, and arrives when the server has started again.
func restart(f *fleet, trouble bool) (int, error) {
	const service, prefix = "torneio", "/draws/"
	deadline := 2500 * time.Millisecond
	r := route("r-draws", prefix, service, 2500, 250)
	args := []string{"-work-ms", "20", "-linger", "3500ms"}
	if trouble {
		address := f.addr(9, portControl)
		l, err := f.holdUp(address, f.addr(1, portControl), 4*time.Second)
		if err != nil {
			return unable, err
		}
		defer func() { _ = l.Close() }()
		args = append(args, "-leave-at", address)
	}
	if err := prepare(f, 3, service, config(7, service, r), prefix+"1", deadline, args...); err != nil {
		return unable, err
	}
	var l load
	l.start(f, 100*time.Millisecond, deadline, func(i int) string { return prefix + fmt.Sprint(i) })
	hosts := map[string]int{}
	for id, p := range f.servers {
		for h := 20; h < 23; h++ {
			if p.address == f.addr(h, portServer) {
				hosts[id] = h
			}
		}
	}
	time.Sleep(2 * time.Second)
	for id, h := range hosts {
		p := f.servers[id]
		f.note("server %s is to stop and start again", id)
		_ = p.cmd.Process.Signal(syscall.SIGUSR1)
		<-p.done
		time.Sleep(300 * time.Millisecond)
		if err := f.startServer(id, service, h, args...); err != nil {
			return unable, err
		}
		time.Sleep(4 * time.Second)
	}
	if err := f.putConfig(config(9, service, r)); err != nil {
		return unable, err
	}
	fault, back, err := f.finalFault(len(f.nodes), false)
	if err != nil {
		return unable, err
	}
	time.Sleep(recovery*time.Millisecond + 15*time.Second)
	return l.end(f, fault, back), nil
}
