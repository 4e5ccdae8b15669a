package conn

import (
	"bufio"
	"context"
	"crypto/tls"
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
func ownerOf(t *testing.T, serve func(net.Conn), onStray func(Stray)) *Owner {
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
		OnStray:    onStray,
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
				}, nil)
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
		}, nil)
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

// TestOwnersReportDiscardedAnswers has a server send, in place of the answer to the second sending or behind it, what does not
// answer it.
func TestOwnersReportDiscardedAnswers(t *testing.T) {
	named := func(id string) string {
		return "HTTP/1.1 500 Failed\r\n" + tier.HeaderRequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	for _, c := range []struct {
		name           string
		before, behind string
		want           Stray
	}{
		{"second answer to the first sending", named("id.1"), "", Stray{Kind: StrayOther, Answer: "id.1", Earlier: true, Status: 500}},
		{"answer to a sending on another connection", named("id.9"), "", Stray{Kind: StrayOther, Answer: "id.9", Status: 500}},
		{"answer without an ID", anonymousRefusal + "\r\n", "", Stray{Kind: StrayUnnamed, Status: 503}},
		{"bytes behind the answer", "", "HTTP/1.1 200", Stray{Kind: StrayTrailing}},
	} {
		for _, kind := range ownerSends {
			var got []Stray
			o := ownerOf(t, func(conn net.Conn) {
				r := bufio.NewReader(conn)
				for n := 1; ; n++ {
					req := readRequest(t, r)
					if req == nil {
						return
					}
					text := soundAnswer(req)
					if n == 2 {
						text = c.before + text + c.behind
					}
					_, _ = io.WriteString(conn, text)
				}
			}, func(s Stray) { got = append(got, s) })
			require.Equal(t, ResultDone, kind.send(o, 0).Result, "%s, %s", kind.name, c.name)
			require.Empty(t, got, "%s, %s", kind.name, c.name)
			kind.send(o, 1)
			want := c.want
			want.Server, want.Use, want.Request = "s1", Use{Conn: 1, Place: 2}, "id"
			require.Equal(t, []Stray{want}, got, "%s, %s", kind.name, c.name)
			require.Equal(t, ResultDone, kind.send(o, 0).Result, "%s, %s: on another connection", kind.name, c.name)
			require.Len(t, got, 1, "%s, %s: the connection was closed", kind.name, c.name)
		}
	}
}

// TestAnswerForAnotherShardOrVersionIsNoPart has a server name the sending, and another shard or version than asked for.
func TestAnswerForAnotherShardOrVersionIsNoPart(t *testing.T) {
	for _, c := range []struct {
		name, header, value string
		want                tier.Reason
	}{
		{"shard", tier.HeaderShard, "1/2", tier.ReasonTruncated},
		{"number of shards", tier.HeaderShard, "0/3", tier.ReasonTruncated},
		{"no shard", tier.HeaderShard, "", tier.ReasonTruncated},
		{"version", tier.HeaderVersion, "6", tier.ReasonVersion},
		{"no version", tier.HeaderVersion, "", tier.ReasonVersion},
	} {
		o := ownerOf(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				req.Header.Set(c.header, c.value)
				_, _ = io.WriteString(conn, soundAnswer(req))
			}
		}, nil)
		rep := ownerSends[0].send(o, 0)
		require.Equal(t, ResultFailed, rep.Result, c.name)
		require.Equal(t, c.want, rep.Reason, c.name)
		require.Empty(t, rep.Data, c.name)
	}
}

