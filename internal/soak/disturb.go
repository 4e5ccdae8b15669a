package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// faultKind is a kind of fault that a run injects.
type faultKind struct {
	name string
	run  func(f *Fleet, h *host, length time.Duration)
}

// faultKinds are chosen at random from the seed. Each run function returns once its fault has started; the fault
// ends without a further call.
var faultKinds = []faultKind{
	{"kill", func(f *Fleet, h *host, d time.Duration) { f.killAndRestart(h, d/4, nil) }},
	{"kill and tear the log", func(f *Fleet, h *host, d time.Duration) { f.killAndRestart(h, d/4, h.tearLog) }},
	{"kill, wipe the disk", (*Fleet).killAndWipe},
	{"kill all", func(f *Fleet, _ *host, d time.Duration) {
		for _, h := range f.hosts {
			f.killAndRestart(h, d/8, nil)
		}
	}},
	{"freeze", func(f *Fleet, h *host, d time.Duration) {
		h.signal(syscall.SIGSTOP, false)
		f.afterDelay(d, func() { h.signal(syscall.SIGCONT, false) })
	}},
	{"stop and start again", (*Fleet).stopAndRestart},
	{"stop two", func(f *Fleet, h *host, d time.Duration) {
		f.stopAndRestart(h, d)
		f.stopAndRestart(f.hosts[(h.index+1)%len(f.hosts)], d)
	}},
	{"cut one way", func(f *Fleet, h *host, d time.Duration) { f.disturbLinks(h, Fault{DropForward: true}, d) }},
	{"cut both ways", func(f *Fleet, h *host, d time.Duration) {
		f.disturbLinks(h, Fault{DropForward: true, DropReturn: true}, d)
	}},
	{"delay and lose", func(f *Fleet, h *host, d time.Duration) {
		f.disturbLinks(h, Fault{Delay: 30 * time.Millisecond, Loss: 5}, d)
	}},
	{"silence callers' connections", func(f *Fleet, h *host, d time.Duration) {
		h.callerRelay.setFault(Fault{DropReturn: true})
		f.afterDelay(d/4, func() { h.callerRelay.setFault(Fault{}); h.callerRelay.reset() })
	}},
	{"reset callers' connections", func(_ *Fleet, h *host, _ time.Duration) { h.callerRelay.reset() }},
	{"cut off from the servers", func(f *Fleet, h *host, d time.Duration) {
		f.setServersCut(h, true)
		f.afterDelay(d, func() { f.setServersCut(h, false) })
	}},
	{"all cut off from the servers", func(f *Fleet, _ *host, d time.Duration) {
		for _, h := range f.hosts {
			f.setServersCut(h, true)
			f.afterDelay(d/2, func() { f.setServersCut(h, false) })
		}
	}},
	{"server crashes", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.crash()
		f.afterDelay(d, s.restart)
	}},
	{"all servers of a service crash", func(f *Fleet, _ *host, d time.Duration) {
		for _, s := range f.serversOfOne() {
			s.crash()
			f.afterDelay(d, s.restart)
		}
	}},
	{"server resets connections", func(f *Fleet, _ *host, _ time.Duration) { f.randomServer().relay.reset() }},
	{"server goes silent", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.relay.setFault(Fault{DropForward: true, DropReturn: true})
		f.afterDelay(d, func() { s.relay.setFault(Fault{}) })
	}},
	{"server loses answers", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.relay.setFault(Fault{DropReturn: true})
		f.afterDelay(d/2, func() { s.relay.setFault(Fault{}); s.relay.reset() })
	}},
	{"server is slow", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.setState(false, 300*time.Millisecond)
		f.afterDelay(d, func() { s.setState(false, 0) })
	}},
	{"server answers without end", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.setEndless(true)
		f.afterDelay(d, func() { s.setEndless(false) })
	}},
	{"server drains", func(f *Fleet, _ *host, d time.Duration) {
		s := f.randomServer()
		s.setState(true, 0)
		f.afterDelay(d+maxDrainDelay, func() { s.setState(false, 0) })
	}},
	{"server stutters", func(f *Fleet, _ *host, d time.Duration) { f.giveHabit(stutters, d, f.randomServer()) }},
	{allStutter, func(f *Fleet, _ *host, d time.Duration) { f.giveHabit(stutters, d, f.servers...) }},
	{"server fails", func(f *Fleet, _ *host, d time.Duration) { f.giveHabit(fails, d, f.randomServer()) }},
	{"server refuses", func(f *Fleet, _ *host, d time.Duration) { f.giveHabit(refuses, d, f.randomServer()) }},
}

