package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the checks as a table and reports whether all of them passed.
func WriteTable(out io.Writer, checks []Check) bool {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	all := true
	for _, c := range checks {
		verdict := "ok"
		switch {
		case !c.OK:
			verdict = "FAILED"
			all = false
		case c.Want == "":
			verdict = "-"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", verdict, c.Name, c.Got, wantText(c))
	}
	_ = table.Flush()
	return all
}

func wantText(c Check) string {
	if c.Want == "" {
		return ""
	}
	return "(want " + c.Want + ")"
}
