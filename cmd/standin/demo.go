package main

// demoCommand is "standin demo".
type demoCommand struct {
	Verbose bool `arg:"--verbose" help:"write the daemons' logs to standard error"`
	Stay    bool `arg:"--stay" help:"keep the system up after the checks, and print its addresses"`
}

func (c *demoCommand) validate() error { return nil }

func (c *demoCommand) run() error { return nil }
