package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// maxSkip bounds how many lines of the base a match may pass over, so that one line moved upwards does not turn the rest
// of the file into a change.
const maxSkip = 64

var errEdit = errors.New("the edit does not fit its base")

// Edit replaces lines of a text. Edits stand in the order of their lines and do not overlap.
type Edit struct {
	At     int    `json:"at"`            // lines of the base before the edit
	Remove int    `json:"del,omitempty"` // lines of the base to leave out
	Insert string `json:"ins,omitempty"` // text to put in their place
}

// makeEdits returns edits that lead from base to text. Lines that occur once in the base are the points of contact; the
// edits are not always the shortest.
func makeEdits(base, text string) []Edit {
	olds, news := splitLines(base), splitLines(text)
	place := places(olds)
	var edits []Edit
	at := 0
	change := func(remove int, insert string) {
		if n := len(edits); n > 0 && edits[n-1].At+edits[n-1].Remove == at {
			edits[n-1].Remove += remove
			edits[n-1].Insert += insert
		} else {
			edits = append(edits, Edit{At: at, Remove: remove, Insert: insert})
		}
		at += remove
	}
	for _, row := range news {
		if at < len(olds) && olds[at] == row {
			at++
			continue
		}
		if found, ok := place[row]; ok && found > at && found-at <= maxSkip {
			change(found-at, "")
			at++
			continue
		}
		change(0, row)
	}
	if at < len(olds) {
		change(len(olds)-at, "")
	}
	return edits
}

// splitLines keeps the line ends.
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

// places returns the place of each line that occurs once.
func places(lines []string) map[string]int {
	place := make(map[string]int, len(lines))
	for i, row := range lines {
		if _, ok := place[row]; ok {
			place[row] = -1
			continue
		}
		place[row] = i
	}
	return place
}

// applyEdits returns the text that the edits make of base.
func applyEdits(base string, edits []Edit) (string, error) {
	lines := splitLines(base)
	var b strings.Builder
	at := 0
	for _, e := range edits {
		if e.At < at || e.Remove < 0 || e.At > len(lines) || e.Remove > len(lines)-e.At {
			return "", errEdit
		}
		for _, row := range lines[at:e.At] {
			b.WriteString(row)
		}
		b.WriteString(e.Insert)
		if b.Len() > MaxBytes {
			return "", errTooLong
		}
		at = e.At + e.Remove
	}
	for _, row := range lines[at:] {
		b.WriteString(row)
	}
	if b.Len() > MaxBytes {
		return "", errTooLong
	}
	return b.String(), nil
}

// checksum tells whether the result of edits is the text that the publisher has seen.
func checksum(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}
