package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

func (t *Tool) publish(ctx context.Context, c *PublishCommand) int {
	f, err := t.read(c.File)
	if err != nil {
		return t.fail(ExitFailure, "%v", err)
	}
	if report := t.checkFile(f); !report.OK() {
		return t.fail(ExitUsage, "%s has errors; nothing was published", f.name)
	}
	request := rules.Request{ID: c.ID, By: c.By, Text: f.text, Base: f.base, Bootstrap: c.Begin}
	switch {
	case c.Base != nil:
		request.Base = oleanderline.Revision(*c.Base)
	case !f.hasBase:
		return t.fail(ExitUsage, "the base is not known: fetch the file with \"show --out\", or give --base (0 for the first file)")
	}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	publisher := rules.NewPublisher(t.common, t.log, rules.WithPeers(t.peerSnapshots))
	receipt, err := publisher.Publish(ctx, request)
	if err != nil {
		return t.reportError(err, request, c.ID != "")
	}
	t.printReceipt(receipt)
	if f.hasBase && f.name != "-" {
		if err := writeFileAtomic(f.name, rules.AddBase(f.text, receipt.Revision)); err != nil {
			t.fail(ExitOK, "warning: the first line of %s still names the old revision: %v", f.name, err)
		}
	}
	if c.Wait {
		return t.wait(ctx, receipt.Revision)
	}
	return ExitOK
}

func (t *Tool) printReceipt(receipt rules.Receipt) {
	switch {
	case receipt.Unchanged:
		t.print("nothing to publish: revision %d has the same text\n", receipt.Revision)
	case receipt.Found:
		t.print("the earlier attempt was accepted as revision %d\n", receipt.Revision)
	default:
		t.print("published as revision %d\n", receipt.Revision)
	}
}

// reportError prints why a file was not published, and returns the exit code. retried means that there was an earlier
// attempt with the same id: if the log service does not answer, the outcome of that attempt remains unknown.
func (t *Tool) reportError(err error, request rules.Request, retried bool) int {
	var conflict *rules.ConflictError
	switch {
	case errors.As(err, &conflict):
		return t.reportConflict(conflict)
	case errors.Is(err, rules.ErrOutcomeUnknown), retried && !errors.Is(err, rules.ErrInvalid):
		return t.fail(ExitUnknown, "the log service did not confirm the entry: it may be published or not; "+
			"run the same command again with --id %s to find out", request.ID)
	case errors.Is(err, rules.ErrInvalid):
		return t.fail(ExitUsage, "%v; nothing was published", err)
	case errors.Is(err, rules.ErrUnsettled):
		return t.fail(ExitFailure, "%v; nothing was published; give --operators, or see --begin in docs/OPERATIONS.md", err)
	default:
		return t.fail(ExitFailure, "the log service does not answer; nothing was published, the rules in force stay in force: %v", err)
	}
}

func (t *Tool) reportConflict(conflict *rules.ConflictError) int {
	if conflict.Revision < conflict.Base {
		return t.fail(ExitConflict, "the base is revision %d, but the newest revision is %d; nothing was published", conflict.Base, conflict.Revision)
	}
	t.fail(ExitConflict, "the file changes revision %d, but %s published revision %d at %s; nothing was published",
		conflict.Base, conflict.By, conflict.Revision, conflict.Published.UTC().Format(time.RFC3339))
	if !conflict.BaseKnown {
		return t.fail(ExitConflict, "what changed is not known, because revision %d is no longer in the stream", conflict.Base)
	}
	t.fail(ExitConflict, "changes from revision %d to %d:", conflict.Base, conflict.Revision)
	t.printChanges(conflict.Changes)
	return ExitConflict
}
