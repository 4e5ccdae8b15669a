package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
)

// TestCallsBetweenNodesGetTheirOwnAnswers runs calls over one link whose answers come twice, late, not at all or cut short: each call
// gets its own answer or an error.
func TestCallsBetweenNodesGetTheirOwnAnswers(t *testing.T) {
	const (
		workers, rounds = 8, 50
		patience        = 10 * time.Millisecond
	)
	// gone holds a channel for each late call, which is closed once the caller has given up.
	var gone sync.Map
	kinds := []string{"once", "twice", "late", "never", "cut", "damaged"}
	from, _, to := newPair(t, func(_ context.Context, s *Stream) {
		var p payload
		if s.Recv(&p) != nil {
			return
		}
		whole, err := frame.Append(nil, p)
		if err != nil {
			return
		}
		var kind string
		_, _ = fmt.Sscan(string(p.Data), &kind)
		switch kind {
		case "twice":
			_ = s.write(whole)
		case "late":
			left, _ := gone.Load(string(p.Data))
			<-left.(chan struct{})
		case "never":
			return
		case "cut":
			whole = whole[:len(whole)-1]
		case "damaged":
			whole[len(whole)-1] ^= 1
		}
		_ = s.write(whole)
	})
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for n := range rounds {
				kind := kinds[(w+n)%len(kinds)]
				sent := payload{fmt.Appendf(nil, "%s %d/%d", kind, w, n)}
				left := make(chan struct{})
				gone.Store(string(sent.Data), left)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if kind == "late" {
					cancel()
					ctx, cancel = context.WithTimeout(context.Background(), patience)
				}
				var got payload
				err := from.Call(ctx, to, KindQuery, sent, &got)
				cancel()
				close(left)
				if wantErr := kind != "once" && kind != "twice"; wantErr != (err != nil) {
					t.Errorf("%s: %v", sent.Data, err)
				}
				if err == nil && string(got.Data) != string(sent.Data) {
					t.Errorf("%s got the answer of %s", sent.Data, got.Data)
				}
			}
		})
	}
	wait.Wait()
	require.Equal(t, 1, from.Links())
}

// TestBytesBehindAnAnswerEndTheConnection has a server send bytes behind a whole answer: the answer counts, and no other request goes
// on that connection.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	for _, behind := range []string{"x", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n" + directNames.RequestID + ": second\r\nContent-Length: 4\r\n\r\nold!"} {
		d := scriptedServer(t, func(n int, c net.Conn, r *bufio.Reader) {
			for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
				_, _ = io.WriteString(c, answerTo(req, fmt.Sprint("own ", n))+behind)
			}
		})
		for n, id := range []string{"first", "second"} {
			a, err := do(t, d, outgoing(id))
			require.NoError(t, err, "%q", behind)
			require.Equal(t, fmt.Sprint("own ", n), string(a.Body), "%q", behind)
			require.Zero(t, d.Idle(), "%q", behind)
		}
	}
}

// TestEarlyNamedAnswerToALongBodyEndsTheConnection has a server answer by the request's ID before it reads a body that is longer than
// what the connection buffers.
func TestEarlyNamedAnswerToALongBodyEndsTheConnection(t *testing.T) {
	answered := make(chan struct{})
	d := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, answerTo(req, "early"))
		}
		<-answered
	})
	o := NewOutgoing(&directNames, http.MethodPost, "/", "x.example", "id", http.Header{}, make([]byte, oversizedBodyBytes))
	a, err := do(t, d, o)
	idle := d.Idle()
	close(answered)
	require.NoError(t, err)
	require.Equal(t, "early", string(a.Body))
	require.Zero(t, idle)
}

// TestReplyOfAnotherServerOrShardIsIgnored has an owner reply for another server or shard than the attempt's.
func TestReplyOfAnotherServerOrShardIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Reply)
	}{
		{"server", func(r *Reply) { r.Server = "other" }},
		{"shard", func(r *Reply) { r.Shard++ }},
		{"attempt", func(r *Reply) { r.Attempt++ }},
	} {
		l := newMuxTest(t)
		l.owner.Run = func(_ context.Context, b *Batch, s Sub, _ time.Duration) Reply {
			r := Reply{Attempt: s.Attempt, Shard: s.Shard, Server: s.Server, Result: ResultDone, Data: b.Body}
			if s.Attempt == 0 {
				c.change(&r)
			}
			return r
		}
		_, wrong := l.send(`1`, subs(1)...)
		own := Sub{Attempt: 5, Shard: 5, Server: "s5"}
		_, right := l.send(`2`, own)
		require.Equal(t, `2`, string((<-right).Data), c.name)
		l.muxes.mu.Lock()
		x := l.muxes.open["b"]
		l.muxes.mu.Unlock()
		x.out.abort()
		require.Equal(t, ResultFailed, (<-wrong).Result, c.name)
	}
}
