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
	// minAnswered is the share of requests that must be answered, of those that the killed VM has not cost their answer.
	// The load is far below capacity, so that refusals can only be exceptions.
	minAnswered = 0.95
)

// Check is one line of the demo's result.
type Check struct {
	Name string
	Got  string
	Want string // empty: for information only
	OK   bool
}

// Checks evaluates the facts.
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
			Want: fmt.Sprintf("%.0f%% answered, but for those lost with the killed VM", minAnswered*100),
			OK:   answered > 0 && float64(answered) >= minAnswered*float64(len(f.Requests)-excused(f.Requests)),
		},
		zero("unknown without a cause", unexplained(f.Requests)),
		{Name: "unknown with a cause, by reason", Got: reasons(f.Requests), OK: true},
		{Name: "latency p50 / p99", Got: latencies(f.Requests), OK: true},
		{
			Name: "non-idempotent requests run", Got: fmt.Sprint(len(nonIdempotentRuns(f))), Want: "some",
			OK: len(nonIdempotentRuns(f)) > 0,
		},
		zero("non-idempotent requests run twice", doubled(f)),
		zero("refused requests that ran anyway", refusedButRan(f)),
		zero("answered requests that never ran", answeredNotRun(f)),
		zero("wrong or truncated answers", wrong(f.Requests)),
		{
			Name: "large answers verified", Got: fmt.Sprint(largeAnswered(f.Requests)), Want: "some",
			OK: largeAnswered(f.Requests) > 0,
		},
		zeroCount("minions above their slots", f.OverSlots),
		zeroCount("connections above a minion's limit", f.OverConns),
	}
}

func taskChecks(f Facts) []Check {
	submitted, done := 0, 0
	var lost, failed, unfinished, differ []string
	for _, job := range f.Jobs {
		submitted += job.Tasks
		done += job.Done
		open := job.Waiting + job.Assigned
		note := func(cases *[]string, n int) {
			if n != 0 {
				*cases = append(*cases, fmt.Sprintf("%d of %s", n, job.ID))
			}
		}
		note(&lost, job.Tasks-job.Done-job.Failed-open)
		note(&failed, job.Failed)
		note(&unfinished, open)
		note(&differ, job.Completed-job.Done)
	}
	return []Check{
		{
			Name: "tasks submitted / finished", Got: fmt.Sprintf("%d / %d", submitted, done), Want: "all",
			OK: submitted > 0 && done == submitted,
		},
		zero("jobs not accepted or without a state", f.JobErrors),
		zero("tasks lost", lost),
		zero("tasks failed", failed),
		zero("tasks not finished in time", unfinished),
		zero("tasks counted otherwise than they ran", differ),
		zero("tasks run twice or in two places", f.TaskFaults),
		zeroCount("VMs over capacity", f.OverCapacity),
		{
			Name: fmt.Sprintf("attempts on %s before the drain", f.DrainedVM), Got: fmt.Sprint(f.DrainedBefore),
			Want: "some", OK: f.DrainedBefore > 0,
		},
		zeroCount(fmt.Sprintf("attempts on drained VM %s at the end", f.DrainedVM), f.DrainedTasks),
		zeroCount(fmt.Sprintf("attempts begun on %s after the drain", f.DrainedVM), f.DrainedStarts),
	}
}

func systemChecks(f Facts) []Check {
	var names []string
	var old []string
	for name, revision := range f.Revisions {
		names = append(names, fmt.Sprintf("%s: %d", name, revision))
		if revision != f.Published {
			old = append(old, name)
		}
	}
	slices.Sort(names)
	return []Check{
		{
			Name: "rules revision by daemon", Got: strings.Join(names, ", "), Want: fmt.Sprintf("%d on all", f.Published),
			OK: f.Published > 0 && len(f.Revisions) > 0 && len(old) == 0,
		},
		zero("steps that failed", f.StepErrors),
		zero("planned stops that failed", f.StopErrors),
		{
			Name: "elapsed", Got: f.Elapsed.Round(100 * time.Millisecond).String(), Want: "at most " + maxElapsed.String(),
			OK: f.Elapsed <= maxElapsed,
		},
	}
}

// zero passes if there are no cases, and shows the first few otherwise.
func zero(name string, cases []string) Check {
	const shown = 3
	got := fmt.Sprint(len(cases))
	if len(cases) > 0 {
		got += ": " + strings.Join(cases[:min(shown, len(cases))], "; ")
	}
	return Check{Name: name, Got: got, Want: "0", OK: len(cases) == 0}
}

func zeroCount(name string, n int) Check {
	return Check{Name: name, Got: fmt.Sprint(n), Want: "0", OK: n == 0}
}

func countResults(requests []Request) map[oleanderline.Result]int {
	count := map[oleanderline.Result]int{}
	for _, r := range requests {
		count[r.Result]++
	}
	return count
}

// excused counts the unknown results that the killed VM explains. The design has keyed requests whose home was lost
// answered as unknown for as long as keys are kept, which is longer than the demo runs.
func excused(requests []Request) int {
	n := 0
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && r.Excused {
			n++
		}
	}
	return n
}

func unexplained(requests []Request) []string {
	var found []string
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && !r.Excused {
			found = append(found, r.ID+" ("+r.Reason+")")
		}
	}
	return found
}

// reasons counts the unknown results with a cause by their reason.
func reasons(requests []Request) string {
	count := map[string]int{}
	for _, r := range requests {
		if r.Result == oleanderline.ResultUnknown && r.Excused {
			count[cmp.Or(r.Reason, "no reason given")]++
		}
	}
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		list = append(list, fmt.Sprintf("%s: %d", reason, count[reason]))
	}
	return cmp.Or(strings.Join(list, ", "), "none")
}

// nonIdempotentRuns returns the runs at the minions of requests that must not run twice.
func nonIdempotentRuns(f Facts) map[string]int {
	runs := map[string]int{}
	for _, r := range f.Requests {
		if n := f.RequestRuns[r.ID]; !r.Idempotent && n > 0 {
			runs[r.ID] = n
		}
	}
	return runs
}

func doubled(f Facts) []string {
	var found []string
	for id, n := range nonIdempotentRuns(f) {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return found
}

// refusedButRan finds ids that ran although every request with the id was refused as not run.
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

func wrong(requests []Request) []string {
	var found []string
	for _, r := range requests {
		if r.Wrong != "" {
			found = append(found, r.ID+" ("+r.Wrong+")")
		}
	}
	return found
}

func largeAnswered(requests []Request) int {
	n := 0
	for _, r := range requests {
		if r.Large && r.Result == oleanderline.ResultAnswered {
			n++
		}
	}
	return n
}

func latencies(requests []Request) string {
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
