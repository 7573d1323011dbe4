package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/platform"
)

// watchSettings checks the settings file after SIGHUP and whenever its modification time changes, and logs the result. The node
// keeps the settings that it has read at its start.
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

// reload reads and checks the settings file, and logs whether it is valid.
func (d *daemon) reload(reason string) {
	entry := d.common.Event(common.EventSettingsReloaded).WithField("reason", reason)
	if _, err := platform.LoadSettings(d.path); err != nil {
		entry.WithError(err).Warn("settings file is invalid; keeping the settings read at start")
		return
	}
	entry.Info("settings file is valid; changes take effect at the next start")
}
