package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/platform"
)

// watchSettings reloads the settings file after SIGHUP and whenever its modification time changes.
func (d *daemon) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	lastModTime := d.modTime()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			newModTime := d.modTime()
			if newModTime.Equal(lastModTime) {
				continue
			}
			lastModTime, reason = newModTime, "file changed"
		}
		d.reload(reason)
	}
}

// modTime returns the modification time of the settings file, or the zero time if the file cannot be read.
func (d *daemon) modTime() time.Time {
	info, err := os.Stat(d.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies the settings that a running process can change. It logs which these are and which of the
// others differ from those in use. An invalid file changes nothing.
func (d *daemon) reload(reason string) {
	entry := d.common.Event(common.EventSettingsReloaded).WithField("reason", reason)
	next, err := platform.LoadSettings(d.path)
	if err != nil {
		entry.WithError(err).Warn("settings file is invalid; nothing is changed")
		return
	}
	_, pending := d.settings.Changed(&next)
	applied, _ := d.applied.Changed(&next)
	d.apply(&next)
	entry.WithField("applied", applied).WithField("pending", pending).Info("settings file read; pending settings take effect at the next start")
}

// apply applies the settings that a running process can change.
func (d *daemon) apply(settings *platform.Settings) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * megabyte))
	}
	d.clients.apply(settings)
	d.gracePeriod.Store(int64(settings.GracePeriod))
	d.applied = *settings
}
