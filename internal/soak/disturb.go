package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// disturbance is one kind of fault.
type disturbance struct {
	name string
	run  func(f *Fleet, h *host, length time.Duration)
}

// disturbances are drawn by the seed. Each returns once it is under way; what
// it began ends by itself.
var disturbances = []disturbance{
	{"kill", func(f *Fleet, h *host, d time.Duration) { f.down(h, d/4, nil) }},
	{"kill and tear the log", func(f *Fleet, h *host, d time.Duration) { f.down(h, d/4, h.tear) }},
	{"kill, wipe the disk", (*Fleet).wipeOne},
	{"kill all", func(f *Fleet, _ *host, d time.Duration) {
		for _, h := range f.hosts {
			f.down(h, d/8, nil)
		}
	}},
	{"freeze", func(f *Fleet, h *host, d time.Duration) {
		h.signal(syscall.SIGSTOP, false)
		f.later(d, func() { h.signal(syscall.SIGCONT, false) })
	}},
	{"stop and start again", (*Fleet).stopOne},
	{"stop two", func(f *Fleet, h *host, d time.Duration) {
		f.stopOne(h, d)
		f.stopOne(f.hosts[(h.index+1)%len(f.hosts)], d)
	}},
	{"cut one way", func(f *Fleet, h *host, d time.Duration) { f.link(h, Fault{Cut: true}, d) }},
	{"cut both ways", func(f *Fleet, h *host, d time.Duration) { f.link(h, Fault{Cut: true, Mute: true}, d) }},
	{"delay and lose", func(f *Fleet, h *host, d time.Duration) {
		f.link(h, Fault{Delay: 30 * time.Millisecond, Loss: 5}, d)
	}},
	{"silence callers' connections", func(f *Fleet, h *host, d time.Duration) {
		h.front.set(Fault{Mute: true})
		f.later(d/4, func() { h.front.set(Fault{}); h.front.reset() })
	}},
	{"reset callers' connections", func(_ *Fleet, h *host, _ time.Duration) { h.front.reset() }},
	{"server crashes", func(f *Fleet, _ *host, d time.Duration) {
		s := f.server()
		s.crash()
		f.later(d, s.restart)
	}},
	{"server resets connections", func(f *Fleet, _ *host, _ time.Duration) { f.server().relay.reset() }},
	{"server goes silent", func(f *Fleet, _ *host, d time.Duration) {
		s := f.server()
		s.relay.set(Fault{Cut: true, Mute: true})
		f.later(d, func() { s.relay.set(Fault{}) })
	}},
	{"server loses answers", func(f *Fleet, _ *host, d time.Duration) {
		s := f.server()
		s.relay.set(Fault{Mute: true})
		f.later(d/2, func() { s.relay.set(Fault{}); s.relay.reset() })
	}},
	{"server is slow", func(f *Fleet, _ *host, d time.Duration) {
		s := f.server()
		s.set(false, 300*time.Millisecond)
		f.later(d, func() { s.set(false, 0) })
	}},
	{"server drains", func(f *Fleet, _ *host, d time.Duration) {
		s := f.server()
		s.set(true, 0)
		f.later(d+drainBound, func() { s.set(false, 0) })
	}},
}

// disturb injects faults for Length: they come in series and overlap.
func (f *Fleet) disturb(ctx context.Context) {
	for end := time.Now().Add(f.Length); time.Now().Before(end) && ctx.Err() == nil; {
		for range 1 + f.rand.IntN(3) {
			k := disturbances[f.rand.IntN(len(disturbances))]
			h := f.hosts[f.rand.IntN(len(f.hosts))]
			d := time.Duration(500+f.rand.IntN(3000)) * time.Millisecond
			_, _ = fmt.Fprintf(f.Out, "%7.3f s  %s, %s, %v\n", time.Since(f.judge.began).Seconds(), k.name, h.id, d)
			f.judge.trouble(d + grace)
			k.run(f, h, d)
		}
		pause(ctx, time.Duration(100+f.rand.IntN(1500))*time.Millisecond)
	}
	// What was begun ends by itself; traffic goes on meanwhile.
	pause(ctx, grace)
}

func (f *Fleet) server() *server { return f.servers[f.rand.IntN(len(f.servers))] }

// later runs an end of a fault after a while, or when the run ends.
func (f *Fleet) later(d time.Duration, end func()) {
	f.spawn(func() {
		pause(f.ctx, d)
		end()
	})
}

// down kills a host and starts it again after a while; between does something to what it left.
func (f *Fleet) down(h *host, d time.Duration, between func() error) {
	if !h.take() {
		return
	}
	h.signal(syscall.SIGKILL, true)
	f.spawn(func() {
		defer h.free()
		h.end(f.ctx, time.Minute)
		if between != nil {
			if err := between(); err != nil {
				f.judge.fail("prepare %s: %v", h.id, err)
			}
		}
		pause(f.ctx, d)
		f.again(h)
	})
}

func (f *Fleet) again(h *host) {
	if f.ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		f.judge.fail("start %s: %v", h.id, err)
	}
}

// stopOne stops a host gracefully, while callers go on using their connections
// until it is gone, and starts it again.
func (f *Fleet) stopOne(h *host, d time.Duration) {
	if !h.take() {
		return
	}
	h.signal(syscall.SIGCONT, false)
	h.signal(syscall.SIGTERM, true)
	f.spawn(func() {
		defer h.free()
		h.end(f.ctx, grace+2*time.Second)
		pause(f.ctx, d/4)
		f.again(h)
	})
}

// wipeOne empties the disk of one control host, at most once in a run: more
// losses than the group bears are not promised to be survived.
func (f *Fleet) wipeOne(h *host, d time.Duration) {
	if f.lost || !h.disk {
		return
	}
	f.lost = true
	f.down(h, d/4, h.wipe)
}

// link disturbs a host's links with half of the others.
func (f *Fleet) link(h *host, fault Fault, d time.Duration) {
	for i, o := range f.hosts {
		if o == h || (i+h.index)%2 == 0 {
			continue
		}
		h.setFault(o.bind, fault)
		o.setFault(h.bind, fault)
		f.later(d, func() {
			h.setFault(o.bind, Fault{})
			o.setFault(h.bind, Fault{})
		})
	}
}

// take claims a host for one stop or kill at a time.
func (h *host) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy || h.cmd == nil {
		return false
	}
	h.busy = true
	return true
}

func (h *host) free() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = false
}
