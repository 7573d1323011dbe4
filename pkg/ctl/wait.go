package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/operator"
)

// waitPoll is the interval between two status requests.
const waitPoll = 200 * time.Millisecond

// wait polls the daemons until each has the revision in force or the context ends.
func (t *Tool) wait(ctx context.Context, revision oleanderline.Revision) int {
	for {
		answers := t.operators.Status(ctx)
		behind := lagging(answers, revision)
		if len(behind) == 0 {
			t.print("revision %d is in force at all %d daemons\n", revision, len(answers))
			return ExitOK
		}
		timer := t.common.Clock.NewTimer(waitPoll)
		select {
		case <-ctx.Done():
			return t.fail(ExitFailure, "revision %d is published, but not known to be in force everywhere: %s",
				revision, strings.Join(behind, "; "))
		case <-timer.C():
		}
		timer.Stop()
	}
}

// lagging returns a message for each daemon that did not answer or has an older revision, and for each own VM that has not
// answered and has an older revision according to its peers.
func lagging(answers []operator.Answer[operator.Status], revision oleanderline.Revision) []string {
	var behind []string
	answered := map[oleanderline.VMID]bool{}
	reported := map[oleanderline.VMID]oleanderline.Revision{}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			behind = append(behind, fmt.Sprintf("%s: %v", a.Address, a.Err))
			continue
		case a.Value.Rules.Revision < revision:
			behind = append(behind, fmt.Sprintf("%s %s: revision %d", a.Value.Daemon, a.Value.ID, a.Value.Rules.Revision))
		}
		answered[a.Value.ID] = true
		for _, m := range a.Value.Members {
			if m.Alive {
				reported[m.ID] = max(reported[m.ID], m.Revision)
			}
		}
	}
	for id, known := range reported {
		if !answered[id] && known < revision {
			behind = append(behind, fmt.Sprintf("%s, which is not in --operators: revision %d", id, known))
		}
	}
	slices.Sort(behind)
	return behind
}
