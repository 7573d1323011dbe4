package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems bounds the problems that a report keeps, so that a file of garbage does not take more memory than its text.
const maxProblems = 1000

// Problem is one error or warning about a file of rules.
type Problem struct {
	Line    int    // from 1
	Column  int    // in characters, from 1
	Message string // what is wrong
	Allowed string // what is allowed in this place, or ""
	Near    string // the nearest known word, or ""
}

// String formats the problem for a terminal, without the name of the file.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: %s", p.Line, p.Column, p.Message)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	if p.Near != "" {
		fmt.Fprintf(&b, "; did you mean %q?", p.Near)
	}
	return b.String()
}

// Report holds the problems of one file in the order of its lines.
type Report struct {
	Errors   []Problem
	Warnings []Problem
	More     int // problems beyond the bound of the report, not kept
}

// OK reports whether there are no errors.
func (r *Report) OK() bool { return len(r.Errors) == 0 }

func (r *Report) fail(p Problem) {
	if len(r.Errors) >= maxProblems {
		r.More++
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
