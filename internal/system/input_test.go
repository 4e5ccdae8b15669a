package system

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// readMs is the time in which a request must have arrived.
const readMs = 300

// TestSlowInputIsCutOff sends requests that never end: each is answered or cut
// off within the time for input, and others are served meanwhile.
func TestSlowInputIsCutOff(t *testing.T) {
	const slow = 50
	f := newFleet(t, shape{nodes: 3, services: []stand.Service{search("fitter-app", 1)}, limits: map[string]int{"read_ms": readMs}})
	f.awaitAnswers(f.nodes...)
	auth := base64.StdEncoding.EncodeToString([]byte("desk:" + secret))
	head := "POST /v1/query HTTP/1.1\r\nHost: x\r\nAuthorization: Basic " + auth + "\r\n"
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"body that does not end", head + "Content-Length: 1000\r\n\r\n{", http.StatusRequestTimeout},
		{"header that does not end", head, 0},
		{"nothing at all", "", 0},
	} {
		var open []net.Conn
		began := time.Now()
		for range slow {
			conn, err := net.Dial("tcp", f.nodes[0].callers)
			require.NoError(t, err, c.name)
			_, err = conn.Write([]byte(c.text))
			require.NoError(t, err, c.name)
			open = append(open, conn)
		}
		require.Equal(t, tier.Done, f.query(f.nodes[0], `{"x":1}`).Outcome, c.name)
		for _, conn := range open {
			require.Equal(t, c.want, f.statusOf(conn), c.name)
		}
		require.Less(t, time.Since(began), 10*readMs*time.Millisecond, c.name)
	}
}

// statusOf reads an answer's status until the peer closes; 0 if there is none.
func (f *fleet) statusOf(c net.Conn) int {
	defer func() { _ = c.Close() }()
	require.NoError(f.t, c.SetReadDeadline(time.Now().Add(patience)))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		var ne net.Error
		require.False(f.t, errors.As(err, &ne) && ne.Timeout(), "the connection stayed open")
		return 0
	}
	status := 0
	_, err = fmt.Sscanf(line, "HTTP/1.1 %d", &status)
	require.NoError(f.t, err)
	return status
}
