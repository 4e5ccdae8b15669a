package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCutHostDoesNotExpireLeasesEarly: a server announces itself at a host that is then cut off from it. The server tries
// other hosts, of which some are cut off too, and must not be taken for lost meanwhile; one that has died is, later.
func TestCutHostDoesNotExpireLeasesEarly(t *testing.T) {
	w := newNet(1, 5)
	w.run(2 * time.Second)
	cut, other := nodeID(1), nodeID(4)
	w.announce(cut, announcement("moves", 1, ServerReady))
	w.announce(cut, announcement("dies", 1, ServerReady))
	w.states[cut].UpdateSelf(w.now, func(h *Host) { h.Cut = true })
	w.collect(cut)
	w.run(testLease + time.Second)
	w.announce(other, announcement("moves", 2, ServerReady))
	w.run(cutLeaseFactor * testLease)
	for _, id := range w.order {
		moved, _ := w.server(id, "moves")
		dead, _ := w.server(id, "dies")
		require.Equal(t, ServerLost, dead.State, id)
		require.Equal(t, other, moved.Home, id)
		// Nobody announces it any more in this test: its lease has ended at the new home, not before.
		require.Equal(t, uint64(2), moved.Seq, id)
	}
}
