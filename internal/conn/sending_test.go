package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// soundAnswer answers a request to a server of an owner.
func soundAnswer(req *http.Request) string {
	h := req.Header
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 1\r\n\r\n1",
		tier.HeaderRequestID, h.Get(tier.HeaderRequestID), tier.HeaderVersion, h.Get(tier.HeaderVersion), tier.HeaderShard, h.Get(tier.HeaderShard))
}

// ownerOf returns the owner of one scripted server, "s1".
func ownerOf(t *testing.T, serve func(net.Conn)) *Owner {
	t.Helper()
	address := rawServer(t, serve).base.Host
	o := &Owner{
		Clock: tier.NewClock(), MaySend: func(tier.ServerID) bool { return true }, Limits: DefaultAnswerLimits(),
		Settings: func(tier.Service, tier.ServerID) Settings {
			return Settings{MaxQueue: 1, SilenceTimeout: 10 * time.Second}
		},
		OnDeath:    func(Death) {},
		OnSilent:   func(tier.ServerID, tier.RequestID) {},
		OnRejected: func(tier.ServerID, tier.RequestID, tier.Reason) {},
	}
	update := func(owned map[tier.ServerID]tier.Announcement) {
		o.Update(owned, func(tier.Announcement) bool { return false })
	}
	update(map[tier.ServerID]tier.Announcement{"s1": {Server: "s1", Instance: 1, Address: address, Slots: 1, Conns: 1}})
	t.Cleanup(func() { update(nil) })
	return o
}

// ownerSends are the two kinds of request that an owner sends. Both have the ID "id" each time; n is the shard of a search.
var ownerSends = []struct {
	name string
	send func(o *Owner, n int) Reply
}{
	{"search", func(o *Owner, n int) Reply {
		b := &Batch{Request: "id", Snapshot: tier.Snapshot{Version: 7, Shards: 2}, Body: []byte(`1`)}
		return o.Query(context.Background(), b, Sub{Attempt: n, Shard: tier.Shard(n), Server: "s1"}, o.Clock.Now()+10*time.Second)
	}},
	{"write", func(o *Owner, _ int) Reply {
		w := &Write{Request: "id", Claim: "id", Server: "s1", Body: []byte(`1`)}
		return o.Write(context.Background(), w, o.Clock.Now()+10*time.Second)
	}},
}

// TestLateSecondAnswerToAnEarlierSendingIsNotBelieved has a server answer the first sending of a request, run the second one,
// which comes over the same connection, and send its answer to the first one again before the answer to the second one.
func TestLateSecondAnswerToAnEarlierSendingIsNotBelieved(t *testing.T) {
	for _, kind := range ownerSends {
		for _, c := range []struct{ name, first string }{
			{"not run", "HTTP/1.1 503 Service Unavailable\r\n" + tier.HeaderNotRun + ": 1\r\n"},
			{"conflict", "HTTP/1.1 409 Conflict\r\n"},
			{"error", "HTTP/1.1 500 Internal Server Error\r\n"},
		} {
			t.Run(kind.name+", "+c.name, func(t *testing.T) {
				places := make(chan int, 2)
				o := ownerOf(t, func(conn net.Conn) {
					r := bufio.NewReader(conn)
					answer := ""
					for n := 1; ; n++ {
						req := readRequest(t, r)
						if req == nil {
							return
						}
						places <- n
						if n == 1 {
							answer = fmt.Sprintf("%s%s: %s\r\nContent-Length: 0\r\n\r\n", c.first, tier.HeaderRequestID, req.Header.Get(tier.HeaderRequestID))
							_, _ = io.WriteString(conn, answer)
							continue
						}
						_, _ = io.WriteString(conn, answer+soundAnswer(req))
					}
				})
				require.NotEqual(t, ResultDone, kind.send(o, 0).Result)
				second := kind.send(o, 1)
				require.Equal(t, []int{1, 2}, []int{<-places, <-places}, "both came over one connection")
				require.Equal(t, ResultFailed, second.Result, "the server ran it")
				require.Equal(t, tier.ReasonTruncated, second.Reason, "the answer belongs to another sending")
			})
		}
	}
}

// TestSendingsAreNamedAfterTheirRequest checks that a server sees an ID of its own with each sending, which starts with the ID of
// the request and a dot, and that a write keeps its claim.
func TestSendingsAreNamedAfterTheirRequest(t *testing.T) {
	for _, kind := range ownerSends {
		headers := make(chan http.Header, 3)
		o := ownerOf(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				headers <- req.Header
				_, _ = io.WriteString(conn, soundAnswer(req))
			}
		})
		seen := map[string]bool{}
		for n := range 3 {
			require.Equal(t, ResultDone, kind.send(o, n%2).Result, kind.name)
			h := <-headers
			id := h.Get(tier.HeaderRequestID)
			require.True(t, strings.HasPrefix(id, "id."), "%s: %q", kind.name, id)
			require.Regexp(t, `^[0-9A-Za-z.-]+$`, id, kind.name)
			require.False(t, seen[id], "%s: %q came before", kind.name, id)
			seen[id] = true
			if kind.name == "write" {
				require.Equal(t, "id", h.Get(tier.HeaderClaim))
			}
		}
	}
}
