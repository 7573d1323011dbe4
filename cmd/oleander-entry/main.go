// Command oleander-entry runs on every own VM and forwards the requests of callers to minions.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/entry"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	settings := entry.DefaultSettings()
	arg.MustParse(&settings)
	if err := settings.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(settings entry.Settings) error {
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	c := common.New("oleander-entry", common.WithLogger(common.NewLogger(os.Stderr, level)))
	daemon, err := entry.New(c, settings)
	if err != nil {
		return err
	}
	if err := daemon.Start(); err != nil {
		return err
	}
	stop, cancel := c.StopContext()
	defer cancel()
	select {
	case <-stop.Done():
		return daemon.Stop(context.Background())
	case err := <-daemon.Failed():
		daemon.Kill()
		return err
	}
}
