package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// untilCurrent advances the time until a host's records are current, and returns how long that took.
func (w *net) untilCurrent(id tier.NodeID) time.Duration {
	began := w.now
	for !w.states[id].Current(w.now) {
		w.run(10 * time.Millisecond)
	}
	return w.now - began
}

// TestHostIsCurrentOnceItKnowsWhatWasWithdrawn freezes a host or restarts it from its old records;
// meanwhile servers leave and the routing table changes. When the host counts as current again, it
// knows both, also under loss; it does so well before syncTimeout.
func TestHostIsCurrentOnceItKnowsWhatWasWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name   string
		hosts  int
		frozen bool
		loss   float64
	}{
		{"restart", 11, false, 0}, {"freeze", 11, true, 0}, {"restart with loss", 11, false, 0.1}, {"restart of one of 70", 70, false, 0},
	} {
		for seed := range uint64(5) {
			w := newNet(seed, c.hosts)
			w.run(3 * time.Second)
			home, id := nodeID(1), nodeID(c.hosts-1)
			for i := range 30 {
				require.True(t, w.announce(home, announcement(tier.ServerID(fmt.Sprint("s", i)), 1, ServerReady)))
			}
			w.run(time.Second)
			old := w.states[id]
			require.True(t, old.Current(w.now), c.name)
			w.down[id] = true
			for i := range 20 {
				require.True(t, w.announce(home, announcement(tier.ServerID(fmt.Sprint("s", i)), 2, ServerDraining)))
			}
			w.routes = 7
			w.states[nodeID(0)].SetRoutes(w.now, 7)
			w.collect(nodeID(0))
			w.run(3 * time.Second)
			w.down[id] = false
			w.loss = c.loss
			if c.frozen {
				old.Tick(w.now)
				w.collect(id)
			} else {
				w.start(id, old.Seeds, uint64(2+w.now/time.Millisecond))
				w.states[id].Restore(w.now, old.Hosts(), old.Servers())
			}
			require.False(t, w.states[id].Current(w.now), "%s: it cannot know yet", c.name)
			took := w.untilCurrent(id)
			if c.loss == 0 {
				require.Less(t, took, 500*time.Millisecond, "%s, seed %d", c.name, seed)
			}
			if took >= syncTimeout {
				continue
			}
			require.EqualValues(t, 7, w.states[id].routes, "%s, seed %d", c.name, seed)
			missed := 0
			for i := range 20 {
				if r, known := w.server(id, tier.ServerID(fmt.Sprint("s", i))); !known || r.State != ServerDraining {
					missed++
				}
			}
			if c.loss == 0 {
				require.Zero(t, missed, "%s, seed %d", c.name, seed)
			}
		}
	}
}

// TestHostThatHearsOfNoOtherReliesOnItself restarts a host while all others are down.
func TestHostThatHearsOfNoOtherReliesOnItself(t *testing.T) {
	w := newNet(1, 3)
	w.run(3 * time.Second)
	for i := range 3 {
		w.down[nodeID(i)] = true
	}
	old := w.states[nodeID(2)]
	w.down[nodeID(2)] = false
	w.start(nodeID(2), old.Seeds, uint64(2+w.now/time.Millisecond))
	require.False(t, w.states[nodeID(2)].Current(w.now))
	require.InDelta(t, syncTimeout.Seconds(), w.untilCurrent(nodeID(2)).Seconds(), 0.02)
}

// TestLoneHostIsCurrent starts a host that knows of no other.
func TestLoneHostIsCurrent(t *testing.T) {
	w := newNet(1, 1)
	require.True(t, w.states[nodeID(0)].Current(w.now))
}

// TestRestartFromOldRecordsTakesNoHostDown: guards against a host that starts from the records on its disk and has the whole
// fleet take all other hosts for down until each has refuted it.
func TestRestartFromOldRecordsTakesNoHostDown(t *testing.T) {
	for seed := range uint64(5) {
		w := newNet(seed, 8)
		w.run(3 * time.Second)
		id := nodeID(5)
		hosts, servers := w.states[id].Hosts(), w.states[id].Servers()
		w.down[id] = true
		w.run(300 * time.Millisecond)
		w.down[id] = false
		w.start(id, []tier.NodeID{nodeID(0), nodeID(1), nodeID(2)}, uint64(2+w.now/time.Millisecond))
		w.states[id].Restore(w.now, hosts, servers)
		for range 200 {
			w.run(10 * time.Millisecond)
			for _, other := range w.order {
				if other == id {
					continue
				}
				for _, h := range w.states[other].Hosts() {
					require.True(t, h.State == HostUp || h.ID == id, "seed %d: %s takes %s for down", seed, other, h.ID)
				}
			}
		}
		for _, h := range w.states[id].Hosts() {
			require.Equal(t, HostUp, h.State, "seed %d: %s", seed, h.ID)
		}
	}
}
