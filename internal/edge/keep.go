package edge

import (
	"context"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/disk"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
)

// Files that a host with a disk keeps beside its replica, so that after a loss
// of power of the whole fleet callers are served before the control group has
// a leader and before the servers have announced themselves again. What they
// hold is known to be old, and gives way to whatever is newer.
const (
	tableFile   = "table"
	membersFile = "members"
)

const (
	// keepEvery is the least time between two copies of the membership.
	keepEvery = time.Second
	// keepShare is the share of the time in which the disk may be busy with
	// copies; the control log shares it.
	keepShare = 20
)

// members is what is kept of the membership.
type members struct {
	Hosts   []spread.Host   `cbor:"1,keyasint"`
	Servers []spread.Server `cbor:"2,keyasint"`
}

// recall takes over what the host kept before its start.
func (n *Node) recall() {
	if n.Settings.Data == "" {
		return
	}
	var m members
	if found, err := disk.LoadFile(filepath.Join(n.Settings.Data, membersFile), &m); found {
		n.gossip.do(func(now time.Duration, s *spread.State) { s.Restore(now, m.Hosts, m.Servers) })
	} else if err != nil {
		event.CopyFailed.Log(n.Log, err, nil)
	}
	var d store.RoutesDoc
	if found, err := disk.LoadFile(filepath.Join(n.Settings.Data, tableFile), &d); found {
		n.takeRoutes(d)
	} else if err != nil {
		event.CopyFailed.Log(n.Log, err, nil)
	}
}

// keep writes copies of the routing table and of the membership to the disk
// when they change, apart from the requests and from the replica.
func (n *Node) keep(ctx context.Context) error {
	version := n.routesVersion()
	var sum uint64
	t := time.NewTicker(keepEvery)
	defer t.Stop()
	var rest time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.newTable:
		case <-t.C:
		}
		if n.Settings.Data == "" || time.Now().Before(rest) {
			continue
		}
		began := time.Now()
		if v := n.routesVersion(); v > version && n.copy(tableFile, n.table.Load().doc) {
			version = v
		}
		var m members
		var next uint64
		n.gossip.do(func(_ time.Duration, s *spread.State) { m, next = members{s.Hosts(), s.Servers()}, s.Sum() })
		if next != sum && n.copy(membersFile, m) {
			sum = next
		}
		rest = time.Now().Add(keepShare * time.Since(began))
	}
}

func (n *Node) copy(file string, v any) bool {
	err := disk.SaveFile(filepath.Join(n.Settings.Data, file), v)
	if err != nil {
		event.CopyFailed.Log(n.Log, err, logrus.Fields{"file": file})
	}
	return err == nil
}
