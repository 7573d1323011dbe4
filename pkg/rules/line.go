package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// field is one key=value pair of a rule.
type field struct {
	key    string
	value  string
	column int  // of the key
	used   bool // read by the verb
}

// line is one rule, split into its parts. Its methods parse values and add errors to the report.
type line struct {
	number  int
	text    string
	verb    string
	column  int // of the verb
	comment string
	fields  []field
	allowed []string // the keys that the verb allows
	report  *Report
	failed  bool
}

// valueColumn returns the column of a field's value.
func (f field) valueColumn() int { return f.column + utf8.RuneCountInString(f.key) + 1 }

func (l *line) addError(column int, allowed, suggestion, format string, args ...any) {
	l.failed = true
	l.report.addError(Problem{
		Line: l.number, Column: column, Message: fmt.Sprintf(format, args...), Allowed: allowed, Suggestion: suggestion,
	})
}

// split splits the text into verb, fields and comment. A comment starts with a # at the start of a word.
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
			l.comment = strings.TrimSpace(rest[1:])
			return
		}
		end := strings.IndexAny(rest, " \t")
		if end < 0 {
			end = len(rest)
		}
		l.addWord(rest[:end], column)
		column += utf8.RuneCountInString(rest[:end])
		rest = rest[end:]
	}
}

// addWord stores the first word as the verb and each later word as a field.
func (l *line) addWord(word string, column int) {
	if l.verb == "" {
		l.verb, l.column = word, column
		return
	}
	key, value, found := strings.Cut(word, "=")
	switch {
	case !found || key == "":
		l.addError(column, "key=value without spaces", "", "%q is not key=value", shorten(word))
	case value == "":
		l.addError(column, "", "", "%s has no value", shorten(key))
	default:
		l.fields = append(l.fields, field{key: key, value: value, column: column})
	}
}

// take returns the first field with the key, or nil if there is none, and marks all fields with the key as used.
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

// require returns the field with the key, and adds an error if the rule does not have it.
func (l *line) require(key, example string) *field {
	f := l.take(key)
	if f == nil {
		l.addError(l.column, key+"="+example, "", "%s needs %s", l.verb, key)
	}
	return f
}

// finish adds errors for keys that the verb does not have, keys that are given twice, and a missing comment.
func (l *line) finish() {
	seen := map[string]bool{}
	for _, f := range l.fields {
		switch {
		case !f.used:
			l.addError(f.column, strings.Join(l.allowed, ", "), nearest(f.key, l.allowed), "%s does not have the key %q",
				l.verb, shorten(f.key))
		case seen[f.key]:
			l.addError(f.column, "each key once", "", "%s is given again", f.key)
		}
		seen[f.key] = true
	}
	if l.comment == "" {
		l.addError(utf8.RuneCountInString(l.text)+1, "# who asked, at the end of the rule", "", "comment is missing")
	}
}

func (l *line) origin() Origin { return Origin{Line: l.number, Comment: l.comment} }

// shorten truncates long words for messages.
func shorten(word string) string {
	const limit = 40
	if utf8.RuneCountInString(word) <= limit {
		return word
	}
	return string([]rune(word)[:limit]) + "..."
}
