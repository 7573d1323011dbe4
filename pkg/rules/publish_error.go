package rules

import (
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Errors of Publisher.Publish. ErrOutcomeUnknown means that the entry may still be accepted; the other ones mean that
// nothing was published.
var (
	ErrOutcomeUnknown = errors.New("the outcome is unknown")
	ErrInvalid        = errors.New("the rules have errors")
	ErrUnsettled      = errors.New("the newest revision is not known: entries of the rules stream were lost to retention " +
		"and no own VM answered with its rules")
	errRefused = errors.New("the entry lost the race")
)

// RaceError means that another revision than the base was accepted last.
type RaceError struct {
	Base      oleanderline.Revision
	Revision  oleanderline.Revision // accepted last
	By        string                // who published it
	Published time.Time
	Changes   []Change // from the base to Revision, if BaseKnown
	BaseKnown bool     // false if the base is no longer in the stream
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the base is revision %d, but %s published revision %d at %s",
		e.Base, e.By, e.Revision, e.Published.UTC().Format(time.RFC3339))
}
