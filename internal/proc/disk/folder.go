package disk

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	identityFile     = "identity"
	lockFile         = "lock"
	logFile          = "log"
	snapFile         = "snapshot"
	folderMode       = 0o750
	fileMode         = 0o640
	incarnationBytes = 8
)

// Folder is the data folder of one replica. Set the exported fields, then call Open.
type Folder struct {
	// Path is the path of the folder.
	Path string
	// Node is the node that the folder must belong to.
	Node tier.NodeID
	// Founder gives a new folder the fixed incarnation of a founder instead of a random one.
	Founder bool
	// OpenLog opens the log for appending; nil means the real file.
	OpenLog func(path string) (tier.File, error)
	// Stats records write latencies and file sizes; nil disables them.
	Stats Stats

	id   tier.ReplicaID
	lock *os.File
	log  tier.File
	// logBytes is the size of the log.
	logBytes int64
	failed   error
}

// Stats records the measurements of a folder.
type Stats interface {
	// Latency records the time from the start of a write to the end of its sync.
	Latency(kind, label string, took time.Duration)
	// Gauge records the size of a file in bytes.
	Gauge(name, label string, v float64)
}

// Names of the measurements. Their label is the name of the file.
const (
	StatWrites = "disk"
	StatBytes  = "disk_bytes"
)

// recordWrite records the latency of one write and the new size of its file.
func (f *Folder) recordWrite(file string, began time.Time, size int64) {
	if f.Stats == nil {
		return
	}
	f.Stats.Latency(StatWrites, file, time.Since(began))
	f.Stats.Gauge(StatBytes, file, float64(size))
}

// State is the durable state read from a folder.
type State struct {
	Hard    quorum.HardState
	Snap    quorum.Snap
	Entries []quorum.Entry
}

