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

// watchSettings reads the settings file again after SIGHUP and when it changes by itself. Addresses of this process stay
// those of its start.
func (p *program) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	changed := p.modified()
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			now := p.modified()
			if now.Equal(changed) {
				continue
			}
			changed, reason = now, "file changed"
		}
		p.reload(reason)
	}
}

func (p *program) modified() time.Time {
	info, err := os.Stat(p.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (p *program) reload(reason string) {
	entry := p.common.Event(common.EventSettingsReloaded).WithField("reason", reason)
	if _, err := platform.LoadSettings(p.path); err != nil {
		entry.WithError(err).Warn("settings file is faulty, the last good one stays")
		return
	}
	entry.Info("settings file read")
}
