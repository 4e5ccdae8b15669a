// Package main holds the stand-ins of the review's scripts: the platform that starts the project's processes, the
// operator, the servers and the requesters, and one case for each script.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, as offsets from the fleet's base port.
const (
	portFrontend = iota
	portReady
	portControl
	portDirectory
	portLink
	portCount = portLink + 16
)

// recorder writes record.txt: one line for each thing that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the platform: a process of the project at its own loopback address.
type machine struct {
	fleet     *fleet
	ip        string
	zone      string
	hasDisk   bool
	dataDir   string
	logPath   string
	bootstrap bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is the platform with its machines.
type fleet struct {
	root     string
	dir      string
	base     int
	subnet   int
	command  []string
	memoryMB int
	machines []*machine
	rec      *recorder
	client   *http.Client
}

// options are the figures of an installation.
type options struct {
	machines int
	disks    int
	memoryMB int
}

// unusable is the panic of a case that cannot run.
type unusable struct{ why string }

func cannotRun(format string, args ...any) { panic(unusable{fmt.Sprintf(format, args...)}) }

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

func newFleet(root, dir string, rec *recorder, o options) *fleet {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		cannotRun("the deploy file has no run line")
	}
	f := &fleet{
		root: root, dir: dir, rec: rec, memoryMB: o.memoryMB, command: strings.Fields(string(m[1])),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.subnet = 1 + os.Getpid()%250
	f.base = freePorts(fmt.Sprintf("127.78.%d.1", f.subnet))
	for i := range o.machines {
		m := f.newMachine(i + 1)
		m.hasDisk, m.bootstrap = i < o.disks, true
		f.machines = append(f.machines, m)
	}
	return f
}

// newMachine returns a machine with a disk that has never run.
func (f *fleet) newMachine(number int) *machine {
	ip := fmt.Sprintf("127.78.%d.%d", f.subnet, number)
	return &machine{
		fleet: f, ip: ip, zone: fmt.Sprintf("z%d", number%3), hasDisk: true,
		dataDir: filepath.Join(f.dir, "data-"+ip), logPath: filepath.Join(f.dir, ip+".log"),
	}
}

// freePorts returns the first of portCount consecutive free ports on an address.
func freePorts(ip string) int {
	for base := 14000; base < 30000; base += portCount {
		free := true
		for p := base; p < base+portCount && free; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
	cannotRun("no free ports")
	return 0
}

func (m *machine) addr(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.fleet.base+port))
}

func (m *machine) control() string { return "http://" + m.addr(portControl) }

// settings returns the settings file, with the fields of the platform's example.
func (m *machine) settings() string {
	f := m.fleet
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, strconv.Quote(f.newMachine(i+1).addr(portControl)))
	}
	data := ""
	if m.hasDisk {
		data = m.dataDir
	}
	return fmt.Sprintf(`node_name = "frontend-%s"
role = "edge"
machine_class = "frontend"
serves = ["frontend","control_plane","directory"]
ip_address = %q
zone = %q
region = "hr-kontinent"
internal_port_range = [%d,%d]
seed_nodes = [%s]
bootstrap = %v
tolerance_member = %v
data_directory = %q
discovery = "registry"
entry_point = "directory"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter"]
config_mode = "highest"
[zones]
z0 = "hr-kontinent"
z1 = "hr-kontinent"
z2 = "hr-kontinent"
[listen_addresses]
frontend = %q
ready = %q
control_plane = %q
directory = %q
[limits]
cpu_share = 0.72
cpu_cores = 1
memory_mb = %d
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
regression_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 62
recovery_s = 12
ttl_max_s = 5
`, m.zone, m.ip, m.zone, f.base+portLink, f.base+portLink+15, strings.Join(seeds, ","), m.bootstrap, m.hasDisk, data,
		m.addr(portFrontend), m.addr(portReady), m.addr(portControl), m.addr(portDirectory), f.memoryMB)
}

// start starts the process with its settings file. bootstrap is true at the first start only.
func (m *machine) start() {
	f := m.fleet
	path := filepath.Join(f.dir, m.ip+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		cannotRun("%v", err)
	}
	m.bootstrap = false
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	cmd.Dir = f.root
	cmd.Env = []string{"SASSAFRASRING_CONFIG=" + path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	f.rec.add("platform: %s started, pid %d", m.ip, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		f.rec.add("platform: %s ended: %v", m.ip, err)
		close(exited)
	}()
}

// pid returns the process id, or 0 if the process does not run.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	select {
	case <-m.exited:
		return 0
	default:
		return m.cmd.Process.Pid
	}
}

func (m *machine) signal(s syscall.Signal) {
	if pid := m.pid(); pid != 0 {
		m.fleet.rec.add("platform: %s gets %v", m.ip, s)
		_ = syscall.Kill(pid, s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.pid() == 0 {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// wipe removes the machine's disk.
func (m *machine) wipe() {
	m.fleet.rec.add("platform: %s loses its disk", m.ip)
	if err := os.RemoveAll(m.dataDir); err != nil {
		cannotRun("%v", err)
	}
}

func (f *fleet) startAll() {
	for _, m := range f.machines {
		m.start()
	}
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
}

// call sends one request on a new connection; status 0 means that no complete response came.
func (f *fleet) call(method, url string, body []byte, timeout time.Duration) (status int, answer []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := *f.client
	c.Timeout = timeout
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// waitReady waits until the machines' readiness checks pass.
func (f *fleet) waitReady(list []*machine, limit time.Duration) {
	end := time.Now().Add(limit)
	for _, m := range list {
		for {
			if status, _ := f.call(http.MethodGet, "http://"+m.addr(portReady)+"/readiness", nil, time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				cannotRun("%s is not ready after %v", m.ip, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// logged reports whether a line of the machine's log from an offset on contains all parts.
func (m *machine) logged(from int64, parts ...string) bool {
	file, err := os.Open(m.logPath)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(from, io.SeekStart); err != nil {
		return false
	}
	b, _ := io.ReadAll(file)
	for _, line := range strings.Split(string(b), "\n") {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}

func (m *machine) logSize() int64 {
	info, err := os.Stat(m.logPath)
	if err != nil {
		return 0
	}
	return info.Size()
}

// leader returns the machine that leads the control group, as the operators' status command shows it; nil if none says.
func (f *fleet) leader() *machine {
	for _, m := range f.machines {
		if m.pid() == 0 {
			continue
		}
		status, b := f.call(http.MethodGet, m.control()+"/v1/ops/status", nil, time.Second)
		var s struct {
			Control *struct {
				Leader string `json:"leader"`
			} `json:"control"`
		}
		if status != http.StatusOK || json.Unmarshal(b, &s) != nil || s.Control == nil {
			continue
		}
		for _, l := range f.machines {
			if strings.HasPrefix(s.Control.Leader, l.ip+"#") && l.pid() != 0 {
				return l
			}
		}
	}
	return nil
}
