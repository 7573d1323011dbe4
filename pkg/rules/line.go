package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// field is one key=value of a rule.
type field struct {
	key    string
	value  string
	column int // of the key
	used   bool
}

// line is one rule, split into its parts. Its methods read values and record what is wrong with them.
type line struct {
	number  int
	text    string
	verb    string
	column  int // of the verb
	who     string
	fields  []field
	allowed []string // the keys of the verb
	report  *Report
	failed  bool
}

// valueColumn returns the column of a field's value.
func (f field) valueColumn() int { return f.column + utf8.RuneCountInString(f.key) + 1 }

func (l *line) fail(column int, allowed, near, format string, args ...any) {
	l.failed = true
	l.report.fail(Problem{
		Line: l.number, Column: column, Message: fmt.Sprintf(format, args...), Allowed: allowed, Near: near,
	})
}

// split cuts the text into verb, fields and comment. A comment begins with a # at the start of a word.
func (l *line) split() {
	column := 1
	rest := l.text
	for {
		trimmed := strings.TrimLeft(rest, " \t")
		column += len(rest) - len(trimmed)
		rest = trimmed
		if rest == "" {
			return
		}
		if rest[0] == '#' {
			l.who = strings.TrimSpace(rest[1:])
			return
		}
		end := strings.IndexAny(rest, " \t")
		if end < 0 {
			end = len(rest)
		}
		l.word(rest[:end], column)
		column += utf8.RuneCountInString(rest[:end])
		rest = rest[end:]
	}
}

func (l *line) word(word string, column int) {
	if l.verb == "" {
		l.verb, l.column = word, column
		return
	}
	key, value, found := strings.Cut(word, "=")
	switch {
	case !found || key == "":
		l.fail(column, "key=value without spaces", "", "%q is not key=value", shorten(word))
	case value == "":
		l.fail(column, "", "", "%s has no value", shorten(key))
	default:
		l.fields = append(l.fields, field{key: key, value: value, column: column})
	}
}

// take returns the first field with the key, or nil if the rule does not have it.
func (l *line) take(key string) *field {
	var found *field
	for i := range l.fields {
		f := &l.fields[i]
		if f.key != key {
			continue
		}
		f.used = true
		if found == nil {
			found = f
		}
	}
	return found
}

func (l *line) has(key string) bool {
	for _, f := range l.fields {
		if f.key == key {
			return true
		}
	}
	return false
}

// require returns the field with the key, and records an error if the rule does not have it.
func (l *line) require(key, allowed string) *field {
	f := l.take(key)
	if f == nil {
		l.fail(l.column, key+"="+allowed, "", "%s needs %s", l.verb, key)
	}
	return f
}

// finish records keys that no one has taken, keys that are given twice and a missing comment.
func (l *line) finish() {
	seen := map[string]bool{}
	for _, f := range l.fields {
		switch {
		case !f.used:
			l.fail(f.column, strings.Join(l.allowed, ", "), nearest(f.key, l.allowed), "%s does not have the key %q",
				l.verb, shorten(f.key))
		case seen[f.key]:
			l.fail(f.column, "each key once", "", "%s is given again", f.key)
		}
		seen[f.key] = true
	}
	if l.who == "" {
		l.fail(utf8.RuneCountInString(l.text)+1, "# who asked, at the end of the rule", "", "comment is missing")
	}
}

func (l *line) origin() Origin { return Origin{Line: l.number, Who: l.who} }

// shorten keeps messages about long words readable.
func shorten(word string) string {
	const limit = 40
	if utf8.RuneCountInString(word) <= limit {
		return word
	}
	return string([]rune(word)[:limit]) + "..."
}
