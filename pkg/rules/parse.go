package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const byteOrderMark = "\ufeff"

// Parse parses a rules file. It always returns a set: lines with errors and lines with unknown verbs are kept in Unknown
// and have no effect, so that the known rules of a file for a newer version still apply. The report lists all errors.
func Parse(text string) (*Set, *Report) {
	set := &Set{Text: text}
	report := &Report{}
	if p, ok := checkText(text); !ok {
		report.addError(p)
		return set, report
	}
	rest := strings.TrimPrefix(text, byteOrderMark)
	for number := 1; rest != ""; number++ {
		var lineText string
		lineText, rest, _ = strings.Cut(rest, "\n")
		parseLine(set, report, number, strings.TrimSuffix(lineText, "\r"))
	}
	report.sort()
	return set, report
}

// checkText reports whether the file can be parsed. If it is too long or not encoded in UTF-8, it returns the problem.
func checkText(text string) (Problem, bool) {
	switch {
	case len(text) > MaxBytes:
		return Problem{Line: 1, Column: 1, Message: "the file is too long", Allowed: fmt.Sprintf("up to %d bytes", MaxBytes)}, false
	case strings.HasPrefix(text, "\xff\xfe"), strings.HasPrefix(text, "\xfe\xff"):
		return Problem{Line: 1, Column: 1, Message: "the file is in UTF-16", Allowed: "text in UTF-8"}, false
	case !utf8.ValidString(text):
		line, column := position(text, firstInvalidByte(text))
		return Problem{Line: line, Column: column, Message: "the file is not text", Allowed: "text in UTF-8"}, false
	}
	return Problem{}, true
}

// firstInvalidByte returns the offset of the first byte that is not valid UTF-8.
func firstInvalidByte(text string) int {
	for i, r := range text {
		if r != utf8.RuneError {
			continue
		}
		if _, size := utf8.DecodeRuneInString(text[i:]); size == 1 {
			return i
		}
	}
	return len(text)
}

// position returns the line and column, both from 1, of a byte offset in the text.
func position(text string, offset int) (line, column int) {
	before := text[:offset]
	start := strings.LastIndexByte(before, '\n') + 1
	return strings.Count(before, "\n") + 1, utf8.RuneCountInString(before[start:]) + 1
}

func parseLine(set *Set, report *Report, number int, text string) {
	l := &line{number: number, text: text, report: report}
	if i := strings.IndexFunc(text, isControl); i >= 0 {
		_, column := position(text, i)
		l.addError(column, "text, tabs and line ends", "", "control character %q", text[i])
	}
	if !l.failed {
		l.split()
	}
	if l.verb != "" || l.failed {
		l.parse(set)
	}
	if l.failed {
		set.Unknown = append(set.Unknown, Unknown{Line: number, Text: text})
	}
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func (l *line) parse(set *Set) {
	if l.verb == "" {
		return
	}
	v := findVerb(l.verb)
	if v == nil {
		names := verbNames()
		l.addError(l.column, strings.Join(names, ", "), nearest(l.verb, names), "unknown verb %q", shorten(l.verb))
		return
	}
	l.allowed = v.keys
	v.read(l, set)
}
