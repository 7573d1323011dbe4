package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// maxSkippedLines limits how many lines of the base are removed to reach a matching line. Without it, one line that moved
// upwards would turn the rest of the file into a change.
const maxSkippedLines = 64

var errEditMismatch = errors.New("edits do not match the text of their base")

// Edit replaces lines of the base text. The edits of an entry are sorted by line and do not overlap.
type Edit struct {
	At     int    `json:"at"`            // number of base lines before the edit
	Remove int    `json:"del,omitempty"` // number of base lines to remove
	Insert string `json:"ins,omitempty"` // text to insert in their place
}

// makeEdits returns edits that turn base into text. It realigns on lines that occur only once in the base; the result is
// not always the shortest.
func makeEdits(base, text string) []Edit {
	olds, news := splitLines(base), splitLines(text)
	index := uniqueLines(olds)
	var edits []Edit
	pos := 0
	addEdit := func(remove int, insert string) {
		if n := len(edits); n > 0 && edits[n-1].At+edits[n-1].Remove == pos {
			edits[n-1].Remove += remove
			edits[n-1].Insert += insert
		} else {
			edits = append(edits, Edit{At: pos, Remove: remove, Insert: insert})
		}
		pos += remove
	}
	for _, line := range news {
		if pos < len(olds) && olds[pos] == line {
			pos++
			continue
		}
		if next, ok := index[line]; ok && next > pos && next-pos <= maxSkippedLines {
			addEdit(next-pos, "")
			pos++
			continue
		}
		addEdit(0, line)
	}
	if pos < len(olds) {
		addEdit(len(olds)-pos, "")
	}
	return edits
}

// splitLines splits text into lines and keeps their line ends.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	lines := strings.SplitAfter(text, "\n")
	if last := len(lines) - 1; lines[last] == "" {
		return lines[:last]
	}
	return lines
}

// uniqueLines returns the index of each line that occurs once, and -1 for lines that occur more often.
func uniqueLines(lines []string) map[string]int {
	index := make(map[string]int, len(lines))
	for i, line := range lines {
		if _, ok := index[line]; ok {
			index[line] = -1
			continue
		}
		index[line] = i
	}
	return index
}

// applyEdits returns the result of applying the edits to base.
func applyEdits(base string, edits []Edit) (string, error) {
	lines := splitLines(base)
	var b strings.Builder
	pos := 0
	for _, e := range edits {
		if e.At < pos || e.Remove < 0 || e.At > len(lines) || e.Remove > len(lines)-e.At {
			return "", errEditMismatch
		}
		for _, line := range lines[pos:e.At] {
			b.WriteString(line)
		}
		b.WriteString(e.Insert)
		if b.Len() > MaxBytes {
			return "", errTooLong
		}
		pos = e.At + e.Remove
	}
	for _, line := range lines[pos:] {
		b.WriteString(line)
	}
	if b.Len() > MaxBytes {
		return "", errTooLong
	}
	return b.String(), nil
}

// checksum returns a checksum with which readers verify that edits lead to the publisher's text.
func checksum(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}
