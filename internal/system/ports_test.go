package system

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Ports of the tests' processes lie below those that the kernel gives to outgoing connections
// (32768 on Linux): a closed connection keeps its port for a minute, also against listeners.
const (
	firstPort = 12000
	lastPort  = 32000
	portSpan  = 2000
)

// portTable hands out ports of one test process; no port is handed out twice.
type portTable struct {
	mu   sync.Mutex
	next int
}

// Different processes start at different places, so that two of them seldom try the same port.
var ports = portTable{next: firstPort + os.Getpid()%((lastPort-firstPort)/portSpan)*portSpan}

// take returns the first of n ports in a row that are free for TCP and UDP, or 0 if there are none.
func (p *portTable) take(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tried := 0; tried < lastPort-firstPort; tried++ {
		if p.next+n > lastPort {
			p.next = firstPort
		}
		base := p.next
		busy := firstBusy(base, n)
		if busy < 0 {
			p.next = base + n
			return base
		}
		p.next = busy + 1
	}
	return 0
}

// firstBusy returns the first of n ports from base that is not free, or -1.
func firstBusy(base, n int) int {
	for port := base; port < base+n; port++ {
		if !portIsFree(port) {
			return port
		}
	}
	return -1
}

func portIsFree(port int) bool {
	addr := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func freePorts(t *testing.T, n int) int {
	t.Helper()
	base := ports.take(n)
	require.NotZero(t, base, "no free ports")
	return base
}

func freeAddr(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePorts(t, 1))
}

// Load tests leave thousands of closed connections behind; in CI their ports once used up every range.
func TestPortsAreFoundAmongClosedConnections(t *testing.T) {
	const closed = 10000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	for range closed {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		s, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, c.Close())
		require.NoError(t, s.Close())
	}
	for range 10 {
		require.Less(t, freePorts(t, 100), lastPort)
	}
}
