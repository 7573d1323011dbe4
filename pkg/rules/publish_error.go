package rules

import (
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Errors returned by Publisher.Publish. ErrOutcomeUnknown means that the entry may still be accepted; the others mean that
// nothing was published.
var (
	ErrOutcomeUnknown = errors.New("the outcome is unknown")
	ErrInvalid        = errors.New("the rules have errors")
	ErrUnsettled      = errors.New("the newest revision is not known: entries of the rules stream were lost to retention " +
		"and no own VM answered with its rules")
	errEntryRefused = errors.New("the entry was refused: its base is not the newest revision")
)

// ConflictError means that the base of the request is not the newest revision.
type ConflictError struct {
	Base      oleanderline.Revision
	Revision  oleanderline.Revision // the newest revision
	By        string                // who published Revision
	Published time.Time
	Changes   []Change // from the base to Revision; valid if BaseKnown
	BaseKnown bool     // false if the base has been removed from the stream
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the base is revision %d, but %s published revision %d at %s",
		e.Base, e.By, e.Revision, e.Published.UTC().Format(time.RFC3339))
}
