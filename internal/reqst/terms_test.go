package reqst

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/pace"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// limitedFleet is a fleet of nodes that choose among the servers of one shard, without I/O. Servers answer after a round
// trip and name their limits.
type limitedFleet struct {
	clock   *fakeClock
	rand    *rand.Rand
	nodes   []*Forwarder
	servers []tier.Candidate
	limits  map[tier.ServerID]string
	leaving map[tier.ServerID]bool
	// pauses holds the Retry-After with which servers refuse requests.
	pauses map[tier.ServerID]string
	// arrivals holds the times of the requests to each server, refused the number that no server accepted.
	arrivals map[tier.ServerID][]time.Duration
	refused  int
	answers  []limitedAnswer
	notices  []terms.Notice
}

type limitedAnswer struct {
	at     time.Duration
	node   *Forwarder
	server tier.ServerID
	status int
	header http.Header
}

const (
	limitedServers   = 3
	limitedRoundTrip = 10 * time.Millisecond
)

func newLimitedFleet(t *testing.T, nodes int, seed uint64) *limitedFleet {
	f := &limitedFleet{clock: &fakeClock{now: time.Hour}, rand: rand.New(rand.NewPCG(seed, 1)), limits: map[tier.ServerID]string{}, arrivals: map[tier.ServerID][]time.Duration{}}
	dir := &staticDirectory{services: map[tier.Service][]tier.Candidate{}, direct: map[tier.ServerID]*conn.Direct{}}
	for i := range limitedServers {
		id := tier.ServerID(fmt.Sprint("s", i))
		f.servers = append(f.servers, tier.Candidate{Server: id, Zone: tier.Zone(fmt.Sprint("z", i))})
		dir.direct[id] = &conn.Direct{Server: id, Born: 1}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range nodes {
		d := &Forwarder{
			Clock: f.clock, Log: log, Names: tier.DefaultHeaders(), Directory: dir, Stats: stats.NewRegistry(), Self: tier.NodeID(fmt.Sprint("n", i)),
			Board: &pace.Board{Zone: tier.Zone(fmt.Sprint("z", i%limitedServers))}, Share: func() float64 { return 1 }, LimitShare: func(tier.ServerID) float64 { return 1 / float64(nodes) },
		}
		d.Notify = func(n terms.Notice) { f.notices = append(f.notices, n) }
		d.Start(t.Context())
		f.nodes = append(f.nodes, d)
	}
	return f
}

// request makes a node send one request to a server that it chooses.
func (f *limitedFleet) request(d *Forwarder) {
	r := &forwarding{forwarder: d, route: &vers.Route{Name: "search"}, kind: pace.Timing{Base: limitedRoundTrip, Target: 80 * time.Millisecond}}
	i := r.pickServer(f.clock.now, 0, f.servers)
	if i < 0 {
		f.refused++
		return
	}
	id := f.servers[i].Server
	f.arrivals[id] = append(f.arrivals[id], f.clock.now)
	h := http.Header{}
	if v := f.limits[id]; v != "" {
		h.Set(d.Names.Limit, v)
	}
	if f.leaving[id] {
		h.Set(d.Names.Leaving, "1")
	}
	status := http.StatusOK
	if v := f.pauses[id]; v != "" {
		status = http.StatusServiceUnavailable
		h.Set("Retry-After", v)
	}
	f.answers = append(f.answers, limitedAnswer{f.clock.now + limitedRoundTrip, d, id, status, h})
}

// run sends rate requests a second to the nodes, chosen by pick.
func (f *limitedFleet) run(length time.Duration, rate float64, pick func() *Forwarder) {
	next := f.clock.now
	for end := f.clock.now + length; f.clock.now < end; f.clock.now += time.Millisecond {
		for ; next <= f.clock.now; next += time.Duration(f.rand.ExpFloat64() / rate * float64(time.Second)) {
			f.request(pick())
		}
		for len(f.answers) > 0 && f.answers[0].at <= f.clock.now {
			a := f.answers[0]
			f.answers = f.answers[1:]
			a.node.recordStatement(f.clock.now, a.server, 1, a.status, a.header)
		}
		for _, n := range f.notices {
			for _, d := range f.nodes {
				d.ReceiveNotice(n)
			}
		}
		f.notices = nil
	}
}

func (f *limitedFleet) anyNode() *Forwarder { return f.nodes[f.rand.IntN(len(f.nodes))] }

// maxInWindow returns the largest number of requests to a server in 4 s, from a time on.
func (f *limitedFleet) maxInWindow(id tier.ServerID, from time.Duration) (n int) {
	const window = 4 * time.Second
	list := f.arrivals[id]
	for i, first := 0, 0; i < len(list); i++ {
		if list[i] < from {
			first = i + 1
			continue
		}
		for list[i]-list[first] >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestServerGetsMoreThanItsLimit: servers that named a limit went on getting what they got before, because no node
// looked at it, and each node would have used all of the limit by itself.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		limit float64
		rate  float64
		text  string
	}{
		{"nine nodes", 9, 28.5, 180, "28.5"},
		{"one node", 1, 28.5, 180, "28.5"},
		{"300 nodes, a share below one request a minute", 300, 5, 300, "5"},
		{"below one a second", 9, 0.5, 180, "0.5"},
		{"zero", 9, 0, 180, "0"},
	} {
		for seed := range uint64(5) {
			f := newLimitedFleet(t, c.nodes, seed)
			f.run(5*time.Second, c.rate, f.anyNode)
			f.limits["s0"], f.limits["s1"] = c.text, c.text
			named := f.clock.now
			f.run(30*time.Second, c.rate, f.anyNode)
			for _, id := range []tier.ServerID{"s0", "s1"} {
				got := f.maxInWindow(id, named+time.Second)
				require.LessOrEqual(t, float64(got), 1.5*4*c.limit+5, "%s, seed %d, %s", c.name, seed, id)
			}
			require.Zero(t, f.refused, "%s: the third server has no limit", c.name)
		}
	}
}

// TestLimitBelowDemandRefusesAtOnce: all servers of a shard name limits below the demand. The rest is refused, and the
// servers are not left idle.
func TestLimitBelowDemandRefusesAtOnce(t *testing.T) {
	f := newLimitedFleet(t, 9, 1)
	limit := 20.0
	for _, s := range f.servers {
		f.limits[s.Server] = strconv.FormatFloat(limit, 'f', -1, 64)
	}
	f.run(2*time.Second, 180, f.anyNode)
	from, before := f.clock.now, f.refused
	const seconds = 20
	f.run(seconds*time.Second, 180, f.anyNode)
	require.Positive(t, f.refused-before)
	for _, s := range f.servers {
		require.LessOrEqual(t, float64(f.maxInWindow(s.Server, from)), 1.5*4*limit+5)
		count := 0
		for _, at := range f.arrivals[s.Server] {
			if at >= from {
				count++
			}
		}
		require.Greater(t, float64(count), 0.8*limit*seconds, "%s is used to its limit", s.Server)
	}
}

// TestLoadReturnsInStepsAfterALimit: a server that names its limit no more gets twice the rate each second, not its
// former load at once.
func TestLoadReturnsInStepsAfterALimit(t *testing.T) {
	f := newLimitedFleet(t, 9, 1)
	f.limits["s0"], f.limits["s1"], f.limits["s2"] = "10", "10", "10"
	f.run(10*time.Second, 600, f.anyNode)
	f.limits = map[tier.ServerID]string{}
	ended := f.clock.now
	f.run(10*time.Second, 600, f.anyNode)
	perSecond := map[int]int{}
	for _, at := range f.arrivals["s0"] {
		perSecond[int((at-ended)/time.Second)]++
	}
	require.Less(t, perSecond[1], 60, "%v", perSecond)
	require.Less(t, perSecond[2], 120, "%v", perSecond)
	require.Greater(t, perSecond[8], 150, "%v", perSecond)
}

// TestLeavingServerGetsNoMoreRequests: a server says in its answers that it leaves. No node sends it anything half a second
// later, also none that has had no answer of its own.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	f := newLimitedFleet(t, 9, 1)
	f.run(2*time.Second, 180, f.anyNode)
	f.leaving = map[tier.ServerID]bool{"s0": true}
	left := f.clock.now
	f.run(5*time.Second, 180, f.anyNode)
	require.Zero(t, f.maxInWindow("s0", left+500*time.Millisecond))
	require.Zero(t, f.refused)
	f.leaving = map[tier.ServerID]bool{"s0": true, "s1": true, "s2": true}
	f.run(time.Second, 180, f.anyNode)
	require.Positive(t, f.refused, "no server is left")
}

// TestServerThatAsksForAPauseGetsNoRequests: a server refuses requests with Retry-After. A node that it has told sends nothing
// until then; the other nodes, each of which it tells by itself, do not matter to it.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	f := newLimitedFleet(t, 3, 1)
	f.pauses = map[tier.ServerID]string{"s0": "4.5"}
	f.run(4*time.Second, 180, f.anyNode)
	require.NotEmpty(t, f.arrivals["s0"])
	require.LessOrEqual(t, len(f.arrivals["s0"]), 2*len(f.nodes), "what was on its way when the first refusal came")
	require.Zero(t, f.maxInWindow("s0", time.Hour+500*time.Millisecond), "half a second later")
	require.Zero(t, f.refused)
	f.pauses = map[tier.ServerID]string{}
	before := len(f.arrivals["s0"])
	f.run(3*time.Second, 180, f.anyNode)
	require.Greater(t, len(f.arrivals["s0"]), before+50, "the pause has ended")
}
