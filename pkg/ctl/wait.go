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

// waitPoll is the pause between questions to the own VMs.
const waitPoll = 200 * time.Millisecond

// wait asks the own VMs until each has the revision in force, or the time of the command is over.
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

// lagging names every daemon without the revision: those that were asked, and the own VMs that only their peers know.
func lagging(answers []operator.Answer[operator.Status], revision oleanderline.Revision) []string {
	var behind []string
	asked := map[oleanderline.VMID]bool{}
	heard := map[oleanderline.VMID]oleanderline.Revision{}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			behind = append(behind, fmt.Sprintf("%s: %v", a.Address, a.Err))
			continue
		case a.Value.Rules.Revision < revision:
			behind = append(behind, fmt.Sprintf("%s %s: revision %d", a.Value.Daemon, a.Value.ID, a.Value.Rules.Revision))
		}
		asked[a.Value.ID] = true
		for _, m := range a.Value.Members {
			if m.Alive {
				heard[m.ID] = max(heard[m.ID], m.Revision)
			}
		}
	}
	for id, seen := range heard {
		if !asked[id] && seen < revision {
			behind = append(behind, fmt.Sprintf("%s, which is not in --operators: revision %d", id, seen))
		}
	}
	slices.Sort(behind)
	return behind
}
