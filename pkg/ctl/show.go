package ctl

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

var errNoRules = errors.New("neither the log service nor an own VM has answered with the rules")

func (t *Tool) show(ctx context.Context, c *ShowCommand) int {
	s, err := t.newest(ctx)
	if err != nil {
		return t.fail(ExitFailure, "%v", err)
	}
	text := rules.AddBase(s.Text, s.Revision)
	if c.Out == "" {
		t.print("%s", text)
		return ExitOK
	}
	if err := writeFileAtomic(c.Out, text); err != nil {
		return t.fail(ExitFailure, "write rules: %v", err)
	}
	if s.Revision == 0 {
		t.print("no rules are published yet; revision 0 is written to %s\n", c.Out)
		return ExitOK
	}
	t.print("revision %d, published by %s at %s, written to %s\n", s.Revision, s.By, s.Published.Format(time.RFC3339), c.Out)
	return ExitOK
}

// newest returns the newest revision of the rules, from the log service or, if that does not answer, from the daemons on
// the own VMs.
func (t *Tool) newest(ctx context.Context) (rules.Snapshot, error) {
	follower := rules.NewFollower(t.common, t.log, rules.WithPeers(t.peerSnapshots))
	follower.Step(ctx)
	s, status := follower.Snapshot(), follower.Status()
	switch {
	case status.LogDown && !status.FromPeer:
		return s, errNoRules
	case status.LogDown:
		t.fail(ExitOK, "warning: the log service does not answer; revision %d comes from an own VM", s.Revision)
	case !status.Settled && s.Revision == 0:
		return s, rules.ErrUnsettled
	case !status.Settled:
		t.fail(ExitOK, "warning: there may be a newer revision than %d: %v", s.Revision, rules.ErrUnsettled)
	}
	return s, nil
}
