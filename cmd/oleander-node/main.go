// Command oleander-node is one process of a cell on the users' platform. It accepts jobs, and schedules them while it is the leader.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/platform"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// options are the command-line options. All other settings are in the platform's settings file.
type options struct {
	LogLevel   string `arg:"--log-level,env:OLEANDER_LOG_LEVEL" help:"debug, info, warning or error" default:"info"`
	LogLines   int    `arg:"--log-lines,env:OLEANDER_LOG_LINES" help:"maximum number of log lines per second" default:"1000"`
	Metrics    int    `arg:"--metrics-port,env:OLEANDER_METRICS_PORT" help:"port of the metrics page" default:"9100"`
	OwnAppends bool   `arg:"--own-appends,env:OLEANDER_OWN_APPENDS" help:"append all submissions and cancellations in this process, also while the log answers slowly"`
	// Connections and BodyMemory replace limits that follow from the settings file.
	Connections int  `arg:"--max-connections,env:OLEANDER_MAX_CONNECTIONS" help:"maximum number of clients' connections; 0 derives it from the memory and the descriptors of the VM" default:"0"`
	BodyMemory  int  `arg:"--body-memory,env:OLEANDER_BODY_MEMORY" help:"memory in MiB for bodies above 8 KiB that are being received; 0 derives it from the memory of the VM" default:"0"`
	Check       bool `arg:"--check" help:"check the settings file and exit"`

	IgnoreSpeed bool `arg:"--ignore-speed,env:OLEANDER_IGNORE_SPEED" help:"start urgent tasks on slow workers as on others"`
	Copies      bool `arg:"--speculative-copies,env:OLEANDER_SPECULATIVE_COPIES" help:"start speculative copies of tasks whose steps allow them"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	path, err := platform.SettingsPath()
	if err != nil {
		fail(exitBadSettings, err)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fail(exitBadSettings, err)
	}
	if opts.Check {
		fmt.Println("the settings file is valid")
		return
	}
	c, err := newCommon(opts)
	if err != nil {
		fail(exitBadSettings, err)
	}
	d := newDaemon(c, opts, settings, path)
	if err := d.run(context.Background()); err != nil {
		c.Event(common.EventStopped).WithError(err).Error("node failed")
		fail(exitFailed, err)
	}
}

// fail prints err and exits with a status.
func fail(status int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(status)
}
