package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems is the maximum number of errors, and of warnings, in a report, so that the report of an invalid file does
// not take more memory than its text.
const maxProblems = 1000

// Problem is an error or warning about a rules file.
type Problem struct {
	Line       int    // from 1
	Column     int    // in characters, from 1
	Message    string // what is wrong
	Allowed    string // what is allowed at this position, or ""
	Suggestion string // the most similar known word, or ""
}

// String formats the problem for a terminal, without the file name.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: %s", p.Line, p.Column, p.Message)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	if p.Suggestion != "" {
		fmt.Fprintf(&b, "; did you mean %q?", p.Suggestion)
	}
	return b.String()
}

// Report lists the problems of a file, sorted by line and column.
type Report struct {
	Errors   []Problem
	Warnings []Problem
	Omitted  int // number of problems beyond maxProblems, which are not listed
}

// OK reports whether there are no errors.
func (r *Report) OK() bool { return len(r.Errors) == 0 }

func (r *Report) addError(p Problem) {
	if len(r.Errors) >= maxProblems {
		r.Omitted++
		return
	}
	r.Errors = append(r.Errors, p)
}

func (r *Report) sort() {
	order := func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	}
	slices.SortStableFunc(r.Errors, order)
	slices.SortStableFunc(r.Warnings, order)
}
