package edge

import (
	"context"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
)

// Files that a host with a disk stores next to its replica. After the whole fleet has lost power
// they let the host serve callers before the control group has a leader and before the servers have
// announced themselves again. Their content is treated as outdated: any newer version replaces it.
const (
	tableFile   = "table"
	membersFile = "members"
	zonesFile   = "zones"
)

const (
	// minCopyInterval is the minimum time between two copies of the membership.
	minCopyInterval = time.Second
	// copyPauseFactor is the pause after a copy as a multiple of the time that the copy took:
	// copies keep the disk busy for less than 5 % of the time, because the control log is on the
	// same disk.
	copyPauseFactor = 20
)

// savedMembership is the copy of the membership on disk.
type savedMembership struct {
	Hosts   []spread.Host   `cbor:"1,keyasint"`
	Servers []spread.Server `cbor:"2,keyasint"`
}

// loadCopies restores the evacuated zones, the membership and the routing table that the host stored before its last
// stop.
func (n *Node) loadCopies() {
	if n.Settings.Data == "" {
		return
	}
	// First of all, so that no server in an evacuated zone is ever a candidate.
	var zones evac.Set
	if found, err := disk.LoadFile(filepath.Join(n.Settings.Data, zonesFile), &zones); found {
		n.installEvacuations(zones)
	} else if err != nil {
		event.LocalCopyFailed.Log(n.Log, err, nil)
	}
	var m savedMembership
	found, dropped, err := disk.LoadRecords(filepath.Join(n.Settings.Data, membersFile), &m)
	if dropped > 0 {
		n.recordsDropped(membersFile, dropped, nil)
	}
	if found {
		n.gossip.withState(func(now time.Duration, s *spread.State) { s.Restore(now, m.Hosts, m.Servers) })
	} else if err != nil {
		event.LocalCopyFailed.Log(n.Log, err, nil)
	}
	var d store.RoutesDoc
	if found, err := disk.LoadFile(filepath.Join(n.Settings.Data, tableFile), &d); found {
		n.installRoutes(d)
	} else if err != nil {
		event.LocalCopyFailed.Log(n.Log, err, nil)
	}
}

// saveCopies writes copies of the routing table, the evacuated zones and the membership to disk when they change. It
// runs in its own goroutine, so that slow writes delay neither requests nor the replica.
func (n *Node) saveCopies(ctx context.Context) error {
	savedVersion := n.routesVersion()
	savedZones := n.evacuations.get().Version
	var savedSum uint64
	t := time.NewTicker(minCopyInterval)
	defer t.Stop()
	var pauseUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.tableChanged:
		case <-t.C:
		}
		if n.Settings.Data == "" || time.Now().Before(pauseUntil) {
			continue
		}
		began := time.Now()
		if v := n.routesVersion(); v > savedVersion && n.saveCopy(tableFile, n.table.Load().doc) {
			savedVersion = v
		}
		if set := n.evacuations.get(); set.Version > savedZones && n.saveCopy(zonesFile, set) {
			savedZones = set.Version
		}
		var m savedMembership
		var currentSum uint64
		n.gossip.withState(func(_ time.Duration, s *spread.State) {
			m, currentSum = savedMembership{s.Hosts(), s.Servers()}, s.Sum()
		})
		if currentSum != savedSum && n.saveCopy(membersFile, m) {
			savedSum = currentSum
		}
		pauseUntil = time.Now().Add(copyPauseFactor * time.Since(began))
	}
}

func (n *Node) saveCopy(file string, v any) bool {
	err := disk.SaveFile(filepath.Join(n.Settings.Data, file), v)
	if err != nil {
		event.LocalCopyFailed.Log(n.Log, err, logrus.Fields{"file": file})
	}
	return err == nil
}
