package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

func open(t *testing.T, path string) (*Folder, State) {
	t.Helper()
	f := &Folder{Path: path, Node: "c1"}
	s, err := f.Open()
	require.NoError(t, err)
	return f, s
}

func entries(from, to int) []quorum.Entry {
	var es []quorum.Entry
	for i := from; i <= to; i++ {
		es = append(es, quorum.Entry{Index: tier.Index(i), Term: 1, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return es
}

// newFilledFolder returns the path of a closed folder with a hard state and three records of two entries each.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	path := t.TempDir()
	f, _ := open(t, path)
	require.NoError(t, f.Save(&quorum.HardState{Term: 3, Voted: "c2#1"}, nil))
	for i := range 3 {
		require.NoError(t, f.Save(nil, entries(2*i+1, 2*i+2)))
	}
	require.NoError(t, f.Close())
	return path
}

func TestReopen(t *testing.T) {
	path := newFilledFolder(t)
	f, s := open(t, path)
	require.Equal(t, quorum.HardState{Term: 3, Voted: "c2#1"}, s.Hard)
	require.Equal(t, entries(1, 6), s.Entries)
	id := f.ID()
	require.NoError(t, f.Save(nil, []quorum.Entry{{Index: 4, Term: 2}}))
	require.NoError(t, f.Close())
	f, s = open(t, path)
	defer func() { require.NoError(t, f.Close()) }()
	require.Equal(t, id, f.ID())
	require.Len(t, s.Entries, 4, "a rewritten entry must replace all entries after it")
	require.Equal(t, tier.Term(2), s.Entries[3].Term)
}

// statsRecorder stores the measurements of a folder.
type statsRecorder struct {
	writes map[string]int
	bytes  map[string]float64
}

func (r *statsRecorder) Latency(kind, label string, took time.Duration) {
	if kind == StatWrites && took > 0 {
		r.writes[label]++
	}
}

func (r *statsRecorder) Gauge(name, label string, v float64) {
	if name == StatBytes {
		r.bytes[label] = v
	}
}

func TestWritesAndSizesAreMeasured(t *testing.T) {
	r := &statsRecorder{map[string]int{}, map[string]float64{}}
	f := &Folder{Path: newFilledFolder(t), Node: "c1", Stats: r}
	_, err := f.Open()
	require.NoError(t, err)
	size := func(file string) float64 {
		s, err := os.Stat(filepath.Join(f.Path, file))
		require.NoError(t, err)
		return float64(s.Size())
	}
	require.NoError(t, f.Save(nil, entries(7, 8)))
	require.Equal(t, map[string]int{logFile: 1}, r.writes)
	require.Equal(t, map[string]float64{logFile: size(logFile)}, r.bytes)
	require.NoError(t, f.SaveSnapshot(quorum.Snap{Index: 8, Term: 1}, quorum.HardState{Term: 3}, entries(9, 9)))
	require.Equal(t, map[string]int{logFile: 1, snapFile: 1}, r.writes)
	require.Equal(t, map[string]float64{logFile: size(logFile), snapFile: size(snapFile)}, r.bytes)
	require.NoError(t, f.Close())
}

func TestWipedDiskGetsANewIdentity(t *testing.T) {
	path := newFilledFolder(t)
	f, _ := open(t, path)
	id := f.ID()
	require.NoError(t, f.Close())
	require.NoError(t, os.RemoveAll(path))
	f, s := open(t, path)
	defer func() { require.NoError(t, f.Close()) }()
	require.NotEqual(t, id, f.ID())
	require.Empty(t, s.Entries)
}

// TestDamage truncates the log at every byte, and flips one bit in every byte. A truncated log must be read up to the
// torn last record; a flipped bit must be reported as corruption.
func TestDamage(t *testing.T) {
	path := newFilledFolder(t)
	log := filepath.Join(path, logFile)
	whole, err := os.ReadFile(log)
	require.NoError(t, err)
	lastOffset := lastRecordOffset(t, whole)
	for at := range whole {
		require.NoError(t, os.WriteFile(log, whole[:at], 0o600))
		f := &Folder{Path: path, Node: "c1"}
		s, err := f.Open()
		require.NoError(t, err, "a log truncated at byte %d must open, as its last record is torn", at)
		require.Equal(t, entries(1, 6)[:len(s.Entries)], append([]quorum.Entry{}, s.Entries...))
		require.NoError(t, f.Close())

		flipped := append([]byte(nil), whole...)
		flipped[at] ^= 0x40
		require.NoError(t, os.WriteFile(log, flipped, 0o600))
		f = &Folder{Path: path, Node: "c1"}
		_, err = f.Open()
		require.ErrorIs(t, err, tier.ErrCorrupt, "a flipped bit in byte %d (last record at %d) must be reported as corruption", at, lastOffset)
		_ = f.Close()
	}
}

func lastRecordOffset(t *testing.T, b []byte) int {
	t.Helper()
	last, at := 0, 0
	_, err := scanRecords(b, func(p []byte) error {
		last = at
		at += recordHeaderBytes + len(p)
		return nil
	})
	require.NoError(t, err)
	return last
}

func TestTornTailOfZerosIsCut(t *testing.T) {
	path := newFilledFolder(t)
	log := filepath.Join(path, logFile)
	whole, err := os.ReadFile(log)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(log, append(whole, make([]byte, 4096)...), 0o600))
	f, s := open(t, path)
	require.Len(t, s.Entries, 6)
	require.NoError(t, f.Save(nil, entries(7, 7)))
	require.NoError(t, f.Close())
	f, s = open(t, path)
	require.Len(t, s.Entries, 7, "an entry written after the truncation must be read")
	require.NoError(t, f.Close())
}

func TestSecondOpenIsRefused(t *testing.T) {
	path := newFilledFolder(t)
	f, _ := open(t, path)
	defer func() { require.NoError(t, f.Close()) }()
	_, err := (&Folder{Path: path, Node: "c1"}).Open()
	require.ErrorIs(t, err, tier.ErrFolderInUse)
}

func TestStateWithoutIdentityIsRefused(t *testing.T) {
	path := newFilledFolder(t)
	require.NoError(t, os.Remove(filepath.Join(path, identityFile)))
	f := &Folder{Path: path, Node: "c1"}
	_, err := f.Open()
	require.ErrorIs(t, err, tier.ErrCorrupt)
	_ = f.Close()
}

func TestFolderOfAnotherNodeIsRefused(t *testing.T) {
	path := newFilledFolder(t)
	f := &Folder{Path: path, Node: "c9"}
	_, err := f.Open()
	require.ErrorContains(t, err, `belongs to "c1"`)
	_ = f.Close()
}

// failingFile is a log file whose writes or syncs fail with the given errors. A failing write writes half of its data.
type failingFile struct {
	tier.File
	write, sync error
}

func (f *failingFile) Write(p []byte) (int, error) {
	if f.write != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, f.write
	}
	return f.File.Write(p)
}