// TestLateSecondAnswerInATLSRecordIsNotBelieved has a server send a refusal to another sending in the TLS record that ends its answer,
// where neither the socket nor the buffer of the connection shows it.
func TestLateSecondAnswerInATLSRecordIsNotBelieved(t *testing.T) {
	certs := &Certs{EphemeralName: "s1"}
	pair, _, err := certs.current()
	require.NoError(t, err)
	conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, NextProtos: []string{serverProtocol}, DynamicRecordSizingDisabled: true}
	address := rawServer(t, func(c net.Conn) {
		conn := tls.Server(c, conf)
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		for n := 1; ; n++ {
			req := readRequest(t, r)
			if req == nil {
				return
			}
			text := soundAnswer(req)
			if n == 1 {
				id := req.Header.Get(tier.HeaderRequestID)
				// The answer fills the buffer three times and leaves the refusal to the TLS connection.
				text = strings.Replace(text, "Content-Length: 1\r\n\r\n1", "Content-Length: 00000\r\n\r\n", 1)
				fill := strings.Repeat("1", 3*connBufferBytes-len(text))
				text = strings.Replace(text, "00000", fmt.Sprintf("%05d", len(fill)), 1) + fill +
					fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", tier.HeaderRequestID, id, tier.HeaderNotRun)
			}
			_, _ = io.WriteString(conn, text)
		}
	}).base.Host
	for _, kind := range ownerSends {
		var got []Stray
		o := &Owner{
			Clock: tier.NewClock(), MaySend: func(tier.ServerID) bool { return true }, Limits: DefaultAnswerLimits(), Certs: certs,
			Settings: func(tier.Service, tier.ServerID) Settings {
				return Settings{MaxQueue: 1, SilenceTimeout: 10 * time.Second}
			},
			OnDeath:    func(Death) {},
			OnSilent:   func(tier.ServerID, tier.RequestID) {},
			OnRejected: func(tier.ServerID, tier.RequestID, tier.Reason) {},
			OnStray:    func(s Stray) { got = append(got, s) },
		}
		cold := func(tier.Announcement) bool { return false }
		o.Update(map[tier.ServerID]tier.Announcement{"s1": {Server: "s1", Instance: 1, Address: address, Slots: 1, Conns: 1}}, cold)
		first := kind.send(o, 0)
		require.Equal(t, ResultDone, first.Result, "%s: %s", kind.name, first.Reason)
		second := kind.send(o, 1)
		require.NotEqual(t, ResultNotRun, second.Result, kind.name)
		require.Len(t, got, 1, kind.name)
		o.Update(nil, cold)
	}
}

// TestLateCopiesAreNoAnswersToFirstNodes has a server of the owners' protocol refuse a search, run
// the next one on the same connection and send a copy of the refusal before its answer.
func TestLateCopiesAreNoAnswersToFirstNodes(t *testing.T) {
	snapshot := tier.Snapshot{Version: 7, Shards: 1}
	for _, c := range []struct{ name, refusal string }{
		{"not run", "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: first\r\n" + tier.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"not held", "HTTP/1.1 409 Conflict\r\nX-Request-Id: first\r\nContent-Length: 0\r\n\r\n"},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: first\r\nContent-Length: 0\r\n\r\n"},
		{"not run, without an ID", anonymousRefusal + tier.HeaderNotRun + ": 1\r\n\r\n"},
	} {
		l := rawServer(t, func(conn net.Conn) {
			r := bufio.NewReader(conn)
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(conn, c.refusal)
			}
		})
		sent := http.Header{tier.HeaderRequestID: {"second"}, tier.HeaderVersion: {"7"}, tier.HeaderShard: {"0/1"}}
		a, err := l.post(context.Background(), SearchPath, sent, []byte(`1`))
		require.NoError(t, err, c.name)
		rep := Reply{}
		applySearchAnswer(sent, snapshot, a, &rep)
		require.Equal(t, ResultFailed, rep.Result, c.name)
		require.Equal(t, tier.ReasonTruncated, rep.Reason, c.name)
		require.Empty(t, l.idle.list, "%s: a connection that carried an answer to another request is closed", c.name)
	}
}

// TestServerThatDiesInTheMiddleOfAHeadIsDead has a server break off in a header line and stop
// listening: the answer is malformed, and the death is noticed.
func TestServerThatDiesInTheMiddleOfAHeadIsDead(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := n.Accept()
		if err != nil {
			return
		}
		takeRequest(c)
		_ = n.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Requ")
		_ = c.Close()
	}()
	deaths := 0
	o := &Owner{
		Clock: tier.NewClock(), MaySend: func(tier.ServerID) bool { return true }, Limits: DefaultAnswerLimits(),
		Settings: func(tier.Service, tier.ServerID) Settings {
			return Settings{MaxQueue: 1, SilenceTimeout: 10 * time.Second}
		},
		OnDeath:    func(Death) { deaths++ },
		OnSilent:   func(tier.ServerID, tier.RequestID) {},
		OnRejected: func(tier.ServerID, tier.RequestID, tier.Reason) {},
	}
	o.Update(map[tier.ServerID]tier.Announcement{"s1": {Server: "s1", Instance: 1, Address: n.Addr().String(), Slots: 1, Conns: 1}}, func(tier.Announcement) bool { return false })
	rep := o.Query(context.Background(), &Batch{Request: "id", Body: []byte(`1`)}, Sub{Server: "s1"}, o.Clock.Now()+10*time.Second)
	require.Equal(t, ResultFailed, rep.Result)
	require.Equal(t, tier.ReasonTruncated, rep.Reason)
	require.True(t, rep.Died)
	require.Equal(t, 1, deaths)
}
