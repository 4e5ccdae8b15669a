// Package soak runs nodes as separate processes with relays between all of them, injects seeded faults through the
// relays, signals and the data directories, and checks the documented guarantees against what callers, servers and
// operators observe.
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

// Fault describes how a relay disturbs the traffic that it forwards.
type Fault struct {
	// DropForward drops the data sent to the target, DropReturn the data that the target sends back.
	DropForward, DropReturn bool
	// Delay is added to both directions.
	Delay time.Duration
	// Loss drops every Loss-th datagram; 0 drops none.
	Loss int
}

// packetRelay forwards datagrams to a node, over a socket per sender, so that a fault can affect a single pair of
// nodes.
type packetRelay struct {
	sock *net.UDPConn
	to   netip.AddrPort
	// fault returns the fault on the link from a sender, given by its IP address, to this node.
	fault func(from string) Fault

	mu    sync.Mutex
	flows map[netip.AddrPort]*net.UDPConn
	count int
	wait  sync.WaitGroup
}

const (
	maxDatagramBytes = 64 << 10
	// dialTimeout is far longer than a connection within one machine takes.
	dialTimeout = time.Second
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
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		c := r.flow(from)
		f := r.fault(from.Addr().String())
		if c == nil || f.DropForward || r.shouldDrop(f) {
			continue
		}
		send(f, buf[:n], func(b []byte) { _, _ = c.Write(b) })
	}
}

func (r *packetRelay) shouldDrop(f Fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	return f.Loss > 0 && r.count%f.Loss == 0
}

// send writes b at once, or a copy of it after f.Delay.
func send(f Fault, b []byte, write func([]byte)) {
	if f.Delay == 0 {
		write(b)
		return
	}
	delayed := append([]byte(nil), b...)
	time.AfterFunc(f.Delay, func() { write(delayed) })
}

// flow returns the socket that forwards a sender's datagrams and receives the replies, or nil if it can't be opened.
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
	go r.forwardBack(c, from)
	return c
}

func (r *packetRelay) forwardBack(c *net.UDPConn, to netip.AddrPort) {
	defer r.wait.Done()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := c.Read(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			// The target is not listening; it may be restarting.
			time.Sleep(time.Millisecond)
			continue
		}
		if f := r.fault(to.Addr().String()); !f.DropReturn && !r.shouldDrop(f) {
			send(f, buf[:n], func(b []byte) { _, _ = r.sock.WriteToUDPAddrPort(b, to) })
		}
	}
}

// streamRelay forwards TCP connections to a server or a node.
type streamRelay struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	// cutFrom holds the IP addresses whose connections are reset.
	cutFrom map[string]bool
	wait    sync.WaitGroup
}

func newStreamRelay(listen, to string) (*streamRelay, error) {
	l, err := listenOn(listen)
	if err != nil {
		return nil, err
	}
	r := &streamRelay{listener: l, to: to, conns: map[net.Conn]bool{}, cutFrom: map[string]bool{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wait.Add(1)
	go r.accept()
	return r, nil
}

func listenOn(addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
}

func (r *streamRelay) addr() string { return r.listener.Addr().String() }

func (r *streamRelay) setFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

func (r *streamRelay) getFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// setCut cuts a host off from the target or joins it again.
func (r *streamRelay) setCut(host string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutFrom[host] = cut
	for c := range r.conns {
		if r.isCut(c) {
			closeWithReset(c)
		}
	}
}

// isCut reports whether a connection comes from a host that is cut off. It is called with mu held.
func (r *streamRelay) isCut(c net.Conn) bool {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	return err == nil && r.cutFrom[host]
}

// reset closes every open connection with a TCP RST.
func (r *streamRelay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		closeWithReset(c)
	}
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *streamRelay) close() {
	r.cancel()
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
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(r.ctx, "tcp", r.to)
	if err != nil {
		// The target is not listening: reset the client's connection, so that the client sees a failure too.
		closeWithReset(near)
		return
	}
	r.mu.Lock()
	cut := r.isCut(near)
	if !cut {
		r.conns[near], r.conns[far] = true, true
	}
	r.mu.Unlock()
	if cut {
		closeWithReset(near)
		_ = far.Close()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(far, near, func(f Fault) bool { return f.DropForward })
	}()
	r.copy(near, far, func(f Fault) bool { return f.DropReturn })
	<-done
	r.mu.Lock()
	delete(r.conns, near)
	delete(r.conns, far)
	r.mu.Unlock()
}

// copy forwards one direction of a connection. Once silenced reports true, all further bytes are read and discarded,
// also after the fault has ended.
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
		f := r.getFault()
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
