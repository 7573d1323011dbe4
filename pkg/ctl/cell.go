package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/oleanderline/oleanderline/pkg/scrape"
)

// served is how a queue was served, over all nodes since they started: each of them may have led for a time.
type served struct {
	inTime, late, missed float64
	served, asked        float64 // seconds of lasting tasks
}

// cell shows the nodes of a cell, and how fast its queues use their error budgets.
func (t *Tool) cell(ctx context.Context, c *CellCommand) int {
	code := ExitOK
	queues := map[string]*served{}
	out := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "node\tleads\tread\tstored\tnot stored\tunknown\tstarts\tlost\t")
	for _, address := range c.Nodes {
		page, err := scrape.Fetch(ctx, address)
		if err != nil {
			code = t.fail(ExitFailure, "not counted: %v", err)
			continue
		}
		_, _ = fmt.Fprintf(out, "%s\t%t\t%.1f s ago\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", address, page["oleander_cell_leads"] == 1,
			page["oleander_cell_read_age_seconds"], page["oleander_cell_stored_total"], page["oleander_cell_not_stored_total"],
			page["oleander_cell_unknown_jobs_total"], page["oleander_cell_starts_total"], page["oleander_cell_runs_lost_total"])
		addServed(queues, page)
	}
	_ = out.Flush() // standard output is gone if this fails
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		t.printServed(name, queues[name], c.Target)
	}
	return code
}

func addServed(queues map[string]*served, page scrape.Page) {
	find := func(name string) *served {
		if queues[name] == nil {
			queues[name] = &served{}
		}
		return queues[name]
	}
	for name, results := range page.Results("oleander_cell_jobs_total") {
		q := find(name)
		q.inTime += results["intime"]
		q.late += results["late"]
		q.missed += results["missed"]
	}
	for name, results := range page.Results("oleander_cell_lasting_seconds_total") {
		q := find(name)
		q.served += results["served"]
		q.asked += results["asked"]
	}
}

// printServed prints the share of good outcomes and the burn rate: 1 uses the error budget up exactly over its time.
func (t *Tool) printServed(name string, q *served, target float64) {
	if all := q.inTime + q.late + q.missed; all > 0 {
		good := q.inTime / all
		t.print("%s: %.0f jobs, %.1f%% in time, %.0f late, %.0f missed, burn rate %.2f\n", name, all, 100*good, q.late, q.missed, (1-good)/(1-target))
	}
	if q.asked > 0 {
		good := q.served / q.asked
		t.print("%s: %.0f s of lasting tasks, %.1f%% at work within target, burn rate %.2f\n", name, q.asked, 100*good, (1-good)/(1-target))
	}
}
