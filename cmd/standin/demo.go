package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/demo"
)

// demoCommand is the subcommand "standin demo".
type demoCommand struct {
	Verbose bool `arg:"--verbose" help:"write the daemons' logs to standard error"`
	Stay    bool `arg:"--stay" help:"keep the system up after the checks, and print its addresses"`
}

func (c *demoCommand) validate() error { return nil }

func (c *demoCommand) run() error {
	logger := common.NewLogger(io.Discard, logrus.InfoLevel)
	if c.Verbose {
		logger.SetOutput(os.Stderr)
	}
	ctx := context.Background()
	var options []demo.Option
	if c.Stay {
		stop, cancel := common.New("standin", common.WithLogger(logger)).StopContext()
		defer cancel()
		options = append(options, demo.WithStay(stop))
	}
	passed, err := demo.New(os.Stdout, logger, options...).Run(ctx)
	if err != nil {
		return err
	}
	if !passed {
		return errors.New("demo: at least one check failed")
	}
	return nil
}
