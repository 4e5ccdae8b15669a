package edge

import (
	"context"
	"path/filepath"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
)

// keepFile holds the routing table in force, so that a host serves callers
// after a loss of power before the control group has elected a leader.
const keepFile = "table"

// loadTable puts the routing table in force that this host had before.
func (n *Node) loadTable() {
	if n.Settings.Data == "" {
		return
	}
	var d store.RoutesDoc
	found, err := disk.LoadFile(filepath.Join(n.Settings.Data, keepFile), &d)
	if err != nil {
		event.TableNotKept.Log(n.Log, err, nil)
	}
	if found {
		n.takeRoutes(d)
	}
}

// keepTables writes each table that comes into force to the disk, apart from
// the requests and from the replica, whose own log is what counts.
func (n *Node) keepTables(ctx context.Context) error {
	kept := n.routesVersion()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.newTable:
		}
		t := n.table.Load()
		if n.Settings.Data == "" || t == nil || t.doc.Version <= kept {
			continue
		}
		if err := disk.SaveFile(filepath.Join(n.Settings.Data, keepFile), t.doc); err != nil {
			event.TableNotKept.Log(n.Log, err, logrus.Fields{"version": t.doc.Version})
			continue
		}
		kept = t.doc.Version
	}
}
