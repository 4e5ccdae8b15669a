package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// snapshotRoutes is the number of routes of a desired state.
	snapshotRoutes = 500
	// firstChanges is the number of changes before the first machine is added: more than a replica keeps in its log.
	firstChanges = 270
	// inProgress is the number of orders that the operator has in progress at once.
	inProgress = 8
	// configApply is config_apply_ms.
	configApply = 3 * time.Second
	// maxAdded is the number of machines that are added to an installation before the next one is played.
	maxAdded = 4
	playTime = 95 * time.Second
	// restartDelay is the time after which an ended process is started again.
	restartDelay = 500 * time.Millisecond
	// herdDelay is the time after which the last of the processes is back that were killed at the same moment.
	herdDelay = 900 * time.Millisecond
	// calmTime is how long the desired state changes without a disruption.
	calmTime = 12 * time.Second
)

// snapshotCase is one installation of the case.
type snapshotCase struct {
	fleet   *fleet
	op      *operator
	version atomic.Uint64
	base    []*machine
}

// runSnapshot adds machines with a disk while the operator changes the desired state in quick succession. Once the changes
// have ended just as a machine was added, it kills all processes at the same moment, starts the added machine first, and reads
// the desired state back. What the processes log only tells it when to end the changes and when to kill.
func runSnapshot(f *fleet, trouble bool) string {
	began := time.Now()
	base := f.machines
	for part := 0; time.Since(began) < playTime; part++ {
		if part > 0 {
			f.rec.add("the next installation starts with empty disks")
			f.close()
			for _, m := range f.machines {
				m.wipe()
			}
			f.machines = base
			for _, m := range base {
				m.bootstrap = true
			}
			f.startAll()
		}
		c := &snapshotCase{fleet: f, op: &operator{fleet: f}, base: base}
		c.version.Store(1)
		if status := c.op.put(1, manyRoutes(1, 3), 20*time.Second); status != http.StatusOK {
			cannotRun("the first desired state was not accepted: %d", status)
		}
		f.waitReady(base, 20*time.Second)
		c.change(3, func() bool { return c.version.Load() >= firstChanges })
		if !trouble {
			c.change(snapshotRoutes, func() bool { return time.Since(began) > calmTime })
			time.Sleep(configApply)
			return c.readAll()
		}
		for added := range maxAdded {
			if time.Since(began) > playTime {
				break
			}
			m := c.addMachine(10 + 10*part + added)
			if m == nil {
				continue
			}
			if broken := c.killAll(m); broken != "" {
				return broken
			}
			break
		}
	}
	return ""
}

// change sends desired states, inProgress at once, until stop.
func (c *snapshotCase) change(routes int, stop func() bool) {
	var senders sync.WaitGroup
	for range inProgress {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for !stop() {
				v := c.version.Add(1)
				c.op.put(v, manyRoutes(v, routes), 10*time.Second)
			}
		}()
	}
	senders.Wait()
}

// addMachine adds a machine with a disk and changes the desired state until the control group takes it in. It returns the
// machine if the last change came to it with the state that it started from, otherwise nil.
func (c *snapshotCase) addMachine(number int) *machine {
	f := c.fleet
	leader := f.leader()
	if leader == nil {
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	m := f.newMachine(number)
	from := leader.logSize()
	m.start()
	added := append(append([]*machine{}, f.machines...), m)
	var taken atomic.Bool
	end := time.Now().Add(3 * time.Second)
	go func() {
		for time.Now().Before(end) && !taken.Load() {
			taken.Store(leader.logged(from, `"step":"add"`, m.ip))
			time.Sleep(200 * time.Microsecond)
		}
	}()
	c.change(snapshotRoutes, func() bool { return taken.Load() || time.Now().After(end) })
	f.rec.add("platform: %s was added, version %d is acknowledged", m.ip, c.op.acked)
	time.Sleep(300 * time.Millisecond)
	f.machines = added
	accepted, own := 0.0, 0.0
	for _, l := range logLines(leader.logPath, from) {
		if l["msg"] == "routing table accepted" && l["version"] == float64(c.op.acked) {
			accepted, _ = l["index"].(float64)
		}
	}
	installed := 0.0
	for _, l := range logLines(m.logPath, 0) {
		switch l["msg"] {
		case "snapshot installed":
			installed, _ = l["index"].(float64)
		case "routing table accepted":
			own, _ = l["index"].(float64)
		}
	}
	if accepted > 0 && installed >= accepted && own < accepted {
		return m
	}
	return nil
}

func logLines(path string, from int64) (out []map[string]any) {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	_, _ = file.Seek(from, io.SeekStart)
	b, _ := io.ReadAll(file)
	for _, line := range strings.Split(string(b), "\n") {
		var l map[string]any
		if json.Unmarshal([]byte(line), &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

// killAll kills all processes at the same moment, which are back within a second, the added machine first, and reads the
// desired state back.
func (c *snapshotCase) killAll(added *machine) string {
	f := c.fleet
	f.rec.add("the changes have ended: version %d is acknowledged", c.op.acked)
	time.Sleep(time.Until(c.op.ackedAt.Add(configApply + 500*time.Millisecond)))
	if broken := c.readAll(); broken != "" {
		return broken
	}
	killed := time.Now()
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		<-m.exited
	}
	added.start()
	time.Sleep(time.Until(killed.Add(herdDelay)))
	for _, m := range f.machines {
		if m != added {
			m.start()
		}
	}
	f.waitReady(f.machines, 20*time.Second)
	return c.readAll()
}

// readAll reads the desired state back from each machine and returns what is older than the acknowledged version.
func (c *snapshotCase) readAll() string {
	for _, m := range c.fleet.machines {
		if v := c.op.read(m); v != 0 && v < c.op.acked {
			return fmt.Sprintf("version %d was acknowledged %.1f s ago, %s reads back version %d", c.op.acked, time.Since(c.op.ackedAt).Seconds(), m.ip, v)
		}
	}
	return ""
}
