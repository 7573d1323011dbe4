package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/oleanderline/oleanderline/pkg/scrape"
)

// queueStats sums the outcomes of a queue over all nodes, since each node's start. Each of them may have been the leader
// for some of the time, so all are needed.
type queueStats struct {
	inTime, late, missed            float64
	servedSeconds, requestedSeconds float64 // of long-running tasks
}

// cell shows the nodes of a cell and the burn rates of its queues' error budgets.
func (t *Tool) cell(ctx context.Context, c *CellCommand) int {
	code := ExitOK
	queues := map[string]*queueStats{}
	domains := map[string]int{} // failure domains out of service, with the number of nodes that know it
	waiting := 0.0
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
		addQueueStats(queues, page)
		for _, domain := range page.Labels("oleander_cell_domain_out", "domain") {
			domains[domain]++
		}
		waiting += page["oleander_cell_domain_waiting_tasks"]
	}
	_ = out.Flush() // fails only if standard output is closed
	t.printDomains(domains, waiting, len(c.Nodes))
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		t.printQueueStats(name, queues[name], c.Target)
	}
	return code
}

func addQueueStats(queues map[string]*queueStats, page scrape.Page) {
	queue := func(name string) *queueStats {
		if queues[name] == nil {
			queues[name] = &queueStats{}
		}
		return queues[name]
	}
	for name, results := range page.Results("oleander_cell_jobs_total") {
		q := queue(name)
		q.inTime += results["intime"]
		q.late += results["late"]
		q.missed += results["missed"]
	}
	for name, results := range page.Results("oleander_cell_lasting_seconds_total") {
		q := queue(name)
		q.servedSeconds += results["served"]
		q.requestedSeconds += results["asked"]
	}
}

// printQueueStats prints the share of good outcomes and the burn rate. A burn rate of 1 uses up the error budget exactly
// in the period for which it is set.
func (t *Tool) printQueueStats(name string, q *queueStats, target float64) {
	if all := q.inTime + q.late + q.missed; all > 0 {
		good := q.inTime / all
		t.print("%s: %.0f jobs, %.1f%% in time, %.0f late, %.0f missed, burn rate %.2f\n", name, all, 100*good, q.late, q.missed, (1-good)/(1-target))
	}
	if q.requestedSeconds > 0 {
		good := q.servedSeconds / q.requestedSeconds
		t.print("%s: %.0f s of long-running tasks, %.1f%% at work within target, burn rate %.2f\n", name, q.requestedSeconds, 100*good, (1-good)/(1-target))
	}
}

// printDomains prints which failure domains are out of service, and how many tasks wait for them.
func (t *Tool) printDomains(domains map[string]int, waiting float64, nodes int) {
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		t.print("failure domain %s: out of service, known to %d of %d nodes\n", domain, domains[domain], nodes)
	}
	if waiting > 0 {
		t.print("%.0f tasks wait for failure domains out of service: no other worker can take them (E6064 of the leader names the steps)\n", waiting)
	}
}
