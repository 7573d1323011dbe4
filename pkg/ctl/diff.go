package ctl

import (
	"context"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

func (t *Tool) diff(ctx context.Context, c *DiffCommand) int {
	first, err := t.read(c.From)
	if err != nil {
		return t.fail(ExitFailure, "%v", err)
	}
	from, to := first.text, ""
	if c.To != "" {
		second, err := t.read(c.To)
		if err != nil {
			return t.fail(ExitFailure, "%v", err)
		}
		to = second.text
	} else {
		newest, err := t.newest(ctx)
		if err != nil {
			return t.fail(ExitFailure, "%v", err)
		}
		from, to = newest.Text, first.text
	}
	t.printChanges(rules.Diff(from, to))
	return ExitOK
}

func (t *Tool) printChanges(changes []rules.Change) {
	for _, c := range changes {
		t.print("%s\n", c)
	}
	if len(changes) == 0 {
		t.print("no rule differs\n")
	}
}
