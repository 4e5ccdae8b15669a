// Package soak runs real nodes as separate processes with relays between all
// of them, injects faults from outside by a seed, and checks the promises of
// the pages by what callers, servers and operators see.
package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what a relay does to traffic.
type Fault struct {
	// Cut drops what goes to the far end, Mute what comes back.
	Cut, Mute bool
	// Delay holds everything up.
	Delay time.Duration
	// Loss drops one datagram in so many; 0 is none.
	Loss int
}

// packetRelay forwards datagrams to a node, apart for each sender, so that a
// fault can hit one pair of nodes.
type packetRelay struct {
	sock *net.UDPConn
	to   netip.AddrPort
	// fault returns the fault between a sender, by its IP address, and this node.
	fault func(from string) Fault

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
	count int
	wait  sync.WaitGroup
}

const (
	datagramBytes = 64 << 10
	// dialTime is far above what a connection on one machine needs.
	dialTime = time.Second
)

func newPacketRelay(listen, to string, fault func(from string) Fault) (*packetRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	sock, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	r := &packetRelay{sock: sock, fault: fault, flows: map[netip.AddrPort]*net.UDPConn{}}
	if r.to, err = netip.ParseAddrPort(to); err != nil {
		return nil, err
	}
	r.wait.Add(1)
	go r.forward()
	return r, nil
}

func (r *packetRelay) close() {
	_ = r.sock.Close()
	r.mu.Lock()
	for _, c := range r.flows {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

func (r *packetRelay) forward() {
	defer r.wait.Done()
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := r.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		c := r.flow(from)
		f := r.fault(from.Addr().String())
		if c == nil || f.Cut || r.lost(f) {
			continue
		}
		send(f, buf[:n], func(b []byte) { _, _ = c.Write(b) })
	}
}

func (r *packetRelay) lost(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	return f.Loss > 0 && r.count%f.Loss == 0
}

// send writes now, or a copy later.
func send(f Fault, b []byte, write func([]byte)) {
	if f.Delay == 0 {
		write(b)
		return
	}
	late := append([]byte(nil), b...)
	time.AfterFunc(f.Delay, func() { write(late) })
}

// flow returns the socket on which a sender's datagrams go on, and answers come back.
func (r *packetRelay) flow(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.flows[from]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.to))
	if err != nil {
		return nil
	}
	r.flows[from] = c
	r.wait.Add(1)
	go r.back(c, from)
	return c
}

func (r *packetRelay) back(c *net.UDPConn, to netip.AddrPort) {
	defer r.wait.Done()
	buf := make([]byte, datagramBytes)
	for {
		n, err := c.Read(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			// Nothing listens behind the relay; that passes.
			time.Sleep(time.Millisecond)
			continue
		}
		if f := r.fault(to.Addr().String()); !f.Mute && !r.lost(f) {
			send(f, buf[:n], func(b []byte) { _, _ = r.sock.WriteToUDPAddrPort(b, to) })
		}
	}
}

// streamRelay forwards connections to a server or a node.
type streamRelay struct {
	ctx      context.Context
	end      context.CancelFunc
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	wait  sync.WaitGroup
}

func newStreamRelay(listen, to string) (*streamRelay, error) {
	l, err := listenOn(listen)
	if err != nil {
		return nil, err
	}
	r := &streamRelay{listener: l, to: to, conns: map[net.Conn]bool{}}
	r.ctx, r.end = context.WithCancel(context.Background())
	r.wait.Add(1)
	go r.accept()
	return r, nil
}

func listenOn(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

func (r *streamRelay) addr() string { return r.listener.Addr().String() }

func (r *streamRelay) set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

func (r *streamRelay) get() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// reset breaks every open connection.
func (r *streamRelay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *streamRelay) close() {
	r.end()
	_ = r.listener.Close()
	r.reset()
	r.wait.Wait()
}

func (r *streamRelay) accept() {
	defer r.wait.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wait.Add(1)
		go r.serve(c)
	}
}

func (r *streamRelay) serve(near net.Conn) {
	defer r.wait.Done()
	far, err := (&net.Dialer{Timeout: dialTime}).DialContext(r.ctx, "tcp", r.to)
	if err != nil {
		// Nothing listens behind the relay: the near end must see that too.
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = true, true
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(far, near, func(f Fault) bool { return f.Cut })
	}()
	r.copy(near, far, func(f Fault) bool { return f.Mute })
	<-done
	r.mu.Lock()
	delete(r.conns, near)
	delete(r.conns, far)
	r.mu.Unlock()
}

// copy forwards one direction. While it is silenced, bytes are read and lost,
// and the connection stays silent for good.
func (r *streamRelay) copy(to, from net.Conn, silenced func(Fault) bool) {
	buf := make([]byte, 16<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
		f := r.get()
		silent = silent || silenced(f)
		if silent {
			continue
		}
		time.Sleep(f.Delay)
		if _, err := to.Write(buf[:n]); err != nil {
			_ = from.Close()
		}
	}
}
