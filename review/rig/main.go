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
		"drain": drain, "crash": crashEarly, "lapse": crashLapse, "keys": keys, "writer": writer,
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

// crashEarly sends a request again and again that crashes each server that begins to run it, before the server has read the
// whole body.
func crashEarly(f *fleet, trouble bool) (int, error) {
	return crash(f, trouble, make([]byte, 6<<10), 40*time.Second, 1)
}

// crashLapse sends such a request without a body, each second to each host, for longer than a minute.
func crashLapse(f *fleet, trouble bool) (int, error) {
	return crash(f, trouble, nil, 72*time.Second, 3)
}

func crash(f *fleet, trouble bool, body []byte, long time.Duration, machines int) (int, error) {
	const service, prefix = "reservas", "/confirm/"
	const servers = 5
	var args []string
	if trouble {
		args = []string{"-crash", "/club-17"}
	}
	deadline := 2500 * time.Millisecond
	doc := config(7, service, route("r-confirm", prefix, service, 2500, 250))
	if err := prepare(f, servers, service, doc, prefix+"1", deadline, args...); err != nil {
		return unable, err
	}
	time.Sleep(5 * time.Second)
	hosts := map[string]int{}
	i := 0
	for h := 20; h < 20+servers; h++ {
		for id, p := range f.servers {
			if p.address == f.addr(h, portServer) {
				hosts[id] = h
			}
		}
	}
	end := time.Now().Add(long)
	back := map[string]time.Time{} // when a crashed server starts again, as a new boot with a new id
	for n := 0; time.Now().Before(end); n++ {
		for id := range hosts {
			p := f.servers[id]
			select {
			case <-p.done:
				if back[id].IsZero() {
					back[id] = time.Now().Add(3 * time.Second)
				} else if time.Now().After(back[id]) {
					h := hosts[id]
					delete(hosts, id)
					next := fmt.Sprintf("i-%08x", rand.Uint32())
					hosts[next] = h
					if err := f.startServer(next, service, h, args...); err != nil {
						return unable, err
					}
				}
			default:
			}
		}
		if n%10 == 0 {
			for range machines {
				node := 1 + i%3
				i++
				go f.ask(node, "POST", "leno12.example", prefix+"club-17", attemptID(), deadline, body)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	crashes, third, retries := 0, 0.0, 0
	for _, e := range f.all() {
		switch e.What {
		case "crashes":
			if crashes++; crashes == 3 {
				third = e.AtMs
			}
		case "arrives":
			if third > 0 && e.AtMs > third+contactWindow && e.Path == prefix+"club-17" {
				retries++
				f.note("arrival %d, %.1f s after the third crash", retries, (e.AtMs-third)/1000)
			}
		}
	}
	f.note("%d crashes, %d arrivals later than contact_window_ms after the third", crashes, retries)
	if retries > 3 {
		return broken, nil
	}
	return held, nil
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

// writer lets another writer send one heartbeat for each server that lacks a field. A second later all hosts' processes are
// killed, right after a desired state was acknowledged, and are back within a second.
func writer(f *fleet, trouble bool) (int, error) {
	const service, prefix = "reservas", "/confirm/"
	deadline := 2500 * time.Millisecond
	r := route("r-confirm", prefix, service, 2500, 250)
	if err := prepare(f, 5, service, config(7, service, r), prefix+"1", deadline, "-work-ms", "20"); err != nil {
		return unable, err
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	var mu sync.Mutex
	type request struct {
		at     float64
		served bool
	}
	var requests []request
	wait.Go(func() {
		for i := 0; !stop.Load(); i++ {
			wait.Go(func() {
				at, end, served := nowMs(), time.Now().Add(deadline), false
				for k := 0; k < 2 && !served; k++ { // one retry on a new connection
					a := f.ask(1+(i+k)%3, "GET", "leno12.example", prefix+fmt.Sprint(i), attemptID(), time.Until(end), nil)
					served = a.err == nil && a.status == 200 && a.signed
				}
				mu.Lock()
				requests = append(requests, request{at, served})
				mu.Unlock()
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
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
	f.note("all hosts' processes are killed")
	fault := nowMs()
	for i, p := range f.nodes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if err := f.writeSettings(i+1, len(f.nodes), false); err != nil {
			return unable, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range f.nodes {
		if err := f.startNode(i); err != nil {
			return unable, err
		}
	}
	back := nowMs()
	time.Sleep(recovery*time.Millisecond + 25*time.Second)
	stop.Store(true)
	wait.Wait()
	var before, servedBefore, after, servedAfter float64
	for _, q := range requests {
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
		return broken, nil
	}
	return held, nil
}
