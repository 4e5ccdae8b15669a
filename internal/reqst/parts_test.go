package reqst

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/work"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	soundRecord = "sound-sound-soun"
	wrongRecord = "wrong-wrong-wron"
	soundHead   = "HTTP/1.1 200 OK\r\nX-Signature: sound\r\n"
)

// missingHeader is the header with the number of missing parts.
var missingHeader = tier.DefaultHeaders().Missing

// scriptedShard starts the servers of one shard. heads returns the status line and the headers of the n-th answer of the
// whole shard; the body is soundRecord after soundHead, else wrongRecord.
func scriptedShard(t *testing.T, shard int, heads func(n int64) string, dir *staticDirectory) (tier.Service, *atomic.Int64) {
	var requests atomic.Int64
	service := tier.Service(fmt.Sprint("shard-", shard))
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go answerScripted(c, &requests, heads)
			}
		}()
		id := tier.ServerID(fmt.Sprintf("s-%d-%d", shard, i))
		dir.services[service] = append(dir.services[service], tier.Candidate{Server: id, Zone: "a"})
		dir.direct[id] = &conn.Direct{Address: l.Addr().String(), Server: id}
	}
	return service, &requests
}

func answerScripted(c net.Conn, requests *atomic.Int64, heads func(n int64) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		head, body := heads(requests.Add(1)), wrongRecord
		if head == soundHead {
			body = soundRecord
		}
		if strings.Contains(head, " 304 ") {
			body = ""
		}
		if _, err := fmt.Fprintf(c, "%sX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, req.Header.Get("X-Request-Id"), len(body), body); err != nil {
			return
		}
	}
}

// gatherFrom forwards one request over two shards: the first one is scripted, the second one is sound.
func gatherFrom(t *testing.T, heads func(n int64) string) (out Outbound, requests int64) {
	r := vers.Route{Idempotent: true, Top: 20, MinShare: 0.5, Gather: []tier.Service{"shard-0", "shard-1"}}
	return forwardScripted(t, r, heads)
}

