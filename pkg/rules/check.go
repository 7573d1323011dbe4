package rules

import (
	"fmt"
	"strings"
	"time"
)

// maxCompared bounds the rules about the same target with which a rule is compared.
const maxCompared = 16

// Check parses a file and also warns about rules that contradict or shadow each other, rules that have ended, and what
// may not be meant.
func Check(text string, now time.Time) (*Set, *Report) {
	set, report := Parse(text)
	c := &checker{report: report, now: now}
	c.lineEnds(text)
	c.windows(set)
	c.drains(set)
	c.sheds(set)
	c.holds(set)
	c.replaced(set)
	c.emptied(set)
	report.sort()
	return set, report
}

// checker collects the warnings of one file.
type checker struct {
	report *Report
	now    time.Time
}

func (c *checker) warn(line int, format string, args ...any) {
	if len(c.report.Warnings) >= maxProblems {
		c.report.More++
		return
	}
	c.report.Warnings = append(c.report.Warnings, Problem{Line: line, Column: 1, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) lineEnds(text string) {
	all, windows := strings.Count(text, "\n"), strings.Count(text, "\r\n")
	if windows > 0 && windows < all {
		c.warn(1, "line ends are mixed: %d with and %d without a carriage return", windows, all-windows)
	}
}

func (c *checker) windows(set *Set) {
	each := func(o Origin, w Window) {
		if !w.Until.IsZero() && !w.Until.After(c.now) {
			c.warn(o.Line, "the window ended at %s", w.Until.Format(time.RFC3339))
		}
		if w.Weekly != nil && w.Weekly.Zone == time.UTC {
			c.warn(o.Line, "the weekly window is in UTC; use zone= for local times")
		}
	}
	for _, r := range set.Drains {
		each(r.Origin, r.Window)
	}
	for _, r := range set.Sheds {
		each(r.Origin, r.Window)
	}
	for _, r := range set.Holds {
		each(r.Origin, r.Window)
	}
}

// scoped is what drain, shed and hold have in common.
type scoped[R any] struct {
	Origin
	Target
	Window
	rule R
}

// shadowed warns about each rule that another one makes superfluous: the other's target and window include its own, and
// covers holds for the rest. Of two equal rules the later one is named.
func shadowed[R any](c *checker, verb string, rules []scoped[R], covers func(a, b R) bool) {
	byTarget := map[Target][]scoped[R]{}
	for _, r := range rules {
		if len(byTarget[r.Target]) < maxCompared {
			byTarget[r.Target] = append(byTarget[r.Target], r)
		}
	}
	for _, r := range rules {
		if other, ok := covering(byTarget, r, covers); ok {
			c.warn(r.Line, "%s is shadowed by the %s on line %d, which includes it", verb, verb, other)
		}
	}
}

func covering[R any](byTarget map[Target][]scoped[R], r scoped[R], covers func(a, b R) bool) (int, bool) {
	for _, wider := range r.Target.including() {
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

func (c *checker) drains(set *Set) {
	var rules []scoped[Drain]
	for _, r := range set.Drains {
		rules = append(rules, scoped[Drain]{r.Origin, r.Target, r.Window, r})
	}
	shadowed(c, "drain", rules, func(Drain, Drain) bool { return true })
}

func (c *checker) sheds(set *Set) {
	var rules []scoped[Shed]
	for _, r := range set.Sheds {
		rules = append(rules, scoped[Shed]{r.Origin, r.Target, r.Window, r})
	}
	shadowed(c, "shed", rules, func(a, b Shed) bool {
		return a.Metric == b.Metric && a.Above <= b.Above && a.For <= b.For
	})
}

func (c *checker) holds(set *Set) {
	var rules []scoped[Hold]
	for _, r := range set.Holds {
		rules = append(rules, scoped[Hold]{r.Origin, r.Target, r.Window, r})
	}
	shadowed(c, "hold", rules, func(a, b Hold) bool {
		return (a.Share > 0) == (b.Share > 0) && a.Share >= b.Share && b.Size.Fits(a.Size)
	})
}

// replaced warns about rules of which only the last is in force, and about classes of which only the first is.
func (c *checker) replaced(set *Set) {
	last := map[string]int{}
	see := func(line int, verb, about string) {
		key := verb + " " + about
		if earlier, ok := last[key]; ok {
			c.warn(earlier, "%s for %s contradicts line %d, and the later rule applies", verb, about, line)
		}
		last[key] = line
	}
	for _, r := range set.Quotas {
		see(r.Line, "quota", "team "+string(r.Team))
	}
	for _, r := range set.Objectives {
		see(r.Line, "slo", "service "+string(r.Service))
	}
	for _, r := range set.Limits {
		see(r.Line, "limit", "service "+string(r.Service))
	}
	first := map[string]int{}
	for _, r := range set.Classes {
		about := "jobs of class " + r.Name
		if r.Service != "" {
			about = strings.TrimSpace(fmt.Sprintf("service %s %s", r.Service, r.Path))
		}
		if earlier, ok := first[about]; ok {
			c.warn(r.Line, "class for %s contradicts line %d, and the earlier rule applies", about, earlier)
			continue
		}
		first[about] = r.Line
	}
}

// emptied warns about a service that keeps an objective although a rule drains all of its minions.
func (c *checker) emptied(set *Set) {
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
