package rules

import (
	"slices"
	"strings"
)

// Rule is one rule in canonical text form, for comparing files and for messages.
type Rule struct {
	Line     int
	Text     string // canonical form: verb, fields in the order of the verb's keys, comment
	identity string // the verb and its identifying fields; rules with the same identity replace one another
}

// identityKeys lists the identifying keys of each verb. Verbs that are not listed are identified by their target.
var identityKeys = map[string][]string{
	"quota": {"team"},
	"slo":   {"service"},
	"class": {"name", "service", "path"},
	"limit": {"service"},
}

// Rules returns the rules of a file in order, without blank lines and comment-only lines. Rules with errors are included.
func Rules(text string) []Rule {
	var rules []Rule
	rest := strings.TrimPrefix(text, byteOrderMark)
	for number := 1; rest != ""; number++ {
		var lineText string
		lineText, rest, _ = strings.Cut(rest, "\n")
		l := &line{number: number, text: strings.TrimSuffix(lineText, "\r"), report: &Report{}}
		l.split()
		if l.verb != "" {
			rules = append(rules, l.rule())
		}
	}
	return rules
}

func (l *line) rule() Rule {
	v := findVerb(l.verb)
	if v == nil || l.failed {
		text := strings.Join(strings.Fields(l.text), " ")
		return Rule{Line: l.number, Text: text, identity: text}
	}
	identifying := identityKeys[l.verb]
	if identifying == nil {
		identifying = targetKeys
	}
	order := func(f field) int { return slices.Index(v.keys, f.key) }
	slices.SortStableFunc(l.fields, func(a, b field) int { return order(a) - order(b) })
	text, identity := []string{l.verb}, []string{l.verb}
	for _, f := range l.fields {
		word := f.key + "=" + f.value
		text = append(text, word)
		if slices.Contains(identifying, f.key) {
			identity = append(identity, word)
		}
	}
	if l.comment != "" {
		text = append(text, "# "+l.comment)
	}
	return Rule{Line: l.number, Text: strings.Join(text, " "), identity: strings.Join(identity, " ")}
}
