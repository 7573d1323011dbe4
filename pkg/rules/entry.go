package rules

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Stream is the stream on which the rules are published.
const Stream oleanderline.Stream = "rules"

// MaxBytes bounds the text of one revision. 10,000 rules take about 0.8 MB.
const MaxBytes = 1 << 20

// maxEncoded bounds an entry. JSON takes up to six bytes for one character.
const maxEncoded = 6*MaxBytes + 4096

// keepPrefix begins the id of an entry that repeats the rules in force without a change, see Follower.
const keepPrefix = "keep-"

// Entry is one element of the rules stream. Its offset becomes its revision if it is accepted.
type Entry struct {
	ID   string                `json:"id"`   // chosen by the publisher, so that it finds its entry after a lost answer
	Base oleanderline.Revision `json:"base"` // the revision that the publisher has changed
	By   string                `json:"by"`
	Time time.Time             `json:"time"`
	Text string                `json:"text,omitempty"`
	// Sum is set if the entry holds the edits that lead from the text of its base to its own, instead of the text.
	Sum  string `json:"sum,omitempty"`
	Edit []Edit `json:"edit,omitempty"`
}

// Whole reports whether the entry holds its text, and not edits of its base.
func (e Entry) Whole() bool { return e.Sum == "" }

// resolve returns the text of the entry, given that of its base.
func (e Entry) resolve(base string) (string, error) {
	if e.Whole() {
		return e.Text, nil
	}
	text, err := applyEdits(base, e.Edit)
	if err != nil {
		return "", err
	}
	if checksum(text) != e.Sum {
		return "", errEdit
	}
	return text, nil
}

var (
	errNoID    = errors.New("entry without id")
	errTooLong = fmt.Errorf("text is longer than %d bytes", MaxBytes)
)

// Encode returns the entry as it is appended to the stream.
func (e Entry) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	// Escaped HTML characters would make each comparison in a rule five bytes longer.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(e); err != nil {
		return nil, fmt.Errorf("encode rules entry: %w", err)
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// DecodeEntry reads an element of the rules stream.
func DecodeEntry(data []byte) (Entry, error) {
	if len(data) > maxEncoded {
		return Entry{}, errTooLong
	}
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Entry{}, fmt.Errorf("decode rules entry: %w", err)
	}
	switch {
	case e.ID == "":
		return Entry{}, errNoID
	case len(e.Text) > MaxBytes:
		return Entry{}, errTooLong
	}
	return e, nil
}

// Kept reports whether the entry repeats its base without a change.
func (e Entry) Kept() bool { return strings.HasPrefix(e.ID, keepPrefix) }
