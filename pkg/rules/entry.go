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

// MaxBytes is the maximum length of the text of a revision. 10,000 rules take about 0.8 MB.
const MaxBytes = 1 << 20

// maxEncoded is the maximum length of an encoded entry. JSON takes up to six bytes for one character.
const maxEncoded = 6*MaxBytes + 4096

// republishPrefix starts the id of an entry that republishes the rules in force unchanged; see WithRepublish.
const republishPrefix = "keep-"

// Entry is an entry of the rules stream. If it is accepted, its offset is its revision.
type Entry struct {
	ID   string                `json:"id"`   // chosen by the publisher, which uses it to find its entry after a lost answer
	Base oleanderline.Revision `json:"base"` // the revision that the publisher's change is based on
	By   string                `json:"by"`
	Time time.Time             `json:"time"`
	Text string                `json:"text,omitempty"`
	// Sum is the checksum of the text. It is set if the entry holds, instead of its text, the edits that turn the text of
	// its base into it.
	Sum  string `json:"sum,omitempty"`
	Edit []Edit `json:"edit,omitempty"`
}

// HasFullText reports whether the entry holds its full text instead of edits to the text of its base.
func (e Entry) HasFullText() bool { return e.Sum == "" }

// resolve returns the text of the entry. base is the text of its base revision.
func (e Entry) resolve(base string) (string, error) {
	if e.HasFullText() {
		return e.Text, nil
	}
	text, err := applyEdits(base, e.Edit)
	if err != nil {
		return "", err
	}
	if checksum(text) != e.Sum {
		return "", errEditMismatch
	}
	return text, nil
}

var (
	errNoID    = errors.New("rules entry without id")
	errTooLong = fmt.Errorf("rules text is longer than %d bytes", MaxBytes)
)

// Encode returns the encoding of the entry on the rules stream.
func (e Entry) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	// HTML escaping would make each comparison sign in a rule five bytes longer.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(e); err != nil {
		return nil, fmt.Errorf("encode rules entry: %w", err)
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// DecodeEntry decodes an entry of the rules stream.
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

// IsRepublished reports whether the entry republishes its base unchanged.
func (e Entry) IsRepublished() bool { return strings.HasPrefix(e.ID, republishPrefix) }
