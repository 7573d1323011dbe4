package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/logservice"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Tool runs one command of oleanderctl.
type Tool struct {
	common    *common.Common
	settings  Settings
	log       oleanderline.LogService
	operators *operator.Client
	in        io.Reader
	out       io.Writer
	err       io.Writer
}

// Option configures a Tool.
type Option func(*Tool)

// WithStreams replaces the standard streams.
func WithStreams(in io.Reader, out, err io.Writer) Option {
	return func(t *Tool) { t.in, t.out, t.err = in, out, err }
}

// WithLog replaces the client of the log service.
func WithLog(log oleanderline.LogService) Option {
	return func(t *Tool) { t.log = log }
}

// WithClock replaces the system clock.
func WithClock(clock oleanderline.Clock) Option {
	return func(t *Tool) { t.common.Clock = clock }
}

// New returns a tool. The settings must have passed Validate.
func New(settings Settings, options ...Option) *Tool {
	t := &Tool{settings: settings}
	// The follower's log lines are meant for daemons. They are discarded, because the commands print messages of their own.
	t.common = common.New("oleanderctl", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	if settings.LogService != "" {
		t.log = logservice.NewClient(settings.LogService)
	}
	t.operators = operator.NewClient(settings.Operators, settings.Key)
	for _, option := range options {
		option(t)
	}
	return t
}

// Run runs the command and returns the exit code.
func (t *Tool) Run(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Timeout)
	defer cancel()
	defer t.operators.Close()
	s := &t.settings
	switch {
	case s.Check != nil:
		return t.check(s.Check)
	case s.Show != nil:
		return t.show(ctx, s.Show)
	case s.Diff != nil:
		return t.diff(ctx, s.Diff)
	case s.Publish != nil:
		return t.publish(ctx, s.Publish)
	case s.Status != nil:
		return t.status(ctx)
	case s.Why != nil:
		return t.why(ctx, s.Why)
	case s.Cell != nil:
		return t.cell(ctx, s.Cell)
	case s.Account != nil:
		return t.account(s.Account)
	case s.Burn != nil:
		return t.burn(ctx, s.Burn)
	default:
		return t.fail(ExitUsage, "no command; see --help")
	}
}

func (t *Tool) fail(code int, format string, args ...any) int {
	_, _ = fmt.Fprintf(t.err, "oleanderctl: "+format+"\n", args...)
	return code
}

func (t *Tool) print(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

// peerSnapshots returns the rules of the daemons that answer. A follower adopts them while the log service alone does not
// provide the newest revision.
func (t *Tool) peerSnapshots(ctx context.Context) []rules.Snapshot {
	var snapshots []rules.Snapshot
	for _, a := range t.operators.Rules(ctx) {
		if a.Err == nil {
			snapshots = append(snapshots, a.Value)
		}
	}
	return snapshots
}
