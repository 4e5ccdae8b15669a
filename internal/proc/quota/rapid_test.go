package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// mostInWindow returns the largest number of times in a window that starts at one of them.
func mostInWindow(times []time.Duration, window time.Duration) (most int) {
	slices.Sort(times)
	end := 0
	for i := range times {
		for end < len(times) && times[end] <= times[i]+window {
			end++
		}
		most = max(most, end-i)
	}
	return most
}

// TestShareIsNeverExceeded guards against tokens that are returned and granted again to stay valid for longer: one voter, hosts
// that keep, use and return tokens as they like.
func TestShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits()
		rate := rapid.SampledFrom([]float64{0.3, 5, 75}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{0, 1, 30}).Draw(t, "burst")
		n := rapid.IntRange(1, 9).Draw(t, "voters")
		g := &Grantor{Limits: l}
		var used []time.Duration
		var held []batch
		now := time.Duration(0)
		g.Start(now, rapid.Bool().Draw(t, "fresh"))
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 249, 260, 2000}).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"take", "take", "return", "use", "use", "restart"}).Draw(t, "step") {
			case "take":
				if r := g.Grant(now, "a", rate, burst, n, rapid.IntRange(1, 40).Draw(t, "wanted")); r.Granted > 0 {
					held = append(held, batch{Token{Grant: r.Grant, Expires: now + l.Life()}, r.Granted})
				}
			case "return":
				for i := range held {
					if x := &held[i]; x.count > 0 && now < x.Expires {
						k := rapid.IntRange(1, x.count).Draw(t, "returned")
						x.count -= k
						// A message may arrive twice, late, or name more than was granted.
						g.Return(now, []Returned{{"a", x.Grant, k}, {"a", x.Grant + 1000, 5}})
					}
				}
			case "use":
				for i := range held {
					for x := &held[i]; x.count > 0 && now < x.Expires; x.count-- {
						used = append(used, now)
					}
				}
			case "restart":
				g = &Grantor{Limits: l, FirstGrant: g.last}
				g.Start(now, false)
			}
		}
		perSecond, depth := l.Share(rate, burst, n)
		require.LessOrEqual(t, float64(mostInWindow(used, l.Window)), depth+perSecond*(l.Window+l.Life()).Seconds()+1e-6)
	})
}

// TestBoundHoldsInEveryWindow guards against more requests than the limit allows in any window, over random histories of
// loads, cuts, crashes, restarts, suspensions, new limits and new memberships.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			h.step(t)
			h.runUntil(h.now + time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond)
		}
		h.check(t)
	})
}

// limitAt is a limit that came into force at a time.
type limitAt struct {
	at          time.Duration
	rate, burst float64
}

// history is a world with one tenant, three founders of the group, other hosts with a disk, and hosts.
type history struct {
	*world
	tables []limitAt
	// known is the table that each voter knows.
	known map[*simVoter]int
	used  []time.Duration
	cuts  map[string]bool
	// back is the probability in percent that a request is refused after it got a token, which is then given back.
	back int
	load int
	// lastChange is when the last membership was committed.
	lastChange time.Duration
}

func newHistory(t *rapid.T) *history {
	h := &history{world: newWorld(DefaultLimits(), rapid.Uint64().Draw(t, "seed")), known: map[*simVoter]int{}, cuts: map[string]bool{}}
	h.limits.Tolerance = float64(rapid.SampledFrom([]int{9, 20}).Draw(t, "tolerance"))
	h.tables = []limitAt{h.drawLimit(t)}
	h.limit = func(v *simVoter, _ tier.Tenant) (float64, float64) { x := h.tables[h.known[v]]; return x.rate, x.burst }
	h.cut = func(a, b string) bool { return h.cuts[a+b] || h.rand.IntN(50) == 0 }
	h.latency = func(tier.Zone, tier.Zone) time.Duration { return time.Duration(h.rand.IntN(3000)) * time.Microsecond }
	founders := rapid.IntRange(1, 5).Draw(t, "founders")
	for i := range founders {
		(*h.members)[tier.NodeID(fmt.Sprint("v", i))] = true
	}
	for i := range 7 {
		h.addVoter("z", i < founders, i < founders)
	}
	for range rapid.IntRange(1, 12).Draw(t, "hosts") {
		h.addHost("z")
	}
	h.arrive()
	return h
}

func (h *history) drawLimit(t *rapid.T) limitAt {
	return limitAt{h.now, rapid.SampledFrom([]float64{0.3, 4, 40, 75}).Draw(t, "rate"), rapid.SampledFrom([]float64{0, 1, 20, 60}).Draw(t, "burst")}
}

