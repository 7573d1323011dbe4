package ctl

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/oleanderline/oleanderline/pkg/account"
)

// account shows where the time of the tasks of a cell went, from the logs of its nodes. It needs no connection.
func (t *Tool) account(c *AccountCommand) int {
	reader := account.NewReader()
	for _, name := range c.Logs {
		if err := t.addLog(reader, name); err != nil {
			return t.fail(ExitFailure, "%v", err)
		}
	}
	a := reader.Account(c.Period)
	if c.Job != "" {
		return t.accountOfJob(a, c)
	}
	if c.JSON {
		return t.printJSON(a)
	}
	t.warnIncomplete(a)
	t.printQueues(a)
	t.printPeriods(a)
	return ExitOK
}

func (t *Tool) addLog(reader *account.Reader, name string) error {
	if name == "-" {
		return reader.Add("standard input", t.in)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close() //nolint:errcheck // it was only read
	return reader.Add(name, file)
}

// warnIncomplete says on standard error why the sums may be too low.
func (t *Tool) warnIncomplete(a *account.Account) {
	if a.Skipped > 0 {
		_, _ = fmt.Fprintf(t.err, "oleanderctl: %d lines could not be decoded and are left out, the first at %s\n", a.Skipped, a.FirstSkipped)
	}
	if a.Dropped {
		_, _ = fmt.Fprintln(t.err, "oleanderctl: a node has dropped log lines (E6040); the sums are too low")
	}
	if a.Open > 0 {
		_, _ = fmt.Fprintf(t.err, "oleanderctl: %d runs have no end in the logs; their run time is not counted\n", a.Open)
	}
}

func (t *Tool) printQueues(a *account.Account) {
	for _, name := range slices.Sorted(maps.Keys(a.Queues)) {
		sum := a.Queues[name]
		t.print("queue %s: jobs %s\n", name, counts(sum.Jobs))
		t.print("  waited   %s\n", seconds(sum.Waited))
		t.print("  ran      %.1f s\n", sum.Ran)
		t.print("  repeated %s\n", seconds(sum.Repeated))
	}
}

func (t *Tool) printPeriods(a *account.Account) {
	if len(a.Periods) == 0 {
		return
	}
	out := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', tabwriter.AlignRight)
	printRow(out, "from", "waiting", "running", "stopped")
	for _, p := range a.Periods {
		printRow(out, p.Start.Format("15:04:05.0"), fmt.Sprintf("%.1f", p.Waiting), fmt.Sprintf("%.1f", p.Running), fmt.Sprint(p.Stops))
	}
	_ = out.Flush() // fails only if standard output is closed
}

// accountOfJob shows each run of one job, in the order of their starts.
func (t *Tool) accountOfJob(a *account.Account, c *AccountCommand) int {
	job := a.Jobs[c.Job]
	if job == nil {
		return t.fail(ExitFailure, "no line of the logs names job %s", c.Job)
	}
	if c.JSON {
		return t.printJSON(job)
	}
	t.warnIncomplete(a)
	t.print("job %s of queue %s: %s", job.ID, job.Queue, job.State)
	if !job.Stored.IsZero() && !job.Ended.IsZero() {
		t.print(" after %.3f s", job.Ended.Sub(job.Stored).Seconds())
	}
	t.print("\n")
	out := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', 0)
	printRow(out, "task", "run", "worker", "waited", "for", "started", "ran", "end")
	for _, run := range job.Runs {
		ran := "?"
		if run.End != "" {
			ran = fmt.Sprintf("%.3f s", run.Ended.Sub(run.Started).Seconds())
		}
		printRow(out, run.Task, fmt.Sprint(run.Number), run.Worker, fmt.Sprintf("%.3f s", run.Waited.Seconds()), run.Obstacle,
			run.Started.Format("15:04:05.000"), ran, strings.TrimSpace(run.End+" "+run.Stop))
	}
	_ = out.Flush() // fails only if standard output is closed
	return ExitOK
}

// printRow writes the cells of one row of a table.
func printRow(out io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(out, strings.Join(cells, "\t")+"\t")
}

// counts formats numbers by name, the largest first.
func counts(values map[string]int) string {
	parts := make([]string, 0, len(values))
	for _, name := range byValue(values) {
		parts = append(parts, fmt.Sprintf("%s %d", name, values[name]))
	}
	return strings.Join(parts, ", ")
}

// seconds formats times by name, the longest first, with their sum.
func seconds(values map[string]float64) string {
	sum := 0.0
	parts := make([]string, 0, len(values))
	for _, name := range byValue(values) {
		sum += values[name]
		parts = append(parts, fmt.Sprintf("%s %.1f", name, values[name]))
	}
	if len(parts) == 0 {
		return "0.0 s"
	}
	return fmt.Sprintf("%.1f s: %s", sum, strings.Join(parts, ", "))
}

// byValue returns the names of values, the largest value first.
func byValue[V int | float64](values map[string]V) []string {
	return slices.SortedFunc(maps.Keys(values), func(a, b string) int {
		switch {
		case values[a] > values[b]:
			return -1
		case values[a] < values[b]:
			return 1
		}
		return strings.Compare(a, b)
	})
}
