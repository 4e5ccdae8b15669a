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
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// tableOf returns a routing table as it is committed.
func tableOf(t *testing.T, version int) store.RoutesDoc {
	doc := fmt.Appendf(nil, `{"version": %d, "routes": [{"name": "r", "host": "a", "prefix": "/", "timeout": 1000, "service": "s"}], "services": [{"name": "s"}]}`, version)
	b, err := compress(doc)
	require.NoError(t, err)
	return store.RoutesDoc{Version: vers.RoutesVersion(version), Document: b}
}

// TestStateDamagedByAnEarlierBuildIsRepaired: guards against a host that installed a snapshot without the last entries
// that its index covers, from a leader of an earlier build, and answers reads with an older routing table once it leads.
func TestStateDamagedByAnEarlierBuildIsRepaired(t *testing.T) {
	node := tier.NodeID(fmt.Sprintf("127.87.%d.1", os.Getpid()%250))
	dir := t.TempDir()
	f := &disk.Folder{Path: dir, Node: node}
	_, err := f.Open()
	require.NoError(t, err)
	held := store.New()
	held.Apply(store.Command{Routes: new(tableOf(t, 5))})
	data, err := held.Save()
	require.NoError(t, err)
	members := quorum.Members{Voters: []tier.ReplicaID{f.ID()}}
	require.NoError(t, f.SaveSnapshot(quorum.Snap{Index: 9, Term: 1, Members: members, Data: data}, quorum.HardState{Term: 1}, nil))
	require.NoError(t, f.Close())
	require.NoError(t, disk.SaveFile(filepath.Join(dir, tableFile), tableOf(t, 6)))

	port := freeUDPPorts(t, string(node))
	h := newControlNode(Settings{ID: node, LinkPort: port, GossipPort: port + 1, Data: dir})
	runControlNode(t, h)
	var version vers.RoutesVersion
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		version, _, err = h.ReadRoutes(ctx)
		return err == nil
	}, 30*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 6, version, "the first answer")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rep, err := h.callLeader(ctx, controlRequest{History: true})
	require.NoError(t, err)
	require.Len(t, rep.History, 2)
	require.EqualValues(t, 1, h.Stats.Counter("routes_restored", ""))
}
