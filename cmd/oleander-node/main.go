// Command oleander-node is one process of a cell on the users' platform: it accepts jobs and, while it leads, schedules
// them.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// arguments are the program's own settings; everything else stands in the platform's settings file.
type arguments struct {
	LogLevel string `arg:"--log-level,env:OLEANDER_LOG_LEVEL" help:"debug, info, warning or error" default:"info"`
	LogLines int    `arg:"--log-lines,env:OLEANDER_LOG_LINES" help:"log lines a second, at most" default:"1000"`
	Metrics  int    `arg:"--metrics-port,env:OLEANDER_METRICS_PORT" help:"port of the metrics page" default:"9100"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	path, err := platform.SettingsPath()
	if err != nil {
		fail(exitSettings, err)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fail(exitSettings, err)
	}
	if args.Check {
		fmt.Println("the settings file is valid")
		return
	}
	c, err := newCommon(args)
	if err != nil {
		fail(exitSettings, err)
	}
	p := newProgram(c, args, settings, path)
	if err := p.run(context.Background()); err != nil {
		c.Event(common.EventStopped).WithError(err).Error("node failed")
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
