package common

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitForced is the exit status after a second signal.
const exitForced = 130

// StopContext returns a context that is cancelled on the first SIGTERM or SIGINT. A second signal exits the process at
// once.
func (c *Common) StopContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		c.Event(EventStopping).Info("stopping; finishing work in flight")
		cancel()
		<-signals
		c.Event(EventForcedExit).Warn("second stop signal; exiting without finishing work in flight")
		os.Exit(exitForced)
	}()
	return ctx, cancel
}
