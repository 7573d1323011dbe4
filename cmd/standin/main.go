// Command standin runs a simulated platform for development, or the demo of the whole system.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

type settings struct {
	Serve *serveCommand `arg:"subcommand:serve" help:"serve a stand-in platform on loopback"`
	Demo  *demoCommand  `arg:"subcommand:demo" help:"run the whole system in one process and check what it does"`
}

// command is a subcommand.
type command interface {
	validate() error
	run() error
}

func main() {
	var s settings
	parser := arg.MustParse(&s)
	var c command
	switch {
	case s.Serve != nil:
		c = s.Serve
	case s.Demo != nil:
		c = s.Demo
	default:
		parser.Fail("want a command: serve or demo")
	}
	if err := c.validate(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitBadSettings)
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
}
