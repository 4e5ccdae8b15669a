package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const ms = time.Millisecond

func id(i int) tier.ServerID { return tier.ServerID(fmt.Sprint("s", i)) }

// play sends a sub-request to each of the servers every 40 ms for 3 s. result tells after which time each of them ends, and
// how: answered, failed, or neither.
func play(b *Board, servers int, usual time.Duration, result func(i int, now time.Duration) (took time.Duration, answered, failed bool)) (cutAt time.Duration) {
	type end struct {
		at               time.Duration
		server           tier.ServerID
		answered, failed bool
	}
	var ends []end
	for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
		rest := ends[:0]
		for _, e := range ends {
			switch {
			case e.at > now:
				rest = append(rest, e)
			case e.answered:
				b.Answered(now, e.server)
			case e.failed:
				b.Failed(now, e.server)
			}
		}
		ends = rest
		for i := range servers {
			if (int(now/(10*ms))+i)%4 == 0 {
				b.Sent(now, id(i), usual)
				took, answered, failed := result(i, now)
				ends = append(ends, end{now + took, id(i), answered, failed})
			}
		}
		if cut, _ := b.Update(now); cut {
			return now
		}
	}
	return 0
}

// TestHostKnowsThatItIsCutOff: a host that reaches no server notices within a second, whether its connections hang, new
// ones are refused, or dials time out; one whose servers are slow, pause, or are partly down does not take itself for cut off.
func TestHostKnowsThatItIsCutOff(t *testing.T) {
	const usual = 5 * ms
	from := time.Second
	for _, c := range []struct {
		name   string
		cut    bool
		result func(i int, now time.Duration) (time.Duration, bool, bool)
	}{
		{"all well", false, func(int, time.Duration) (time.Duration, bool, bool) { return usual, true, false }},
		{"connections hang", true, func(_ int, now time.Duration) (time.Duration, bool, bool) { return usual, now < from, false }},
		{"connections are refused", true, func(_ int, now time.Duration) (time.Duration, bool, bool) { return ms, now < from, now >= from }},
		{"dials time out", true, func(_ int, now time.Duration) (time.Duration, bool, bool) { return 120 * ms, now < from, now >= from }},
		{"one zone of three is cut off", false, func(i int, _ time.Duration) (time.Duration, bool, bool) { return usual, i%3 != 0, false }},
		{"one shard is down", false, func(i int, _ time.Duration) (time.Duration, bool, bool) { return usual, i >= 3, i < 3 }},
		{"all are slow", false, func(int, time.Duration) (time.Duration, bool, bool) { return 12 * usual, true, false }},
		{"each pauses for 250 ms", false, func(i int, now time.Duration) (time.Duration, bool, bool) {
			phase := (now + time.Duration(i)*200*ms) % (2 * time.Second)
			return usual + max(0, 250*ms-phase), true, false
		}},
		{"half of the answers are lost", false, func(i int, now time.Duration) (time.Duration, bool, bool) {
			return usual, int(now/(40*ms)+time.Duration(i))%2 == 0, false
		}},
	} {
		var b Board
		b.Start()
		at := play(&b, 30, usual, c.result)
		if !c.cut {
			require.Zero(t, at, c.name)
			continue
		}
		require.Positive(t, at, c.name)
		require.Less(t, at, from+time.Second, c.name)
	}
}

// TestHostWithTrafficToThreeServersKnowsThatItIsCutOff: a host may send to one small service only.
func TestHostWithTrafficToThreeServersKnowsThatItIsCutOff(t *testing.T) {
	var b Board
	b.Start()
	at := play(&b, 3, 5*ms, func(_ int, now time.Duration) (time.Duration, bool, bool) { return 5 * ms, now < time.Second, false })
	require.Positive(t, at)
	require.Less(t, at, 2*time.Second)
}

// TestHostKnowsThatItIsBack: servers that answer again end the cut; a few that stay lost do not prolong it.
func TestHostKnowsThatItIsBack(t *testing.T) {
	var b Board
	b.Start()
	for i := range 20 {
		b.Failed(0, id(i))
		b.Failed(0, id(i))
	}
	cut, changed := b.Update(ms)
	require.True(t, cut)
	require.True(t, changed)
	cut, _ = b.Update(time.Minute)
	require.True(t, cut, "no evidence is no sign of a recovery")
	require.Len(t, b.LostServers(time.Minute, nil, 8), 8)
	for i := range 16 {
		b.Answered(time.Minute, id(i))
	}
	cut, changed = b.Update(time.Minute)
	require.False(t, cut)
	require.True(t, changed)
}

// TestSuspendedHostIsNotCutOff: answers that arrived while the process did not run are not missing.
func TestSuspendedHostIsNotCutOff(t *testing.T) {
	var b Board
	b.Start()
	for i := range 20 {
		b.Sent(0, id(i), ms)
		b.Sent(0, id(i), ms)
	}
	now := 3 * time.Second
	b.Suspended(now)
	cut, _ := b.Update(now)
	require.False(t, cut)
}

// TestServerIsBrokenAfterFailuresOnly lists what a server did before and after it was sent a request at 10 s. A server that is
// silent may run the request yet; one whose connections fail does not.
func TestServerIsBrokenAfterFailuresOnly(t *testing.T) {
	const at = 10 * time.Second
	for _, c := range []struct {
		name   string
		events func(b *Board)
		broken bool
	}{
		{"never tried", func(*Board) {}, false},
		{"sent, no answer", func(b *Board) { b.Sent(at, "s", time.Millisecond) }, false},
		{"two sent, no answer", func(b *Board) { b.Sent(at, "s", time.Millisecond); b.Sent(at, "s", time.Millisecond) }, false},
		{"answered before", func(b *Board) { b.Answered(at-1, "s"); b.Sent(at, "s", time.Millisecond) }, false},
		{"failed once", func(b *Board) { b.Sent(at, "s", time.Millisecond); b.Failed(at+1, "s") }, false},
		{"failed twice", func(b *Board) { b.Sent(at, "s", time.Millisecond); b.Failed(at+1, "s"); b.Failed(at+2, "s") }, true},
		{"failed twice, then answered", func(b *Board) { b.Failed(at+1, "s"); b.Failed(at+2, "s"); b.Answered(at+3, "s") }, false},
	} {
		var b Board
		b.Start()
		c.events(&b)
		require.Equal(t, c.broken, b.Broken("s"), c.name)
	}
}
