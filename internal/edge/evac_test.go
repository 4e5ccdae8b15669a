package edge

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestEvacuationsThatAnEarlierBuildLostAreRepaired starts a control host whose state lacks the set of its copy on disk. It guards
// against a leader that forgets orders because its state came from a build that does not know them, and against orders for zones that
// nothing names.
func TestEvacuationsThatAnEarlierBuildLostAreRepaired(t *testing.T) {
	node := tier.NodeID(fmt.Sprintf("127.88.%d.1", os.Getpid()%250))
	dir := t.TempDir()
	f := &disk.Folder{Path: dir, Node: node}
	_, err := f.Open()
	require.NoError(t, err)
	held := store.New()
	first, _ := new(evac.Set).With(evac.Order{Zone: "a"}, 1)
	second, _ := first.With(evac.Order{Zone: "b"}, 2)
	held.Apply(store.Command{Evacuations: &first})
	data, err := held.Save()
	require.NoError(t, err)
	members := quorum.Members{Voters: []tier.ReplicaID{f.ID()}}
	require.NoError(t, f.SaveSnapshot(quorum.Snap{Index: 9, Term: 1, Members: members, Data: data, Exact: true}, quorum.HardState{Term: 1}, nil))
	require.NoError(t, f.Close())
	require.NoError(t, disk.SaveFile(filepath.Join(dir, zonesFile), second))

	port := freeUDPPorts(t, string(node))
	h := newControlNode(Settings{ID: node, LinkPort: port, GossipPort: port + 1, Data: dir})
	runControlNode(t, h)
	var set evac.Set
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		set, err = h.readEvacuations(ctx)
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	require.Equal(t, []tier.Zone{"a", "b"}, set.Names())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, c := range []struct {
		order   evac.Order
		want    []tier.Zone
		version evac.Version
		invalid bool
	}{
		{order: evac.Order{Zone: "a"}, want: []tier.Zone{"a", "b"}, version: 2},
		{order: evac.Order{Zone: "z"}, want: []tier.Zone{"a", "b", "z"}, version: 3},
		{order: evac.Order{Zone: "nowhere"}, invalid: true},
		{order: evac.Order{Zone: ""}, invalid: true},
		{order: evac.Order{Zone: "nowhere", Restore: true}, want: []tier.Zone{"a", "b", "z"}, version: 3},
		{order: evac.Order{Zone: "a", Restore: true}, want: []tier.Zone{"b", "z"}, version: 4},
	} {
		set, err := h.OrderEvacuation(ctx, c.order)
		if c.invalid {
			require.ErrorIs(t, err, ErrInvalidEvacuation)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, c.want, set.Names())
		require.Equal(t, c.version, set.Version)
		require.Equal(t, set, h.evacuations.get(), "in force at the host that acknowledges it")
	}
}

// TestCatalogLeavesEvacuatedZonesOut guards against servers of an evacuated zone among the candidates or the connections, and against
// servers that stay out once the order is withdrawn.
func TestCatalogLeavesEvacuatedZonesOut(t *testing.T) {
	var in evacuations
	c := &catalog{evacuated: in.has}
	c.start()
	var list []spread.Server
	for i, z := range []tier.Zone{"a", "b", ""} {
		list = append(list, spread.Server{ID: tier.ServerID(fmt.Sprint("s", i)), Born: 1, Service: "s", Address: fmt.Sprint("10.0.0.1:", 80+i), Zone: z})
	}
	c.update(list)
	for i, set := range []evac.Set{
		{},
		{Version: 1, Zones: []evac.Entry{{Zone: "a"}}},
		{Version: 2, Zones: []evac.Entry{{Zone: "a"}, {Zone: "b"}}},
		{Version: 3},
	} {
		require.Equal(t, i > 0, in.replace(&set))
		require.False(t, in.replace(&evac.Set{Version: set.Version}), "the same version again")
		c.publishAll()
		require.Len(t, c.Candidates("s"), 3-len(set.Zones))
		for j, z := range []tier.Zone{"a", "b", ""} {
			require.Equal(t, set.Has(z), c.Direct(list[j].ID) == nil, "%d, zone %q", i, z)
		}
	}
}
