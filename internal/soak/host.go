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

// host is a node that runs as a process of its own, with relays in front of its ports.
type host struct {
	fleet *Fleet
	index int
	// id is the IP address of the relays, which is also the node's id; bind is that of the process.
	id, bind  string
	hasDisk   bool
	bootstrap bool

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool
	claimed       bool
	packetRelays  []*packetRelay
	callerRelay   *streamRelay
	linkFaults    map[string]Fault
}

// Ports of a host, as offsets from the fleet's base port; they are the same on all hosts.
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

// faultFrom returns the fault on the link from the process at an IP address to this host.
func (h *host) faultFrom(from string) Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.linkFaults[from]
}

func (h *host) setFault(from string, f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkFaults[from] = f
}

func (h *host) openRelays() error {
	h.linkFaults = map[string]Fault{}
	for _, port := range []int{portLink, portGossip} {
		r, err := newPacketRelay(h.addr(h.id, port), h.addr(h.bind, port), h.faultFrom)
		if err != nil {
			return err
		}
		h.packetRelays = append(h.packetRelays, r)
	}
	var err error
	h.callerRelay, err = newStreamRelay(h.addr(h.id, portCallers), h.addr(h.bind, portCallers))
	return err
}

func (h *host) closeRelays() {
	for _, r := range h.packetRelays {
		r.close()
	}
	if h.callerRelay != nil {
		h.callerRelay.close()
	}
}

func (h *host) dataDir() string { return filepath.Join(h.fleet.Dir, h.id+".data") }

func (h *host) writeSettings() (string, error) {
	var seeds []string
	for _, s := range h.fleet.hosts[:min(seedHosts, len(h.fleet.hosts))] {
		seeds = append(seeds, s.id)
	}
	s := map[string]any{
		"id": h.id, "bind": h.bind, "source": h.bind, "name": fmt.Sprint("host-", h.index), "zone": fmt.Sprint("z", h.index%3), "region": "r",
		"callers": h.addr(h.bind, portCallers), "control": h.addr(h.bind, portControl), "link_port": h.fleet.port + portLink, "gossip_port": h.fleet.port + portGossip,
		"seeds": seeds, "found": h.bootstrap, "beat_ms": heartbeatInterval.Milliseconds(), "grace_ms": drainGraceMs, "ttl_ms": 1000,
		"repeats": map[string]any{"percent": repeatPercent, "fixed": repeatFixed, "window_ms": repeatWindow.Milliseconds()},
	}
	if h.hasDisk {
		s["data"] = h.dataDir()
	}
	b, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	path := filepath.Join(h.fleet.Dir, h.id+".json")
	return path, os.WriteFile(path, b, 0o600)
}

// start writes the settings and starts the process.
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
	h.bootstrap, h.stopRequested, h.cmd, h.exited = false, false, cmd, make(chan struct{})
	go h.watch(cmd, h.exited, log)
	return nil
}

// watch waits for the process to exit and reports an exit that was not requested.
func (h *host) watch(cmd *exec.Cmd, exited chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	h.mu.Lock()
	stopRequested := h.stopRequested
	h.mu.Unlock()
	if !stopRequested && h.fleet.ctx.Err() == nil {
		h.fleet.checker.report("process of %s exited without a request to stop: %v", h.id, err)
	}
	close(exited)
}

// signal sends a signal to the process; stopping is true if the process is meant to exit.
func (h *host) signal(s syscall.Signal, stopping bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	h.stopRequested = h.stopRequested || stopping
	_ = h.cmd.Process.Signal(s)
}

// waitExit waits until the process has exited, and kills it after the timeout or when ctx is done.
func (h *host) waitExit(ctx context.Context, timeout time.Duration) {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
	case <-ctx.Done():
	case <-time.After(timeout):
		h.fleet.checker.report("process of %s did not exit within %v of SIGTERM or SIGKILL", h.id, timeout)
	}
	h.signal(syscall.SIGKILL, true)
	h.signal(syscall.SIGCONT, true)
	<-exited
	h.mu.Lock()
	h.cmd = nil
	h.mu.Unlock()
}

// kill sends SIGKILL to the process and waits until it has exited.
func (h *host) kill() {
	h.signal(syscall.SIGKILL, true)
	h.waitExit(context.Background(), time.Minute)
}

// wipeData deletes the data directory of a host that is down.
func (h *host) wipeData() error { return os.RemoveAll(h.dataDir()) }

// tearLog appends an incomplete record to the log of a host that is down, as a power failure during a write leaves it.
func (h *host) tearLog() error {
	f, err := os.OpenFile(filepath.Join(h.dataDir(), "log"), os.O_APPEND|os.O_WRONLY, 0)
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
