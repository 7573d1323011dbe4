package rules

import (
	"cmp"
	"slices"
)

// Change is one difference between two files in terms of their rules. A rule that was added has no Old, a rule that was
// removed has no New.
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

// Diff returns the changes from one text to another. Order, spacing, blank lines and lines that are only a comment make
// no change. A rule changes if another rule about the same target, service, team or class takes its place.
func Diff(from, to string) []Change {
	olds, news := byIdentity(Rules(from)), byIdentity(Rules(to))
	var changes []Change
	for identity, old := range olds {
		changes = append(changes, pair(old, news[identity])...)
	}
	for identity, added := range news {
		if _, ok := olds[identity]; !ok {
			changes = append(changes, pair(nil, added)...)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.line(), b.line()), cmp.Compare(a.kind(), b.kind()))
	})
	return changes
}

func byIdentity(rules []Rule) map[string][]Rule {
	groups := map[string][]Rule{}
	for _, r := range rules {
		groups[r.identity] = append(groups[r.identity], r)
	}
	return groups
}

// pair leaves out the rules that both sides have, and matches the rest in order.
func pair(olds, news []Rule) []Change {
	rest := without(news, olds)
	var changes []Change
	for _, old := range without(olds, news) {
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

// without returns the rules that are not in other, counting repetitions.
func without(rules, other []Rule) []Rule {
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

func (c Change) line() int {
	if c.New != nil {
		return c.New.Line
	}
	return c.Old.Line
}

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
