package rules

import (
	"cmp"
	"slices"
)

// Change is a rule that differs between two files. Old is nil for an added rule, New is nil for a removed rule.
type Change struct {
	Old *Rule
	New *Rule
}

// String formats the change for a terminal: "+" added, "-" removed, "~" changed with both texts.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return "+ " + c.New.Text
	case c.New == nil:
		return "- " + c.Old.Text
	default:
		return "~ " + c.Old.Text + "\n  " + c.New.Text
	}
}

// Diff returns the changes from one text to another. Order, spacing, blank lines and comment-only lines are ignored. A
// removed and an added rule for the same target, service, team or class are reported as one changed rule.
func Diff(from, to string) []Change {
	olds, news := groupByIdentity(Rules(from)), groupByIdentity(Rules(to))
	var changes []Change
	for identity, old := range olds {
		changes = append(changes, pairChanges(old, news[identity])...)
	}
	for identity, added := range news {
		if _, ok := olds[identity]; !ok {
			changes = append(changes, pairChanges(nil, added)...)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.line(), b.line()), cmp.Compare(a.kind(), b.kind()))
	})
	return changes
}

func groupByIdentity(rules []Rule) map[string][]Rule {
	groups := map[string][]Rule{}
	for _, r := range rules {
		groups[r.identity] = append(groups[r.identity], r)
	}
	return groups
}

// pairChanges drops the rules that both sides have, and pairs the remaining ones in order.
func pairChanges(olds, news []Rule) []Change {
	rest := subtract(news, olds)
	var changes []Change
	for _, old := range subtract(olds, news) {
		c := Change{Old: &old}
		if len(rest) > 0 {
			c.New = &rest[0]
			rest = rest[1:]
		}
		changes = append(changes, c)
	}
	for _, added := range rest {
		changes = append(changes, Change{New: &added})
	}
	return changes
}

// subtract returns the rules that are not in other. A rule that occurs n times in other removes n occurrences.
func subtract(rules, other []Rule) []Rule {
	count := map[string]int{}
	for _, r := range other {
		count[r.Text]++
	}
	var rest []Rule
	for _, r := range rules {
		if count[r.Text] > 0 {
			count[r.Text]--
			continue
		}
		rest = append(rest, r)
	}
	return rest
}

// line returns the line of the new rule or, for a removed rule, of the old one.
func (c Change) line() int {
	if c.New != nil {
		return c.New.Line
	}
	return c.Old.Line
}

// kind returns the sort order of changes on the same line: removed, changed, added.
func (c Change) kind() int {
	switch {
	case c.New == nil:
		return 0
	case c.Old == nil:
		return 2
	default:
		return 1
	}
}