type record struct {
	Hard    *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// Open locks the folder, creates an identity if there is none, reads the state and opens the log for appending. It syncs the
// log: a record that was written but not synced before the process was killed is read back, and must not be lost later.
func (f *Folder) Open() (State, error) {
	var s State
	if err := os.MkdirAll(f.Path, folderMode); err != nil {
		return s, tier.At("create data folder", f.Path, err)
	}
	if err := f.acquireLock(); err != nil {
		return s, err
	}
	if err := f.loadIdentity(); err != nil {
		return s, err
	}
	if err := f.loadSnapshot(&s); err != nil {
		return s, err
	}
	if err := f.loadLog(&s); err != nil {
		return s, err
	}
	if err := f.openLog(); err != nil {
		return s, err
	}
	return s, tier.At("sync log", f.Path, f.log.Sync())
}

// ID returns the replica ID stored in the folder.
func (f *Folder) ID() tier.ReplicaID { return f.id }

func (f *Folder) acquireLock() error {
	l, err := os.OpenFile(filepath.Join(f.Path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return tier.At("open lock", f.Path, err)
	}
	if err := unix.Flock(int(l.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = l.Close()
		return tier.At("lock", f.Path, tier.ErrFolderInUse)
	}
	f.lock = l
	return nil
}

func (f *Folder) loadIdentity() error {
	path := filepath.Join(f.Path, identityFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return f.createIdentity(path)
	}
	if err != nil {
		return tier.At("read identity", path, err)
	}
	f.id = tier.ReplicaID(strings.TrimSpace(string(b)))
	if f.id.Node() != f.Node {
		return tier.At("check identity", path, errors.Errorf("folder belongs to %q, not %q", f.id.Node(), f.Node))
	}
	return nil
}

// createIdentity writes a new identity to an empty folder. A folder that has a log or a snapshot but no identity is
// reported as corrupt.
func (f *Folder) createIdentity(path string) error {
	for _, name := range []string{logFile, snapFile} {
		if _, err := os.Stat(filepath.Join(f.Path, name)); err == nil {
			return tier.At("create identity", path, errors.Wrap(tier.ErrCorrupt, "folder has a "+name+" but no identity"))
		}
	}
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return tier.At("create identity", path, err)
	}
	f.id = f.Node.Replica(hex.EncodeToString(b[:]))
	if f.Founder {
		f.id = f.Node.Replica(tier.FounderIncarnation)
	}
	return replaceFile(path, []byte(f.id))
}

func (f *Folder) loadSnapshot(s *State) error {
	path := filepath.Join(f.Path, snapFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return tier.At("read snapshot", path, err)
	}
	found := false
	n, err := scanRecords(b, func(p []byte) error {
		found = true
		return frame.Unmarshal(p, &s.Snap)
	})
	if err == nil && (!found || n != len(b)) {
		err = errors.Wrap(tier.ErrCorrupt, "snapshot is truncated")
	}
	return tier.At("read snapshot", path, err)
}

func (f *Folder) loadLog(s *State) error {
	path := filepath.Join(f.Path, logFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return tier.At("read log", path, err)
	}
	n, err := scanRecords(b, func(p []byte) error { return s.replay(p) })
	if err != nil {
		return tier.At("read log", path, err)
	}
	f.logBytes = int64(n)
	if n < len(b) {
		err = os.Truncate(path, int64(n))
	}
	return tier.At("truncate torn record", path, err)
}

// replay applies one log record to s. Entries that the snapshot already covers are skipped.
func (s *State) replay(p []byte) error {
	var r record
	if err := frame.Unmarshal(p, &r); err != nil {
		return errors.Wrap(tier.ErrCorrupt, err.Error())
	}
	if r.Hard != nil {
		s.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= s.Snap.Index || e.Term < s.Snap.Term {
			continue
		}
		at := int(e.Index - s.Snap.Index - 1)
		if at > len(s.Entries) {
			return errors.Wrapf(tier.ErrCorrupt, "gap in the log: entry %d follows %d", e.Index, s.Snap.Index+tier.Index(len(s.Entries)))
		}
		s.Entries = append(s.Entries[:at], e)
	}
	return nil
}

func (f *Folder) openLog() error {
	path := filepath.Join(f.Path, logFile)
	open := f.OpenLog
	if open == nil {
		open = openAppend
	}
	l, err := open(path)
	if err != nil {
		return tier.At("open log", path, err)
	}
	f.log = l
	return tier.At("sync folder", f.Path, syncDir(f.Path))
}

func openAppend(path string) (tier.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Save appends a hard state and entries as one record and syncs the log. After an error every later call returns the
// same error, because it is unknown which data reached the disk.
func (f *Folder) Save(hard *quorum.HardState, es []quorum.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	if hard == nil && len(es) == 0 {
		return nil
	}
	p, err := frame.Marshal(record{Hard: hard, Entries: es})
	if err != nil {
		return f.fail("encode log record", err)
	}
	began := time.Now()
	n, err := f.log.Write(appendRecord(nil, p))
	if err != nil {
		return f.fail("write log", err)
	}
	if err := f.log.Sync(); err != nil {
		return f.fail("sync log", err)
	}
	f.logBytes += int64(n)
	f.recordWrite(logFile, began, f.logBytes)
	return nil
}

func (f *Folder) fail(step string, err error) error {
	f.failed = tier.At(step, f.Path, err)
	return f.failed
}

// SaveSnapshot makes s durable and then replaces the log with a new one that holds hard and the entries after s. A
// crash between the two steps leaves the old log; Open skips its entries up to s.
func (f *Folder) SaveSnapshot(s quorum.Snap, hard quorum.HardState, rest []quorum.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	p, err := frame.Marshal(s)
	if err != nil {
		return f.fail("encode snapshot", err)
	}
	began, encoded := time.Now(), appendRecord(nil, p)
	if err := replaceFile(filepath.Join(f.Path, snapFile), encoded); err != nil {
		return f.fail("write snapshot", err)
	}
	f.recordWrite(snapFile, began, int64(len(encoded)))
	q, err := frame.Marshal(record{Hard: &hard, Entries: rest})
	if err != nil {
		return f.fail("encode log record", err)
	}
	if err := f.log.Close(); err != nil {
		return f.fail("close log", err)
	}
	log := appendRecord(nil, q)
	if err := replaceFile(filepath.Join(f.Path, logFile), log); err != nil {
		return f.fail("write log", err)
	}
	f.logBytes = int64(len(log))
	if err := f.openLog(); err != nil {
		return f.fail("reopen log", err)
	}
	if f.Stats != nil {
		f.Stats.Gauge(StatBytes, logFile, float64(f.logBytes))
	}
	return nil
}

// Close closes the log and releases the lock.
func (f *Folder) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	if f.lock != nil {
		if e := f.lock.Close(); err == nil {
			err = e
		}
	}
	return tier.At("close data folder", f.Path, err)
}

// replaceFile atomically replaces the file at path with b: it writes and syncs a temporary file, renames it and syncs
// the folder.
func replaceFile(path string, b []byte) error {
	tmp := path + ".tmp"
	w, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return tier.At("create", tmp, err)
	}
	_, err = w.Write(b)
	if err == nil {
		err = w.Sync()
	}
	if e := w.Close(); err == nil {
		err = e
	}
	if err != nil {
		return tier.At("write", tmp, err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return tier.At("rename", path, err)
	}
	return tier.At("sync folder", path, syncDir(filepath.Dir(path)))
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	err = d.Sync()
	if e := d.Close(); err == nil {
		err = e
	}
	return err
}