// forwardScripted forwards one request on a route: the servers of shard-0 are scripted, those of shard-1 are sound.
func forwardScripted(t *testing.T, r vers.Route, heads func(n int64) string) (out Outbound, requests int64) {
	dir := &staticDirectory{services: map[tier.Service][]tier.Candidate{}, direct: map[tier.ServerID]*conn.Direct{}}
	scripted, asked := scriptedShard(t, 0, heads, dir)
	sound, _ := scriptedShard(t, 1, func(int64) string { return soundHead }, dir)
	r.Name, r.Host, r.Prefix, r.Timeout, r.Target, r.Attempts = "search", "search.example", "/", 20*time.Second, 10*time.Second, 2
	table := &vers.Routes{Version: 1, Backends: []vers.Backend{{Name: scripted}, {Name: sound}}, Routes: []vers.Route{r}}
	require.NoError(t, table.Check())
	names := tier.DefaultHeaders()
	names.Signature, names.Parts = "X-Signature", "X-Parts"
	d := &Forwarder{
		Clock: tier.NewClock(), Names: names, Routes: func() *vers.Routes { return table }, Directory: dir,
		Workers: &work.Pool{}, Stats: stats.NewRegistry(), Board: &pace.Board{Zone: "a"},
		Budget: Allowance{Ratio: 0.2, Fixed: 60, Window: 10 * time.Second}, Share: func() float64 { return 1 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.Workers.Start(ctx)
	d.Start(ctx)
	t.Cleanup(func() {
		cancel()
		for _, c := range dir.direct {
			c.Close()
		}
		d.Workers.Wait()
	})
	in := &Inbound{ID: "id", Method: http.MethodGet, Target: "/q", Path: "/q", Host: "search.example", Header: http.Header{}, TimeLeft: 20 * time.Second}
	return d.Forward(ctx, in), asked.Load()
}

// TestFailureOfAServerIsNoPart: guards against merging the body of a server's failure into a gathered answer and naming its
// signature there. Only a signed success is a part; anything else is sent to another server of the shard, or is missing.
func TestFailureOfAServerIsNoPart(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"301", "HTTP/1.1 301 Moved Permanently\r\nX-Signature: wrong\r\n"},
		{"304", "HTTP/1.1 304 Not Modified\r\nX-Signature: wrong\r\n"},
		{"400", "HTTP/1.1 400 Bad Request\r\nX-Signature: wrong\r\n"},
		{"404", "HTTP/1.1 404 Not Found\r\nX-Signature: wrong\r\n"},
		{"408", "HTTP/1.1 408 Request Timeout\r\nX-Signature: wrong\r\n"},
		{"413", "HTTP/1.1 413 Content Too Large\r\nX-Signature: wrong\r\n"},
		{"429", "HTTP/1.1 429 Too Many Requests\r\nX-Signature: wrong\r\n"},
		{"500", "HTTP/1.1 500 Internal Server Error\r\nX-Signature: wrong\r\n"},
		{"503", "HTTP/1.1 503 Service Unavailable\r\nX-Signature: wrong\r\n"},
		{"no signature", "HTTP/1.1 200 OK\r\n"},
		{"an encoded body", "HTTP/1.1 200 OK\r\nX-Signature: wrong\r\nContent-Encoding: gzip\r\n"},
		{"a signature that reads as two", "HTTP/1.1 200 OK\r\nX-Signature: wrong, other\r\n"},
		{"two signatures", "HTTP/1.1 200 OK\r\nX-Signature: wrong\r\nX-Signature: other\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, requests := gatherFrom(t, func(n int64) string {
				if n == 1 {
					return c.head
				}
				return soundHead
			})
			require.Equal(t, http.StatusOK, out.Status)
			require.Equal(t, "sound, sound", out.Header.Get("X-Parts"), "one other server is asked")
			require.Equal(t, "0", out.Header.Get(missingHeader))
			require.Equal(t, soundRecord+soundRecord, string(out.Body))
			require.EqualValues(t, 2, requests)

			out, requests = gatherFrom(t, func(int64) string { return c.head })
			require.Equal(t, http.StatusOK, out.Status)
			require.Equal(t, "sound", out.Header.Get("X-Parts"))
			require.Equal(t, "1", out.Header.Get(missingHeader))
			require.Equal(t, soundRecord, string(out.Body))
			require.EqualValues(t, 2, requests, "the route allows two attempts a shard")
		})
	}
}

// TestRefusalWithoutItsMarkIsNotPassedOn: guards against telling a caller that a request that may run once only has not run,
// when the server refused it without saying so.
func TestRefusalWithoutItsMarkIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		name, head string
		idempotent bool
		status     int
		signature  string
	}{
		{"429", "HTTP/1.1 429 Too Many Requests\r\nX-Signature: s\r\n", false, http.StatusBadGateway, ""},
		{"408", "HTTP/1.1 408 Request Timeout\r\nX-Signature: s\r\n", false, http.StatusBadGateway, ""},
		{"503", "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\n", false, http.StatusBadGateway, ""},
		{"429 with the mark", "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\n", false, http.StatusServiceUnavailable, ""},
		{"404", "HTTP/1.1 404 Not Found\r\nX-Signature: s\r\n", false, http.StatusNotFound, "s"},
		{"500", "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\n", false, http.StatusInternalServerError, "s"},
		{"429, may run again", "HTTP/1.1 429 Too Many Requests\r\nX-Signature: s\r\n", true, http.StatusTooManyRequests, "s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _ := forwardScripted(t, vers.Route{Idempotent: c.idempotent, Service: "shard-0"}, func(int64) string { return c.head })
			require.Equal(t, c.status, out.Status)
			require.Equal(t, c.signature, out.Header.Get("X-Signature"))
		})
	}
}

// TestHugeNumberOfRecords: guards against a node that ends, or takes all memory, because a route asks for more records than
// there can be.
func TestHugeNumberOfRecords(t *testing.T) {
	for _, top := range []int{1 << 31, math.MaxInt} {
		r := vers.Route{Idempotent: true, Top: top, MinShare: 1, Gather: []tier.Service{"shard-0", "shard-1"}}
		out, _ := forwardScripted(t, r, func(int64) string { return soundHead })
		require.Equal(t, http.StatusOK, out.Status)
		require.Equal(t, soundRecord+soundRecord, string(out.Body))
	}
}
