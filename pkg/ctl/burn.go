package ctl

import (
	"bytes"
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/oleanderline/oleanderline/pkg/burn"
)

func (t *Tool) burn(ctx context.Context, c *BurnCommand) int {
	report, code := t.burnReport(ctx)
	switch {
	case c.HTML != "":
		var page bytes.Buffer
		if err := burn.WritePage(&page, "all entries", report); err != nil {
			return t.fail(ExitFailure, "write page: %v", err)
		}
		if err := writeFileAtomic(c.HTML, page.String()); err != nil {
			return t.fail(ExitFailure, "write page: %v", err)
		}
	case c.JSON:
		return max(code, t.printJSON(report))
	default:
		t.burnText(report)
	}
	for _, missing := range report.Missing {
		t.fail(ExitFailure, "not counted: %s", missing)
	}
	return code
}

// burnReport combines the counts of all entries. The report lists the entries that did not answer.
func (t *Tool) burnReport(ctx context.Context) (burn.Report, int) {
	var snapshots []burn.Snapshot
	var missing []string
	for _, a := range t.operators.Burn(ctx) {
		if a.Err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", a.Address, a.Err))
			continue
		}
		snapshots = append(snapshots, a.Value)
	}
	report := burn.NewReport(burn.Merge(snapshots), missing)
	if len(missing) > 0 || len(snapshots) == 0 {
		return report, ExitFailure
	}
	return report, ExitOK
}

func (t *Tool) burnText(report burn.Report) {
	if len(report.Services) == 0 {
		t.print("no entry that answered has an slo rule in force\n")
	}
	for _, s := range report.Services {
		t.print("%s: %s for %.6g%% of requests, %.1f%% of the error budget of 3 d left", s.Service, s.Objective.Latency,
			100*s.Objective.Target, 100*s.Left)
		if s.Alert != burn.AlertNone {
			t.print(", alert: %s", s.Alert)
		}
		t.print("\n")
		out := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintln(out, "  window\tburn rate\tbad\tall\t")
		for _, r := range s.Rates {
			_, _ = fmt.Fprintf(out, "  %s\t%.2f\t%d\t%d\t\n", r.Window, r.Rate, r.Count.Bad, r.Count.Total())
		}
		_ = out.Flush()
		for _, source := range s.Sources {
			t.print("  %s %s: %.1f%% of the bad requests, %.2f%% of its own are bad\n", source.Dimension, source.Name,
				100*source.Share, 100*source.BadShare)
		}
	}
}
