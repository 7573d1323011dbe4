// Package common holds what every component of a daemon shares: the logger, the clock, metrics and the actor system.
package common

import (
	"io"
	"log/slog"
	"os"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
)

// Common carries the logger, clock, metrics and actor system of one daemon. It is passed to constructors.
type Common struct {
	Log     *logrus.Entry
	Clock   oleanderline.Clock
	Metrics *metrics.Set

	actors func() *actor.ActorSystem
}

// Option changes a Common while it is built.
type Option func(*Common)

// WithClock replaces the system clock.
func WithClock(clock oleanderline.Clock) Option {
	return func(c *Common) { c.Clock = clock }
}

// WithLogger replaces the logger.
func WithLogger(logger *logrus.Logger) Option {
	return func(c *Common) { c.Log = logrus.NewEntry(logger) }
}

// New returns a Common for the daemon called name, which stands in each log line as "daemon".
func New(name string, options ...Option) *Common {
	c := &Common{
		Log:     logrus.NewEntry(NewLogger(os.Stderr, logrus.InfoLevel)),
		Clock:   NewSystemClock(),
		Metrics: metrics.NewSet(),
	}
	for _, option := range options {
		option(c)
	}
	c.Log = c.Log.WithField("daemon", name)
	c.actors = sync.OnceValue(func() *actor.ActorSystem {
		return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
			return slog.New(newSlogHandler(c.Log))
		}))
	})
	return c
}

// Actors returns the actor system. It is made on first use, because its registry takes 5 MB, which a daemon without
// actors does not need.
func (c *Common) Actors() *actor.ActorSystem { return c.actors() }

// NewLogger returns a logger that writes one JSON object a line.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger
}

// Event returns a log entry for the numbered event, as catalogued in docs/events.md.
func (c *Common) Event(event Event) *logrus.Entry {
	return c.Log.WithField("event", string(event))
}
