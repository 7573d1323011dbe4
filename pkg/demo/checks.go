package demo

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Bounds of the checks.
const (
	maxElapsed = 45 * time.Second
	// minAnswered is the share of requests that must be answered, not counting those whose unknown result is explained by
	// the killed VM. The load is far below capacity, so refusals must be rare.
	minAnswered = 0.95
)

// Check is one row of the result table.
type Check struct {
	Name string
	Got  string
	Want string // empty if the row is informational and cannot fail
	OK   bool
}

// Checks returns the rows of the result table for the recorded facts.
func Checks(f Facts) []Check {
	checks := requestChecks(f)
	checks = append(checks, taskChecks(f)...)
	return append(checks, systemChecks(f)...)
}

func requestChecks(f Facts) []Check {
	count := countResults(f.Requests)
	answered := count[oleanderline.ResultAnswered]
	return []Check{
		{
			Name: "requests answered / refused as not run / unknown",
			Got: fmt.Sprintf("%d / %d / %d", answered, count[oleanderline.ResultNotRun],
				count[oleanderline.ResultUnknown]),
			Want: fmt.Sprintf("%.0f%% answered, except those lost with the killed VM", minAnswered*100),
			OK:   answered > 0 && float64(answered) >= minAnswered*float64(len(f.Requests)-countExplained(f.Requests)),
		},
		expectNone("unknown results not caused by the kill", unexplained(f.Requests)),
		{Name: "unknown results caused by the kill, by reason", Got: formatReasons(f.Requests), OK: true},
		{Name: "latency p50 / p99", Got: formatLatencies(f.Requests), OK: true},
		{
			Name: "non-idempotent requests run", Got: fmt.Sprint(len(nonIdempotentRuns(f))), Want: "some",
			OK: len(nonIdempotentRuns(f)) > 0,
		},
		expectNone("non-idempotent requests run twice", ranTwice(f)),
		expectNone("refused requests that ran anyway", refusedButRan(f)),
		expectNone("answered requests that never ran", answeredNotRun(f)),
		expectNone("wrong or truncated answers", mismatches(f.Requests)),
		{
			Name: "large answers verified", Got: fmt.Sprint(countLargeAnswered(f.Requests)), Want: "some",
			OK: countLargeAnswered(f.Requests) > 0,
		},
		expectZero("minions over their slot limit", f.OverSlots),
		expectZero("connections over a minion's limit", f.OverConnections),
	}
}

func taskChecks(f Facts) []Check {
	submitted, done := 0, 0
	var lost, failed, unfinished, miscounted []string
	for _, job := range f.Jobs {
		submitted += job.Tasks
		done += job.Done
		unfinishedTasks := job.Waiting + job.Assigned
		addIfAny := func(cases *[]string, n int) {
			if n != 0 {
				*cases = append(*cases, fmt.Sprintf("%d of %s", n, job.ID))
			}
		}
		addIfAny(&lost, job.Tasks-job.Done-job.Failed-unfinishedTasks)
		addIfAny(&failed, job.Failed)
		addIfAny(&unfinished, unfinishedTasks)
		addIfAny(&miscounted, job.Completed-job.Done)
	}
	return []Check{
		{
			Name: "tasks submitted / finished", Got: fmt.Sprintf("%d / %d", submitted, done), Want: "all",
			OK: submitted > 0 && done == submitted,
		},
		expectNone("jobs not accepted or without a status", f.JobErrors),
		expectNone("tasks lost", lost),
		expectNone("tasks failed", failed),
		expectNone("tasks not finished in time", unfinished),
		expectNone("tasks whose reported count differs from completed runs", miscounted),
		expectNone("tasks run twice or on two workers at once", f.TaskFaults),
		expectZero("VMs over capacity", f.OverCapacity),
		{
			Name: fmt.Sprintf("attempts on %s before the drain", f.DrainedVM), Got: fmt.Sprint(f.DrainedBefore),
			Want: "some", OK: f.DrainedBefore > 0,
		},
		expectZero(fmt.Sprintf("attempts on drained VM %s at the end", f.DrainedVM), f.DrainedTasks),
		expectZero(fmt.Sprintf("attempts started on %s after the drain", f.DrainedVM), f.DrainedStarts),
	}
}

