// Package common provides what the components of a daemon share: the logger, the clock, metrics, the actor system and small
// helpers.
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

// Common holds the logger, clock, metrics and actor system of one daemon. It is passed to constructors.
type Common struct {
	Log     *logrus.Entry
	Clock   oleanderline.Clock
	Metrics *metrics.Set

	actors func() *actor.ActorSystem
}

// Option configures a Common in New.
type Option func(*Common)

// WithClock replaces the system clock.
func WithClock(clock oleanderline.Clock) Option {
	return func(c *Common) { c.Clock = clock }
}

// WithLogger replaces the logger.
func WithLogger(logger *logrus.Logger) Option {
	return func(c *Common) { c.Log = logrus.NewEntry(logger) }
}

// New returns a Common for a daemon. Every log line has the daemon's name in the field "daemon".
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

// Actors returns the actor system. It is created on first use, because its registry takes 5 MB, which daemons without
// actors save.
func (c *Common) Actors() *actor.ActorSystem { return c.actors() }

// timestampFormat is RFC 3339 with milliseconds, so that the lines of different processes can be put in order.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one JSON object per line.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	return logger
}

// Event returns a log entry with the number of an event. docs/events.md lists the events.
func (c *Common) Event(event Event) *logrus.Entry {
	return c.Log.WithField("event", string(event))
}
