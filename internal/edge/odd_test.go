package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestHugeAnnouncementIsRefused: guards against a server's announcement that takes all memory of a node.
func TestHugeAnnouncementIsRefused(t *testing.T) {
	n := newControlNode(Settings{ID: "127.0.0.1"})
	n.Build()
	control := n.StandardListeners("127.0.0.1:1", "127.0.0.1:2")[1].Handler
	body := &countingReader{Reader: io.MultiReader(strings.NewReader(`{"server":"`), io.LimitReader(endlessText{}, 64<<20))}
	req := httptest.NewRequest(http.MethodPost, "/v1/announce", body)
	req.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	control.ServeHTTP(w, req)
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Less(t, body.read, int64(1<<20))
	require.EqualValues(t, 1, n.Stats.Counter("announcements_refused", "content"))
}

// endlessText is a text without end.
type endlessText struct{}

func (endlessText) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	read int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	return n, err
}

// fields is an encoded record or packet by its keys.
type fields = map[uint64]any

func encodedServer(id, address string) fields {
	return fields{1: id, 2: 1000, 3: 1, 5: "s", 6: address, 10: "127.0.0.9"}
}

// oddServers returns records that name no server to use; the last two cannot be decoded.
func oddServers() []any {
	huge, unknown := encodedServer("huge", "10.0.0.1:80"), encodedServer("unknown-state", "10.0.0.1:80")
	huge[8], unknown[4] = 1<<40, 200
	wrong, large := encodedServer("wrong-type", "10.0.0.1:80"), encodedServer("large", "10.0.0.1:80")
	wrong[6], large[2] = []any{1, 2}, uint64(1)<<63
	return []any{
		encodedServer("no-port", "10.0.0.1:0"), encodedServer("port", "10.0.0.1:65536"), encodedServer("no-text\xff", "10.0.0.1:80"),
		encodedServer("line\r\nbreak", "10.0.0.1:80"), huge, unknown, wrong, large,
	}
}

func candidateIDs(n *Node) (out []string) {
	for _, c := range n.catalog.Candidates("s") {
		out = append(out, string(c.Server))
	}
	return out
}

// TestOddRecordsCostThemselvesOnly: guards against records that an earlier build has accepted from another writer, in the
// copy of the membership on disk and in a packet, after which a node ends or lacks the sound records next to them.
func TestOddRecordsCostThemselvesOnly(t *testing.T) {
	id := tier.NodeID(fmt.Sprintf("127.88.%d.1", os.Getpid()%250))
	dir := t.TempDir()
	saved := fields{1: []any{fields{1: "127.0.0.9", 2: 1, 3: 1, 4: 7}}, 2: append(oddServers(), encodedServer("saved", "10.0.0.1:80"))}
	require.NoError(t, disk.SaveFile(filepath.Join(dir, membersFile), saved))
	port := freeUDPPorts(t, string(id))
	n := newControlNode(Settings{ID: id, LinkPort: port, GossipPort: port + 1, Data: dir, Bootstrap: true, Seeds: []tier.NodeID{id}})
	runControlNode(t, n)
	require.Equal(t, []string{"saved"}, candidateIDs(n))
	require.EqualValues(t, 1, n.Stats.Counter("records_ignored", "unreadable"))
	require.EqualValues(t, len(oddServers())-3, n.Stats.Counter("records_ignored", "odd"), "an unknown state is not live")

	c, err := net.Dial("udp", n.Settings.gossipAddress(id))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	for i, odd := range oddServers() {
		sound := fmt.Sprint("sound-", i)
		b, err := frame.Marshal(fields{1: "127.0.0.9", 2: 1, 10: []any{fields{1: "127.0.0.9", 2: 1, 3: 2 + i, 4: 7}}, 11: []any{odd, encodedServer(sound, fmt.Sprintf("10.0.1.%d:80", i))}})
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			_, err := c.Write(b)
			require.NoError(t, err)
			return n.catalog.service(tier.ServerID(sound)) == "s"
		}, 30*time.Second, 20*time.Millisecond, "record %d", i)
	}
	require.Len(t, candidateIDs(n), 1+len(oddServers()))
	require.Greater(t, n.Stats.Counter("records_ignored", "unreadable"), int64(1))
	for _, garbage := range [][]byte{nil, {0xff}, {0x9f, 0x9f, 0x9f}, make([]byte, 9000)} {
		_, err := c.Write(garbage)
		require.NoError(t, err)
	}
	known := 0
	n.gossip.withState(func(_ time.Duration, s *spread.State) { known = len(s.Servers()) })
	require.Equal(t, 1+2*len(oddServers())-2, known)
}
