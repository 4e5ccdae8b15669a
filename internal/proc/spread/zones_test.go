package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestHostIsCurrentOnceItKnowsTheEvacuatedZones guards against a host that serves after a restart or a suspension with the
// evacuated zones of before it.
func TestHostIsCurrentOnceItKnowsTheEvacuatedZones(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for seed := range uint64(5) {
			w := newNet(seed, 11)
			w.run(3 * time.Second)
			id := nodeID(10)
			old := w.states[id]
			w.down[id] = true
			w.evacuations = 4
			w.states[nodeID(0)].SetEvacuations(w.now, 4)
			w.collect(nodeID(0))
			w.run(3 * time.Second)
			for _, other := range w.order[:10] {
				require.EqualValues(t, 4, w.states[other].evacuations, "all hosts know the set")
			}
			w.down[id] = false
			if frozen {
				old.Tick(w.now)
				w.collect(id)
			} else {
				w.start(id, old.Seeds, uint64(2+w.now/time.Millisecond))
				w.states[id].Restore(w.now, old.Hosts(), old.Servers())
			}
			require.False(t, w.states[id].Current(w.now))
			require.Less(t, w.untilCurrent(id), 500*time.Millisecond)
			require.EqualValues(t, 4, w.states[id].evacuations)
		}
	}
}

// TestHostIsNotCurrentWhileItFetchesTheEvacuatedZones guards against a host that serves while the set that a peer has named is still
// under way.
func TestHostIsNotCurrentWhileItFetchesTheEvacuatedZones(t *testing.T) {
	s := &State{Lease: testLease, Seeds: []tier.NodeID{"b"}}
	s.Start(0, Host{ID: "a", Boot: 1})
	s.Receive(time.Millisecond, Packet{From: "b", Boot: 1, Reply: 1, Evacuations: 4})
	require.Equal(t, tier.NodeID("b"), s.TakeEffects().NewerEvacuationsPeer)
	require.True(t, s.synced)
	require.False(t, s.Current(2*time.Millisecond))
	s.SetEvacuations(2*time.Millisecond, 4)
	require.True(t, s.Current(2*time.Millisecond))
	require.Empty(t, s.TakeEffects().NewerEvacuationsPeer)
}

// TestColdAgainIsSeen lists what a server announces to its home, and whether and with which warm-up time the others are told. It
// guards against a server whose later warm-up no host notices, against a warm server that a host which starts later takes for
// cold, and against a message for each announcement.
func TestColdAgainIsSeen(t *testing.T) {
	w := newNet(1, 3)
	w.run(2 * time.Second)
	for i, c := range []struct {
		after time.Duration
		rest  tier.Millis
		told  bool
		want  tier.Millis
	}{
		{0, 3000, true, 3000},
		{time.Second, 2000, false, 3000},
		{time.Second, 900, false, 3000},
		{time.Second, 0, true, 0},
		{time.Second, 0, false, 0},
		{time.Second, 8000, true, 8000},
		{time.Second, 7100, false, 8000},
		{time.Second, 9000, true, 9000},
		{time.Second, 0, true, 0},
	} {
		w.run(c.after)
		a := announcement("s", 1, ServerReady)
		a.Seq, a.ColdMs = uint64(i+1), c.rest
		require.Equal(t, c.told, w.announce(nodeID(0), a), i)
		w.run(200 * time.Millisecond)
		r, known := w.server(nodeID(2), "s")
		require.True(t, known)
		require.Equal(t, c.want, r.RestMs, i)
		require.EqualValues(t, 3000, r.ColdMs, "earlier builds get what they know")
	}
}

// TestWarmServersRecordIsThatOfAnEarlierBuild guards against digests of earlier builds that differ for ever: they drop the key that
// they do not know.
func TestWarmServersRecordIsThatOfAnEarlierBuild(t *testing.T) {
	b, err := frame.Marshal(Server{ID: "s", ColdMs: 3000})
	require.NoError(t, err)
	var keys map[int]any
	require.NoError(t, frame.Unmarshal(b, &keys))
	require.NotContains(t, keys, 11)
}

// forgetTime is the time within which no host lists one that was killed: the contact window of 5 s, and 3 s.
const forgetTime = 8 * time.Second

// TestKilledHostsAreForgotten kills most hosts at once, and restarts one from its records of before. It guards against lists that
// name dead hosts because each host watches few others, and against dead hosts that come back from a disk.
func TestKilledHostsAreForgotten(t *testing.T) {
	for _, c := range []struct{ hosts, killed int }{{8, 3}, {78, 26}, {78, 70}} {
		for seed := range uint64(3) {
			w := newNet(seed, c.hosts)
			w.run(4 * time.Second)
			restarted := nodeID(c.hosts - 1)
			old := w.states[restarted]
			w.down[restarted] = true
			for i := 1; i <= c.killed; i++ {
				w.down[nodeID(i)] = true
			}
			w.run(forgetTime)
			w.requireForgotten(t, c.hosts, restarted)
			w.down[restarted] = false
			w.start(restarted, old.Seeds, uint64(2+w.now/time.Millisecond))
			w.states[restarted].Restore(w.now, old.Hosts(), old.Servers())
			for range 30 {
				w.run(100 * time.Millisecond)
				w.requireForgotten(t, c.hosts, restarted)
			}
		}
	}
}

// requireForgotten requires that no running host lists one that is down; one that is left out may be listed while it starts.
func (w *net) requireForgotten(t *testing.T, hosts int, except tier.NodeID) {
	t.Helper()
	for id, s := range w.states {
		if w.down[id] {
			continue
		}
		for _, h := range s.Hosts() {
			require.False(t, h.ID != except && h.State == HostUp && w.down[h.ID], "%d hosts: %s lists %s", hosts, id, h.ID)
		}
	}
}
