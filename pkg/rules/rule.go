package rules

import (
	"slices"
	"strings"
)

// Rule is one line of the language in its words, for comparisons between files and for messages.
type Rule struct {
	Line     int
	Text     string // canonical: verb, fields in the order of the language, comment
	identity string // what the rule is about; rules with the same identity replace one another
}

// identityKeys are the keys that tell what a rule is about. Verbs that are not listed are about their target.
var identityKeys = map[string][]string{
	"quota": {"team"},
	"slo":   {"service"},
	"class": {"name", "service", "path"},
	"limit": {"service"},
}

// Rules returns the rules of a file in order, without blank lines and comments. Lines that do not parse are included.
func Rules(text string) []Rule {
	var found []Rule
	rest := strings.TrimPrefix(text, byteOrderMark)
	for number := 1; rest != ""; number++ {
		var row string
		row, rest, _ = strings.Cut(rest, "\n")
		l := &line{number: number, text: strings.TrimSuffix(row, "\r"), report: &Report{}}
		l.split()
		if l.verb != "" {
			found = append(found, l.rule())
		}
	}
	return found
}

func (l *line) rule() Rule {
	v := findVerb(l.verb)
	if v == nil || l.failed {
		text := strings.Join(strings.Fields(l.text), " ")
		return Rule{Line: l.number, Text: text, identity: text}
	}
	about := identityKeys[l.verb]
	if about == nil {
		about = targetKeys
	}
	order := func(f field) int { return slices.Index(v.keys, f.key) }
	slices.SortStableFunc(l.fields, func(a, b field) int { return order(a) - order(b) })
	text, identity := []string{l.verb}, []string{l.verb}
	for _, f := range l.fields {
		word := f.key + "=" + f.value
		text = append(text, word)
		if slices.Contains(about, f.key) {
			identity = append(identity, word)
		}
	}
	if l.who != "" {
		text = append(text, "# "+l.who)
	}
	return Rule{Line: l.number, Text: strings.Join(text, " "), identity: strings.Join(identity, " ")}
}