// arrive lets requests arrive, now and from now on.
func (h *history) arrive() {
	for range h.load {
		x := h.hosts[h.rand.IntN(len(h.hosts))]
		boot := x.boot
		h.request(x, "a", func(o Outcome) {
			if !o.Granted {
				return
			}
			if h.rand.IntN(100) < h.back {
				h.at(x.name, time.Duration(h.rand.IntN(100))*time.Millisecond, func() {
					if x.boot == boot {
						h.effects(x, "a", x.pool.Give(h.now, "a", o.Token))
					}
				})
				return
			}
			h.used = append(h.used, h.now)
		})
	}
	h.after(10*time.Millisecond, h.arrive)
}

func (h *history) step(t *rapid.T) {
	v := h.voters[tier.NodeID(fmt.Sprint("v", rapid.IntRange(0, 6).Draw(t, "voter")))]
	x := h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")]
	switch rapid.SampledFrom([]string{"load", "load", "cut", "heal", "group", "freeze", "restart voter", "restart host", "limit", "add", "remove"}).Draw(t, "step") {
	case "load":
		h.load, h.back = rapid.SampledFrom([]int{0, 1, 5, 30}).Draw(t, "load"), rapid.SampledFrom([]int{0, 10, 90}).Draw(t, "back")
	case "cut":
		h.cuts[x.name+string(v.id)], h.cuts[string(v.id)+x.name] = true, rapid.Bool().Draw(t, "both ways")
	case "heal":
		clear(h.cuts)
	case "group":
		h.loseContact(t, v)
		h.after(time.Duration(rapid.IntRange(100, 8000).Draw(t, "alone"))*time.Millisecond, func() { h.join(v) })
	case "freeze":
		for _, name := range []string{string(v.id), x.name} {
			h.frozen[name] = h.now + time.Duration(rapid.SampledFrom([]int{10, 300, 900, 3000, 9000}).Draw(t, "frozen"))*time.Millisecond
		}
		if until := h.frozen[string(v.id)]; h.now <= v.contact && v.contact < until {
			// Messages of a former leader waited for the host to resume.
			v.contact = until + 700*time.Millisecond
		}
	case "restart voter":
		if h.now >= h.frozen[string(v.id)] {
			h.startVoter(v, false)
		}
	case "restart host":
		h.startHost(x)
	case "limit":
		h.tables = append(h.tables, h.drawLimit(t))
		i := len(h.tables) - 1
		for _, id := range h.voterIDs() {
			h.after(time.Duration(h.rand.IntN(1000))*time.Millisecond, func() { h.known[h.voters[id]] = max(h.known[h.voters[id]], i) })
		}
	case "add", "remove":
		h.changeMembers(t, v)
	}
}

// loseContact cuts a voter off from the group: messages of a former leader still arrive for a moment.
func (h *history) loseContact(t *rapid.T, v *simVoter) {
	v.contact = min(v.contact, h.now+time.Duration(rapid.IntRange(0, 1400).Draw(t, "contact"))*time.Millisecond)
}

// join ends the isolation of a voter, unless it was removed.
func (h *history) join(v *simVoter) {
	if (*h.members)[v.id] && h.now >= h.frozen[string(v.id)] {
		v.contact = always
		h.learn(v, h.members)
	}
}

// changeMembers adds a host as a voter, or removes it. Voters in contact learn of it soon, others when they join again.
func (h *history) changeMembers(t *rapid.T, v *simVoter) {
	if h.now-h.lastChange < 500*time.Millisecond {
		return
	}
	h.lastChange = h.now
	next := membership{}
	for id := range *h.members {
		next[id] = true
	}
	if next[v.id] {
		if delete(next, v.id); len(next) == 0 {
			return
		}
		h.members = &next
		h.loseContact(t, v)
	} else {
		next[v.id] = true
		h.members = &next
		v.contact = always
	}
	for _, id := range h.voterIDs() {
		x := h.voters[id]
		if x == v && !next[v.id] {
			continue
		}
		if h.now < x.contact && x.contact < always && x != v {
			continue
		}
		h.at(string(id), time.Duration(h.rand.IntN(400))*time.Millisecond, func() {
			if h.now < x.contact && h.members == &next {
				h.learn(x, &next)
			}
		})
	}
}

// check compares each window with the largest limit that was in force in it, or shortly before.
func (h *history) check(t *rapid.T) {
	slices.Sort(h.used)
	w := h.limits.Window
	for i, from := range h.used {
		count := 0
		for _, at := range h.used[i:] {
			if at <= from+w {
				count++
			}
		}
		var rate, burst float64
		for k, x := range h.tables {
			if x.at <= from+w && (k+1 == len(h.tables) || h.tables[k+1].at >= from-2*time.Second) {
				rate, burst = max(rate, x.rate), max(burst, x.burst)
			}
		}
		// The times are those of the decisions. Half of the overage is left for the way to the servers.
		bound := rate*(w+h.limits.Life()).Seconds() + burst + h.limits.Tolerance
		require.LessOrEqual(t, float64(count), bound+1e-6, "window from %s, rate %g, burst %g", from, rate, burst)
	}
}