func systemChecks(f Facts) []Check {
	var revisions []string
	var outdated []string
	for name, revision := range f.Revisions {
		revisions = append(revisions, fmt.Sprintf("%s: %d", name, revision))
		if revision != f.Published {
			outdated = append(outdated, name)
		}
	}
	slices.Sort(revisions)
	return []Check{
		{
			Name: "rules revision by daemon", Got: strings.Join(revisions, ", "), Want: fmt.Sprintf("%d on all", f.Published),
			OK: f.Published > 0 && len(f.Revisions) > 0 && len(outdated) == 0,
		},
		expectNone("steps that failed", f.StepErrors),
		expectNone("planned stops that failed", f.StopErrors),
		{
			Name: "elapsed", Got: f.Elapsed.Round(100 * time.Millisecond).String(), Want: "at most " + maxElapsed.String(),
			OK: f.Elapsed <= maxElapsed,
		},
	}
}

// expectNone returns a check that passes if there are no cases and otherwise lists the first few.
func expectNone(name string, cases []string) Check {
	const shown = 3
	got := fmt.Sprint(len(cases))
	if len(cases) > 0 {
		got += ": " + strings.Join(cases[:min(shown, len(cases))], "; ")
	}
	return Check{Name: name, Got: got, Want: "0", OK: len(cases) == 0}
}

func expectZero(name string, n int) Check {
	return Check{Name: name, Got: fmt.Sprint(n), Want: "0", OK: n == 0}
}

func countResults(requests []Request) map[oleanderline.Result]int {
	count := map[oleanderline.Result]int{}
	for _, r := range requests {
		count[r.Result]++
	}
	return count
}

// countExplained returns the number of unknown results that the killed VM explains. By design, a request with an
// idempotency key whose home entry was lost is answered as unknown for the retention time of keys, which is longer than
// the demo runs.
func countExplained(requests []Request) int {
	n := 0
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && r.Explained {
			n++
		}
	}
	return n
}

func unexplained(requests []Request) []string {
	var found []string
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && !r.Explained {
			found = append(found, r.ID+" ("+r.Reason+")")
		}
	}
	return found
}

// formatReasons returns the number of explained unknown results for each reason.
func formatReasons(requests []Request) string {
	count := map[string]int{}
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && r.Explained {
			count[cmp.Or(r.Reason, "no reason given")]++
		}
	}
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		list = append(list, fmt.Sprintf("%s: %d", reason, count[reason]))
	}
	return cmp.Or(strings.Join(list, ", "), "none")
}

// nonIdempotentRuns returns, by request id, how often minions ran each request that must not run twice.
func nonIdempotentRuns(f Facts) map[string]int {
	runs := map[string]int{}
	for _, r := range f.Requests {
		if n := f.RequestRuns[r.ID]; !r.Idempotent && n > 0 {
			runs[r.ID] = n
		}
	}
	return runs
}

func ranTwice(f Facts) []string {
	var found []string
	for id, n := range nonIdempotentRuns(f) {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return found
}

// refusedButRan returns the ids that ran although every request with the id was refused as not run.
func refusedButRan(f Facts) []string {
	refused := map[string]bool{}
	for _, r := range f.Requests {
		all, seen := refused[r.ID]
		refused[r.ID] = r.Result == oleanderline.ResultNotRun && (all || !seen)
	}
	var found []string
	for id, all := range refused {
		if all && f.RequestRuns[id] > 0 {
			found = append(found, id)
		}
	}
	return found
}

func answeredNotRun(f Facts) []string {
	var found []string
	for _, r := range f.Requests {
		if r.Result == oleanderline.ResultAnswered && f.RequestRuns[r.ID] == 0 {
			found = append(found, r.ID)
		}
	}
	return found
}

func mismatches(requests []Request) []string {
	var found []string
	for _, r := range requests {
		if r.Mismatch != "" {
			found = append(found, r.ID+" ("+r.Mismatch+")")
		}
	}
	return found
}

func countLargeAnswered(requests []Request) int {
	n := 0
	for _, r := range requests {
		if r.Large && r.Result == oleanderline.ResultAnswered {
			n++
		}
	}
	return n
}

func formatLatencies(requests []Request) string {
	var all []time.Duration
	for _, r := range requests {
		if r.Result == oleanderline.ResultAnswered {
			all = append(all, r.Latency)
		}
	}
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(percent int) time.Duration {
		return all[min(len(all)-1, len(all)*percent/100)].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s / %s", at(50), at(99))
}
