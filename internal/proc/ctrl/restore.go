package ctrl

import (
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/quorum"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Restore creates a new cluster from a backup in an empty data folder. The folder's new replica ID is the only voter;
// further control hosts are added afterwards. It returns that ID and the version of the restored configuration. The
// term is the time in seconds since 1970, which is higher than any term of the former cluster, so that nodes that are
// still running follow the new cluster.
func Restore(f *disk.Folder, backup []byte, now time.Time) (tier.ReplicaID, tier.ConfigVersion, error) {
	st, err := store.Load(backup)
	if err != nil {
		return "", 0, errors.Wrap(err, "read backup")
	}
	st.Restore(now.UnixMilli())
	data, err := st.Save()
	if err != nil {
		return "", 0, errors.Wrap(err, "encode state")
	}
	defer func() { _ = f.Close() }()
	s, err := f.Open()
	if err != nil {
		return "", 0, err
	}
	if s.Hard.Term > 0 || s.Snap.Index > 0 || len(s.Entries) > 0 {
		return "", 0, tier.At("restore", f.Path, errors.New("the data folder holds the state of a cluster; it must be empty"))
	}
	term := tier.Term(now.Unix())
	snap := quorum.Snap{Index: 1, Term: term, Members: quorum.Members{Voters: []tier.ReplicaID{f.ID()}}, Data: data, Exact: true}
	return f.ID(), st.Config().Version, f.SaveSnapshot(snap, quorum.HardState{Term: term}, nil)
}
