// Command oleanderctl is the command-line tool for operators. It checks, shows, compares and publishes rules, and reports the state
// of the system.
package main

import (
	"context"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/oleanderline/oleanderline/pkg/ctl"
)

func main() {
	settings := ctl.DefaultSettings()
	parser := arg.MustParse(&settings)
	if parser.Subcommand() == nil {
		parser.Fail("missing command")
	}
	if err := settings.Validate(); err != nil {
		parser.Fail(err.Error())
	}
	os.Exit(ctl.New(settings, ctl.WithStreams(os.Stdin, os.Stdout, os.Stderr)).Run(context.Background()))
}
