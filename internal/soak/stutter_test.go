package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// stutterRequests is so many that a seeded server shows each kind of second answer.
const stutterRequests = 400

// TestServerAnswersTwice sends requests to a stuttering server and expects each kind of second answer, and each at each
// moment: at once, while the connection is idle, and in place of the next answer.
func TestServerAnswersTwice(t *testing.T) {
	s := &server{id: "d", service: deskService, control: []string{"127.0.0.1:1"}, checker: newChecker(), rand: rand.New(rand.NewPCG(1, 1))}
	require.NoError(t, s.start("127.92.251.1"))
	defer s.close()
	s.addHabit(stutters, 1)
	type exchange struct {
		conn  net.Conn
		in    *bufio.Reader
		first *http.Response
	}
	ask := func(x *exchange, id string) *http.Response {
		_, err := fmt.Fprintf(x.conn, "GET /read/ HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s/0\r\n\r\n", tier.HeaderRequestID, id, headerSending, id)
		require.NoError(t, err)
		require.NoError(t, x.conn.SetReadDeadline(time.Now().Add(dialTimeout)))
		a, err := http.ReadResponse(x.in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		if x.first == nil {
			s.checker.mu.Lock()
			defer s.checker.mu.Unlock()
			require.Equal(t, s.checker.given[string(body)].status, a.StatusCode, "the recorded answer comes first")
		}
		return a
	}
	var list []*exchange
	for i := range stutterRequests {
		c, err := net.Dial("tcp", s.relay.addr())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		x := &exchange{conn: c, in: bufio.NewReader(c)}
		x.first = ask(x, fmt.Sprint("a", i))
		require.Equal(t, fmt.Sprint("a", i), x.first.Header.Get(tier.HeaderRequestID))
		list = append(list, x)
	}
	time.Sleep(10 * maxLateness)
	seen := map[string]int{}
	for _, x := range list {
		moment := "early"
		require.NoError(t, x.conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		b, err := http.ReadResponse(x.in, nil)
		if err != nil {
			moment = "next"
			b = ask(x, "b")
		}
		if b.Header.Get(headerRun) == x.first.Header.Get(headerRun) {
			seen[fmt.Sprintf("%s %d %d %v", moment, x.first.StatusCode, b.StatusCode, b.Header.Get(tier.HeaderRequestID) == "")]++
			require.Equal(t, b.StatusCode == http.StatusServiceUnavailable, b.Header.Get(tier.HeaderNotRun) != "")
		}
	}
	for _, moment := range []string{"early", "next"} {
		for _, statuses := range []string{"200 200", "200 503", "200 500", "500 500", "500 200", "404 404", "404 200"} {
			require.Positive(t, seen[moment+" "+statuses+" false"], "%s %s: %v", moment, statuses, seen)
		}
		require.Positive(t, seen[moment+" 200 200 true"], "%s: %v", moment, seen)
	}
}
