package edge

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
)

// filePollInterval is how often the settings file is checked for changes.
const filePollInterval = 2 * time.Second

// Reloader reloads the settings on a signal and when their file changes. Only the list of seeds
// takes effect while the node runs; all other changes take effect at the next start.
type Reloader struct {
	// Node is the node whose settings are updated.
	Node *Node
	// Path is the settings file.
	Path string
	// Load reads the settings file.
	Load func() (Settings, error)
	// Signals triggers a reload.
	Signals <-chan os.Signal

	modTime time.Time
}

// Run reloads until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	r.fileChanged()
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Signals:
			r.fileChanged()
			r.reload("signal")
		case <-t.C:
			if r.fileChanged() {
				r.reload("file changed")
			}
		}
	}
}

// fileChanged reports whether the file's modification time differs from that of the last call.
func (r *Reloader) fileChanged() bool {
	info, err := os.Stat(r.Path)
	if err != nil || info.ModTime().Equal(r.modTime) {
		return false
	}
	r.modTime = info.ModTime()
	return true
}

func (r *Reloader) reload(reason string) {
	s, err := r.Load()
	if err != nil {
		event.SettingsRefused.Log(r.Node.Log, err, logrus.Fields{"why": reason})
		return
	}
	if !slices.Equal(s.Seeds, r.Node.gossip.seeds()) {
		r.Node.gossip.setSeeds(s.Seeds)
	}
	r.Node.logIgnoredSeeds(s.IgnoredSeeds)
	event.SettingsReloaded.Log(r.Node.Log, nil, logrus.Fields{"why": reason, "seeds": s.Seeds})
}
