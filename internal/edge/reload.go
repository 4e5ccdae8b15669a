package edge

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
)

// reloadEvery is how often the settings file is looked at for a change without a signal.
const reloadEvery = 2 * time.Second

// Reloader reads the settings again on a signal and when their file changes.
// What may change while a node runs is the list of seeds; the rest waits for
// the next start.
type Reloader struct {
	// Node takes the new settings.
	Node *Node
	// Path is the settings file.
	Path string
	// Load reads it.
	Load func() (Settings, error)
	// Signals asks for a reload.
	Signals <-chan os.Signal

	stamp time.Time
}

// Run reloads until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	r.changed()
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Signals:
			r.changed()
			r.reload("signal")
		case <-t.C:
			if r.changed() {
				r.reload("file changed")
			}
		}
	}
}

// changed reports whether the file has another time of change than before.
func (r *Reloader) changed() bool {
	info, err := os.Stat(r.Path)
	if err != nil || info.ModTime().Equal(r.stamp) {
		return false
	}
	r.stamp = info.ModTime()
	return true
}

func (r *Reloader) reload(why string) {
	s, err := r.Load()
	if err != nil {
		event.SettingsRefused.Log(r.Node.Log, err, logrus.Fields{"why": why})
		return
	}
	if !slices.Equal(s.Seeds, r.Node.gossip.seeds()) {
		r.Node.gossip.setSeeds(s.Seeds)
	}
	event.SettingsReloaded.Log(r.Node.Log, nil, logrus.Fields{"why": why, "seeds": s.Seeds})
}
