// Command oleander-sched runs the batch scheduler on one own VM. It accepts jobs, owns shards of workers, places tasks and renews
// their leases.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/sched"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	settings := sched.DefaultSettings()
	arg.MustParse(&settings)
	if err := settings.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBadSettings)
	}
	level, _ := logrus.ParseLevel(settings.LogLevel)
	c := common.New("oleander-sched", common.WithLogger(common.NewLogger(os.Stderr, level)))
	if err := run(c, settings); err != nil {
		c.Log.WithError(err).Error("scheduler failed")
		os.Exit(exitFailed)
	}
}

func run(c *common.Common, settings sched.Settings) error {
	stop, cancel := c.StopContext()
	defer cancel()
	daemon, err := sched.New(c, settings)
	if err != nil {
		return err
	}
	if err := daemon.Start(stop); err != nil {
		return err
	}
	<-stop.Done()
	return daemon.Stop(context.Background())
}
