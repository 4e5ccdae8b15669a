package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// host is one node as a process, with relays in front of its ports.
type host struct {
	fleet *Fleet
	index int
	// id is the address of the relays, bind that of the process.
	id, bind string
	disk     bool
	first    bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	asked  bool
	busy   bool
	relays []*packetRelay
	front  *streamRelay
	links  map[string]Fault
}

// Ports of a host, from the fleet's base; the same on all hosts.
const (
	portCallers = iota
	portControl
	portLink
	portGossip
	portCount
)

func (h *host) addr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(h.fleet.port+port))
}

// fault returns the fault between the process at an address and this host.
func (h *host) fault(from string) Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[from]
}

func (h *host) setFault(from string, f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links[from] = f
}

func (h *host) openRelays() error {
	h.links = map[string]Fault{}
	for _, port := range []int{portLink, portGossip} {
		r, err := newPacketRelay(h.addr(h.id, port), h.addr(h.bind, port), h.fault)
		if err != nil {
			return err
		}
		h.relays = append(h.relays, r)
	}
	var err error
	h.front, err = newStreamRelay(h.addr(h.id, portCallers), h.addr(h.bind, portCallers))
	return err
}

func (h *host) closeRelays() {
	for _, r := range h.relays {
		r.close()
	}
	if h.front != nil {
		h.front.close()
	}
}

func (h *host) data() string { return filepath.Join(h.fleet.Dir, h.id+".data") }

func (h *host) writeSettings() (string, error) {
	var seeds []string
	for _, s := range h.fleet.hosts[:min(founders, len(h.fleet.hosts))] {
		seeds = append(seeds, s.id)
	}
	s := map[string]any{
		"id": h.id, "bind": h.bind, "name": fmt.Sprint("host-", h.index), "zone": fmt.Sprint("z", h.index%3), "region": "r",
		"callers": h.addr(h.bind, portCallers), "control": h.addr(h.bind, portControl), "link_port": h.fleet.port + portLink, "gossip_port": h.fleet.port + portGossip,
		"seeds": seeds, "found": h.first, "beat_ms": beatEvery.Milliseconds(), "grace_ms": graceMs, "ttl_ms": 1000,
		"repeats": map[string]any{"percent": repeatPercent, "fixed": repeatFixed, "window_ms": repeatWindow.Milliseconds()},
	}
	if h.disk {
		s["data"] = h.data()
	}
	b, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	path := filepath.Join(h.fleet.Dir, h.id+".json")
	return path, os.WriteFile(path, b, 0o600)
}

// start runs the process.
func (h *host) start() error {
	path, err := h.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.fleet.Dir, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(h.fleet.ctx, h.fleet.Binary, "edge", "-c", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.first, h.asked, h.cmd, h.ended = false, false, cmd, make(chan struct{})
	go h.watch(cmd, h.ended, log)
	return nil
}

// watch notes a process that ends without being asked to.
func (h *host) watch(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	h.mu.Lock()
	asked := h.asked
	h.mu.Unlock()
	if !asked && h.fleet.ctx.Err() == nil {
		h.fleet.judge.fail("process of %s ended by itself: %v", h.id, err)
	}
	close(ended)
}

// signal sends a signal to the process; stop says that its end is wanted.
func (h *host) signal(s syscall.Signal, stop bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	h.asked = h.asked || stop
	_ = h.cmd.Process.Signal(s)
}

// end waits until the process has ended, and kills it when the time is over.
func (h *host) end(ctx context.Context, within time.Duration) {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(within):
		h.fleet.judge.fail("process of %s does not end within %v of SIGTERM", h.id, within)
	}
	h.signal(syscall.SIGKILL, true)
	h.signal(syscall.SIGCONT, true)
	<-ended
	h.mu.Lock()
	h.cmd = nil
	h.mu.Unlock()
}

// kill ends the process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL, true)
	h.end(context.Background(), time.Minute)
}

// wipe empties the data folder of a host that is down.
func (h *host) wipe() error { return os.RemoveAll(h.data()) }

// tear leaves half a record at the end of the log of a host that is down, as a
// loss of power under a write does.
func (h *host) tear() error {
	f, err := os.OpenFile(filepath.Join(h.data(), "log"), os.O_APPEND|os.O_WRONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = f.Write([]byte{0x40, 0, 0, 0, 1, 2, 3})
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}