// allStutter is the name of the fault in which every server stutters.
const allStutter = "all servers stutter"

// giveHabit gives servers a habit for d.
func (f *Fleet) giveHabit(h habit, d time.Duration, list ...*server) {
	for _, s := range list {
		s.addHabit(h, 1)
		f.afterDelay(d, func() { s.addHabit(h, -1) })
	}
}

// injectFaults injects faults for FaultDuration, up to three at once; later ones may overlap earlier ones.
func (f *Fleet) injectFaults(ctx context.Context) {
	for _, k := range faultKinds {
		if k.name == f.First {
			f.inject(k, f.hosts[0], f.FaultDuration)
		}
	}
	for end := time.Now().Add(f.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		for range 1 + f.rand.IntN(3) {
			k := faultKinds[f.rand.IntN(len(faultKinds))]
			h := f.hosts[f.rand.IntN(len(f.hosts))]
			f.inject(k, h, time.Duration(500+f.rand.IntN(3000))*time.Millisecond)
		}
		pause(ctx, time.Duration(100+f.rand.IntN(1500))*time.Millisecond)
	}
	// Leaves the last faults time to end, while traffic continues.
	pause(ctx, drainGrace)
}

func (f *Fleet) inject(k faultKind, h *host, d time.Duration) {
	_, _ = fmt.Fprintf(f.Out, "%7.3f s  %s, %s, %v\n", time.Since(f.checker.started).Seconds(), k.name, h.id, d)
	f.checker.markFaulty(d + drainGrace)
	k.run(f, h, d)
}

func (f *Fleet) randomServer() *server { return f.servers[f.rand.IntN(len(f.servers))] }

// afterDelay calls end, which ends a fault, after d or when the run ends.
func (f *Fleet) afterDelay(d time.Duration, end func()) {
	f.spawn(func() {
		pause(f.ctx, d)
		end()
	})
}

// killAndRestart kills a host and restarts it after d. A non-nil between runs once the process has exited, to alter
// the files that it left.
func (f *Fleet) killAndRestart(h *host, d time.Duration, between func() error) {
	if !h.claim() {
		return
	}
	h.signal(syscall.SIGKILL, true)
	f.spawn(func() {
		defer h.release()
		h.waitExit(f.ctx, time.Minute)
		if between != nil {
			if err := between(); err != nil {
				f.checker.report("alter the data of %s before its restart: %v", h.id, err)
			}
		}
		pause(f.ctx, d)
		f.restart(h)
	})
}

func (f *Fleet) restart(h *host) {
	if f.ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		f.checker.report("start %s: %v", h.id, err)
	}
}

// stopAndRestart stops a host with SIGTERM and restarts it. Callers keep using their connections until the process
// exits.
func (f *Fleet) stopAndRestart(h *host, d time.Duration) {
	if !h.claim() {
		return
	}
	h.signal(syscall.SIGCONT, false)
	h.signal(syscall.SIGTERM, true)
	f.spawn(func() {
		defer h.release()
		h.waitExit(f.ctx, drainGrace+2*time.Second)
		pause(f.ctx, d/4)
		f.restart(h)
	})
}

// killAndWipe kills a host that has a disk, deletes its data and restarts it, at most once in a run: the control group
// does not guarantee to survive the loss of more disks.
func (f *Fleet) killAndWipe(h *host, d time.Duration) {
	if f.wiped || !h.hasDisk {
		return
	}
	f.wiped = true
	f.killAndRestart(h, d/4, h.wipeData)
}

// disturbLinks applies a fault to the links between a host and half of the others for d.
func (f *Fleet) disturbLinks(h *host, fault Fault, d time.Duration) {
	for i, o := range f.hosts {
		if o == h || (i+h.index)%2 == 0 {
			continue
		}
		h.setFault(o.bind, fault)
		o.setFault(h.bind, fault)
		f.afterDelay(d, func() {
			h.setFault(o.bind, Fault{})
			o.setFault(h.bind, Fault{})
		})
	}
}

// setServersCut cuts a host off from all servers, or joins it again. Callers and other hosts still reach it.
func (f *Fleet) setServersCut(h *host, cut bool) {
	for _, s := range f.servers {
		s.relay.setCut(h.bind, cut)
	}
}

// claim reserves a running host for one stop or kill at a time and reports whether that worked.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claimed || h.cmd == nil {
		return false
	}
	h.claimed = true
	return true
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claimed = false
}
