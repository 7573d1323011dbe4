package rules

import (
	"fmt"
	"strings"
	"time"
)

// maxCompared is the maximum number of rules with the same target that a rule is compared with.
const maxCompared = 16

// Check parses a file and also warns about rules that contradict or shadow each other, rules whose window has ended, and
// likely mistakes.
func Check(text string, now time.Time) (*Set, *Report) {
	set, report := Parse(text)
	c := &checker{report: report, now: now}
	c.checkLineEndings(text)
	c.checkWindows(set)
	c.checkDrains(set)
	c.checkSheds(set)
	c.checkHolds(set)
	c.checkDuplicates(set)
	c.checkDrainedServices(set)
	report.sort()
	return set, report
}

// checker adds the warnings about one file to its report.
type checker struct {
	report *Report
	now    time.Time
}

func (c *checker) warn(line int, format string, args ...any) {
	if len(c.report.Warnings) >= maxProblems {
		c.report.Omitted++
		return
	}
	c.report.Warnings = append(c.report.Warnings, Problem{Line: line, Column: 1, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkLineEndings(text string) {
	all, crlf := strings.Count(text, "\n"), strings.Count(text, "\r\n")
	if crlf > 0 && crlf < all {
		c.warn(1, "line ends are mixed: %d with and %d without a carriage return", crlf, all-crlf)
	}
}

func (c *checker) checkWindows(set *Set) {
	checkWindow := func(o Origin, w Window) {
		if !w.Until.IsZero() && !w.Until.After(c.now) {
			c.warn(o.Line, "the window ended at %s", w.Until.Format(time.RFC3339))
		}
		if w.Weekly != nil && w.Weekly.Zone == time.UTC {
			c.warn(o.Line, "the weekly window is in UTC; use zone= for local times")
		}
	}
	for _, r := range set.Drains {
		checkWindow(r.Origin, r.Window)
	}
	for _, r := range set.Sheds {
		checkWindow(r.Origin, r.Window)
	}
	for _, r := range set.Holds {
		checkWindow(r.Origin, r.Window)
	}
}

// scopedRule holds the common fields of drain, shed and hold rules.
type scopedRule[R any] struct {
	Origin
	Target
	Window
	rule R
}

// warnShadowed warns about each rule that another rule makes redundant: the other rule's target and window include its
// own, and covers(other, rule) is true for the remaining values. Of two equal rules the later one is redundant.
func warnShadowed[R any](c *checker, verb string, rules []scopedRule[R], covers func(a, b R) bool) {
	byTarget := map[Target][]scopedRule[R]{}
	for _, r := range rules {
		if len(byTarget[r.Target]) < maxCompared {
			byTarget[r.Target] = append(byTarget[r.Target], r)
		}
	}
	for _, r := range rules {
		if other, ok := findCovering(byTarget, r, covers); ok {
			c.warn(r.Line, "%s is shadowed by the %s on line %d, which includes it", verb, verb, other)
		}
	}
}

// findCovering returns the line of a rule that makes r redundant.
func findCovering[R any](byTarget map[Target][]scopedRule[R], r scopedRule[R], covers func(a, b R) bool) (int, bool) {
	for _, wider := range r.Target.supersets() {
		for _, other := range byTarget[wider] {
			if other.Line == r.Line || !other.Window.includes(r.Window) || !covers(other.rule, r.rule) {
				continue
			}
			equal := wider == r.Target && r.Window.includes(other.Window) && covers(r.rule, other.rule)
			if !equal || other.Line < r.Line {
				return other.Line, true
			}
		}
	}
	return 0, false
}

func (c *checker) checkDrains(set *Set) {
	var rules []scopedRule[Drain]
	for _, r := range set.Drains {
		rules = append(rules, scopedRule[Drain]{r.Origin, r.Target, r.Window, r})
	}
	warnShadowed(c, "drain", rules, func(Drain, Drain) bool { return true })
}

func (c *checker) checkSheds(set *Set) {
	var rules []scopedRule[Shed]
	for _, r := range set.Sheds {
		rules = append(rules, scopedRule[Shed]{r.Origin, r.Target, r.Window, r})
	}
	warnShadowed(c, "shed", rules, func(a, b Shed) bool {
		return a.Metric == b.Metric && a.Above <= b.Above && a.For <= b.For
	})
}

func (c *checker) checkHolds(set *Set) {
	var rules []scopedRule[Hold]
	for _, r := range set.Holds {
		rules = append(rules, scopedRule[Hold]{r.Origin, r.Target, r.Window, r})
	}
	warnShadowed(c, "hold", rules, func(a, b Hold) bool {
		return (a.Share > 0) == (b.Share > 0) && a.Share >= b.Share && b.Size.Fits(a.Size)
	})
}

// checkDuplicates warns about quotas, objectives and limits for the same subject, of which only the last applies, and
// about classes for the same requests or jobs, of which only the first applies.
func (c *checker) checkDuplicates(set *Set) {
	last := map[string]int{}
	record := func(line int, verb, subject string) {
		key := verb + " " + subject
		if earlier, ok := last[key]; ok {
			c.warn(earlier, "%s for %s contradicts line %d, and the later rule applies", verb, subject, line)
		}
		last[key] = line
	}
	for _, r := range set.Quotas {
		record(r.Line, "quota", "team "+string(r.Team))
	}
	for _, r := range set.Objectives {
		record(r.Line, "slo", "service "+string(r.Service))
	}
	for _, r := range set.Limits {
		record(r.Line, "limit", "service "+string(r.Service))
	}
	first := map[string]int{}
	for _, r := range set.Classes {
		subject := "jobs of class " + r.Name
		if r.Service != "" {
			subject = strings.TrimSpace(fmt.Sprintf("service %s %s", r.Service, r.Path))
		}
		if earlier, ok := first[subject]; ok {
			c.warn(r.Line, "class for %s contradicts line %d, and the earlier rule applies", subject, earlier)
			continue
		}
		first[subject] = r.Line
	}
}

// checkDrainedServices warns about a service that has an objective although a rule drains all of its minions.
func (c *checker) checkDrainedServices(set *Set) {
	objectives := map[Target]int{}
	for _, r := range set.Objectives {
		objectives[Target{Service: r.Service}] = r.Line
	}
	for _, r := range set.Drains {
		if line, ok := objectives[r.Target]; ok {
			c.warn(r.Line, "drain empties every minion of service %s, which contradicts the slo on line %d", r.Service, line)
		}
	}
}
