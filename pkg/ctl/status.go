package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/operator"
)

func (t *Tool) status(ctx context.Context) int {
	answers := t.operators.Status(ctx)
	out := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(out, "\t")
			}
			_, _ = fmt.Fprint(out, cell)
		}
		_, _ = fmt.Fprintln(out)
	}
	now := t.common.Clock.Now()
	row("OWN VM", "DAEMON", "DOMAIN", "UP", "RULES", "RULES READ", "LOG SERVICE", "VM LIST", "PEERS", "WORK")
	var notes []string
	code := ExitOK
	for _, a := range answers {
		if a.Err != nil {
			code = ExitFailure
			row(a.Address, "NO ANSWER")
			notes = append(notes, fmt.Sprintf("%s: %v", a.Address, a.Err))
			continue
		}
		s := a.Value
		row(s.ID, s.Daemon, s.Domain, formatUptime(s, now), s.Rules.Revision, formatAge(s.Rules.Age),
			formatService(s.LogService), formatService(s.VMList), formatPeers(s), formatWork(s))
		notes = append(notes, warnings(s)...)
	}
	notes = append(notes, missingVMs(answers)...)
	t.printShards(answers, row)
	_ = out.Flush()
	for _, note := range slices.Compact(notes) {
		t.print("! %s\n", note)
	}
	return code
}

func formatUptime(s operator.Status, now time.Time) string {
	if s.Stopping {
		return "stopping"
	}
	return now.Sub(s.Started).Round(time.Second).String()
}

func formatAge(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(100*time.Millisecond).String() + " ago"
}

func formatService(s operator.ServiceState) string {
	if s.Down {
		return "DOWN, " + formatAge(s.Age)
	}
	return "ok, " + formatAge(s.Age)
}

func formatPeers(s operator.Status) string {
	alive := 0
	for _, m := range s.Members {
		if m.Alive {
			alive++
		}
	}
	return fmt.Sprintf("%d/%d", alive, len(s.Members))
}

func formatWork(s operator.Status) string {
	if s.Daemon == "entry" {
		r := s.Requests
		return fmt.Sprintf("%d in flight, %d queued, %d minions (%d ejected, %d leaving)",
			r.InFlight, r.Queued, r.Minions, r.Ejected, r.Leaving)
	}
	w := s.Workers
	return fmt.Sprintf("%d shards, %d workers (%d leaving, %d unreachable, %d quarantined)",
		len(s.Shards), w.Live, w.Leaving, w.Unreachable, w.Quarantined)
}

// warnings returns messages about conditions of a daemon that operators should look into.
func warnings(s operator.Status) []string {
	var found []string
	name := fmt.Sprintf("%s %s", s.Daemon, s.ID)
	if n := len(s.Rules.Ignored); n > 0 {
		found = append(found, fmt.Sprintf("%s ignores %d lines of the rules, the first is line %d: %s",
			name, n, s.Rules.Ignored[0].Line, s.Rules.Ignored[0].Text))
	}
	if !s.Rules.Settled {
		found = append(found, name+" does not know the newest revision: entries of the rules stream were lost to retention")
	}
	if s.Rules.FromPeer {
		found = append(found, name+" has its rules from a peer, not from the log service")
	}
	return found
}

// missingVMs returns a message for each own VM that is alive according to a daemon, but from which no daemon has answered.
func missingVMs(answers []operator.Answer[operator.Status]) []string {
	answered := map[oleanderline.VMID]bool{}
	seen := map[oleanderline.VMID]bool{}
	for _, a := range answers {
		answered[a.Value.ID] = a.Err == nil
		for _, m := range a.Value.Members {
			seen[m.ID] = seen[m.ID] || m.Alive
		}
	}
	var notes []string
	for id, alive := range seen {
		if alive && !answered[id] {
			notes = append(notes, fmt.Sprintf("own VM %s answers its peers, but no daemon of it has answered here", id))
		}
	}
	slices.Sort(notes)
	return notes
}

func (t *Tool) printShards(answers []operator.Answer[operator.Status], row func(...any)) {
	row()
	row("SHARD", "OWNER", "TERM", "PLACING", "WAITING", "RUNNING", "STREAM READ")
	for _, a := range answers {
		for _, s := range a.Value.Shards {
			placing := "no"
			if s.Ready {
				placing = "yes"
			}
			row(s.ID, a.Value.ID, s.Term, placing, s.Waiting, s.Running, formatAge(s.Age))
		}
	}
}

func (t *Tool) why(ctx context.Context, c *WhyCommand) int {
	var failed []string
	for _, a := range t.operators.Why(ctx, c.Task) {
		switch {
		case a.Err != nil:
			failed = append(failed, fmt.Sprintf("%s: %v", a.Address, a.Err))
		case a.Value.Found:
			t.printTask(a.Value)
			return ExitOK
		}
	}
	if len(failed) > 0 {
		return t.fail(ExitFailure, "no scheduler that answered knows task %s; no answer from %s", c.Task, strings.Join(failed, "; "))
	}
	return t.fail(ExitFailure, "no scheduler knows task %s", c.Task)
}

func (t *Tool) printTask(w operator.TaskExplanation) {
	t.print("task %s: %s", w.Task, w.State)
	if w.Worker != "" {
		t.print(", attempt %d on worker %s", w.Attempt, w.Worker)
	}
	if !w.Since.IsZero() {
		t.print(", since %s", w.Since.UTC().Format(time.RFC3339))
	}
	t.print("\n")
	for _, reason := range w.Reasons {
		t.print("  %s\n", reason)
	}
}

// printJSON prints a value as indented JSON.
func (t *Tool) printJSON(value any) int {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return t.fail(ExitFailure, "write JSON: %v", err)
	}
	return ExitOK
}