func (f *failingFile) Sync() error {
	if f.sync != nil {
		return f.sync
	}
	return f.File.Sync()
}

func TestFailedWriteOrSyncDisablesFolder(t *testing.T) {
	errFull, errIO := errors.New("no space left on device"), errors.New("input/output error")
	for _, c := range []struct {
		name string
		fail failingFile
		want error
	}{
		{"disk full", failingFile{write: errFull}, errFull},
		{"sync error", failingFile{sync: errIO}, errIO},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := t.TempDir()
			var file failingFile
			f := &Folder{Path: path, Node: "c1", OpenLog: func(p string) (tier.File, error) {
				l, err := openAppend(p)
				file.File = l
				return &file, err
			}}
			_, err := f.Open()
			require.NoError(t, err)
			require.NoError(t, f.Save(nil, entries(1, 2)))
			file.write, file.sync = c.fail.write, c.fail.sync
			require.ErrorIs(t, f.Save(nil, entries(3, 4)), c.want)
			file.write, file.sync = nil, nil
			require.ErrorIs(t, f.Save(nil, entries(3, 4)), c.want, "a folder must reject writes after the first failure")
			require.NoError(t, f.Close())
			_, s := open(t, path)
			require.GreaterOrEqual(t, len(s.Entries), 2)
		})
	}
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	path := newFilledFolder(t)
	f, _ := open(t, path)
	snap := quorum.Snap{Index: 4, Term: 1, Members: quorum.Members{Voters: []tier.ReplicaID{"c1#1"}}, Data: []byte("state")}
	require.NoError(t, f.SaveSnapshot(snap, quorum.HardState{Term: 3}, entries(5, 6)))
	require.NoError(t, f.Save(nil, entries(7, 7)))
	require.NoError(t, f.Close())
	f, s := open(t, path)
	require.Equal(t, snap, s.Snap)
	require.Equal(t, entries(5, 7), s.Entries)
	require.NoError(t, f.Close())

	b, err := os.ReadFile(filepath.Join(path, snapFile))
	require.NoError(t, err)
	b[len(b)-1] ^= 1
	require.NoError(t, os.WriteFile(filepath.Join(path, snapFile), b, 0o600))
	f = &Folder{Path: path, Node: "c1"}
	_, err = f.Open()
	require.ErrorIs(t, err, tier.ErrCorrupt)
	_ = f.Close()
}

func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	path := newFilledFolder(t)
	log := filepath.Join(path, logFile)
	old, err := os.ReadFile(log)
	require.NoError(t, err)
	f, _ := open(t, path)
	require.NoError(t, f.SaveSnapshot(quorum.Snap{Index: 4, Term: 1}, quorum.HardState{Term: 3}, entries(5, 6)))
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(log, old, 0o600))
	f, s := open(t, path)
	require.Equal(t, entries(5, 6), s.Entries, "entries up to the snapshot must be skipped")
	require.NoError(t, f.Close())
}

func FuzzScan(f *testing.F) {
	f.Add(appendRecord(nil, []byte("one")))
	f.Add(appendRecord(appendRecord(nil, []byte("one")), make([]byte, 600)))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := scanRecords(b, func([]byte) error { return nil })
		require.LessOrEqual(t, n, len(b))
		if err != nil {
			require.ErrorIs(t, err, tier.ErrCorrupt)
		}
	})
}

// syncCounter counts the syncs of a log.
type syncCounter struct {
	tier.File
	syncs int
}

func (c *syncCounter) Sync() error {
	c.syncs++
	return c.File.Sync()
}

// TestOpenMakesDurableWhatItReads: guards against the loss of an acknowledged entry with the power: a process that was killed
// between the write and the sync of a record reads it back after its restart and acknowledges it.
func TestOpenMakesDurableWhatItReads(t *testing.T) {
	path := newFilledFolder(t)
	var log *syncCounter
	f := &Folder{Path: path, Node: "c1", OpenLog: func(p string) (tier.File, error) {
		file, err := openAppend(p)
		log = &syncCounter{File: file}
		return log, err
	}}
	s, err := f.Open()
	require.NoError(t, err)
	require.NotEmpty(t, s.Entries)
	require.Equal(t, 1, log.syncs)
	require.NoError(t, f.Close())
}
