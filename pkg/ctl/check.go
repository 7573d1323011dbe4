package ctl

import (
	"fmt"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

func (t *Tool) check(c *CheckCommand) int {
	f, err := t.read(c.File)
	if err != nil {
		return t.fail(ExitFailure, "%v", err)
	}
	report := t.report(f)
	if !report.OK() {
		return ExitUsage
	}
	t.print("%s: %d rules, no errors, %d warnings\n", f.name, len(rules.Rules(f.text)), len(report.Warnings))
	return ExitOK
}

// report prints the problems of a file in the numbers of its own lines.
func (t *Tool) report(f file) *rules.Report {
	_, report := rules.Check(f.text, t.common.Clock.Now())
	list := func(kind string, problems []rules.Problem) {
		for _, p := range problems {
			p.Line += f.lineOffset()
			_, _ = fmt.Fprintf(t.err, "%s:%s: %s\n", f.name, kind, p)
		}
	}
	list("error", report.Errors)
	list("warning", report.Warnings)
	if report.More > 0 {
		_, _ = fmt.Fprintf(t.err, "%s: %d more problems are not shown\n", f.name, report.More)
	}
	return report
}
