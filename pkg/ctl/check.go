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
	report := t.checkFile(f)
	if !report.OK() {
		return ExitUsage
	}
	t.print("%s: %d rules, no errors, %d warnings\n", f.name, len(rules.Rules(f.text)), len(report.Warnings))
	return ExitOK
}

// checkFile prints the problems of a file, with line numbers that include the base line.
func (t *Tool) checkFile(f file) *rules.Report {
	_, report := rules.Check(f.text, t.common.Clock.Now())
	printProblems := func(kind string, problems []rules.Problem) {
		for _, p := range problems {
			p.Line += f.lineOffset()
			_, _ = fmt.Fprintf(t.err, "%s:%s: %s\n", f.name, kind, p)
		}
	}
	printProblems("error", report.Errors)
	printProblems("warning", report.Warnings)
	if report.Omitted > 0 {
		_, _ = fmt.Fprintf(t.err, "%s: %d more problems are not shown\n", f.name, report.Omitted)
	}
	return report
}
