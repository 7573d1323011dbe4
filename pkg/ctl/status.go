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
		row(s.ID, s.Daemon, s.Domain, up(s, now), s.Rules.Revision, ago(s.Rules.Age), health(s.LogService), health(s.VMList),
			peers(s), work(s))
		notes = append(notes, remarks(s)...)
	}
	notes = append(notes, unasked(answers)...)
	t.shards(answers, row)
	_ = out.Flush()
	for _, note := range slices.Compact(notes) {
		t.print("! %s\n", note)
	}
	return code
}

func up(s operator.Status, now time.Time) string {
	if s.Stopping {
		return "stopping"
	}
	return now.Sub(s.Started).Round(time.Second).String()
}

func ago(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(100*time.Millisecond).String() + " ago"
}

func health(s operator.Service) string {
	if s.Down {
		return "DOWN, " + ago(s.Age)
	}
	return "ok, " + ago(s.Age)
}

func peers(s operator.Status) string {
	alive := 0
	for _, m := range s.Members {
		if m.Alive {
			alive++
		}
	}
	return fmt.Sprintf("%d/%d", alive, len(s.Members))
}

func work(s operator.Status) string {
	if s.Daemon == "entry" {
		r := s.Requests
		return fmt.Sprintf("%d in flight, %d queued, %d minions (%d ejected, %d leaving)",
			r.InFlight, r.Queued, r.Minions, r.Ejected, r.Leaving)
	}
	w := s.Workers
	return fmt.Sprintf("%d shards, %d workers (%d leaving, %d unreachable, %d quarantined)",
		len(s.Shards), w.Live, w.Leaving, w.Unreachable, w.Quarantined)
}

// remarks are what an operator should look at.
func remarks(s operator.Status) []string {
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

// unasked names the own VMs that others see and that no address of --operators belongs to.
func unasked(answers []operator.Answer[operator.Status]) []string {
	asked := map[oleanderline.VMID]bool{}
	seen := map[oleanderline.VMID]bool{}
	for _, a := range answers {
		asked[a.Value.ID] = a.Err == nil
		for _, m := range a.Value.Members {
			seen[m.ID] = seen[m.ID] || m.Alive
		}
	}
	var notes []string
	for id, alive := range seen {
		if alive && !asked[id] {
			notes = append(notes, fmt.Sprintf("own VM %s answers its peers, but no daemon of it has answered here", id))
		}
	}
	slices.Sort(notes)
	return notes
}

func (t *Tool) shards(answers []operator.Answer[operator.Status], row func(...any)) {
	row()
	row("SHARD", "OWNER", "TERM", "PLACING", "WAITING", "RUNNING", "STREAM READ")
	for _, a := range answers {
		for _, s := range a.Value.Shards {
			placing := "no"
			if s.Ready {
				placing = "yes"
			}
			row(s.ID, a.Value.ID, s.Term, placing, s.Waiting, s.Running, ago(s.Age))
		}
	}
}

func (t *Tool) why(ctx context.Context, c *WhyCommand) int {
	var silent []string
	for _, a := range t.operators.Why(ctx, c.Task) {
		switch {
		case a.Err != nil:
			silent = append(silent, fmt.Sprintf("%s: %v", a.Address, a.Err))
		case a.Value.Found:
			t.explainTask(a.Value)
			return ExitOK
		}
	}
	if len(silent) > 0 {
		return t.fail(ExitFailure, "no scheduler that answered knows task %s; not asked: %s", c.Task, strings.Join(silent, "; "))
	}
	return t.fail(ExitFailure, "no scheduler knows task %s", c.Task)
}

func (t *Tool) explainTask(w operator.Why) {
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

// printJSON writes a value for programs.
func (t *Tool) printJSON(value any) int {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return t.fail(ExitFailure, "write JSON: %v", err)
	}
	return ExitOK
}
