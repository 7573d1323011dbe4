package minion

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Cause tells why an exchange brought no answer.
type Cause string

// Causes, as they appear in logs, metrics and the caller's Oleander-Reason header.
const (
	CauseDial     Cause = "dial"             // no connection could be opened
	CauseBound    Cause = "connection-bound" // every connection that the entry may hold to the minion is in use
	CauseUnsent   Cause = "not-sent"         // the connection ended before a byte of the request was written
	CauseRefused  Cause = "refused"          // the minion refused before running
	CauseLeaving  Cause = "leaving"          // the minion refused because it leaves
	CauseTimeout  Cause = "timeout"          // no answer before the deadline
	CauseBroken   Cause = "broken"           // the connection ended after a part of the request was written
	CauseCaller   Cause = "caller-gone"      // the caller gave up
	CauseUnframed Cause = "unframed-answer"  // the answer has neither a length nor chunks, so a cut would go unseen
	CauseBody     Cause = "request-body"     // the caller's body could not be read to its end
)

// Failure is the error of an exchange without an answer.
type Failure struct {
	Result     oleanderline.Result // ResultNotRun or ResultUnknown
	Cause      Cause
	RetryAfter time.Duration // from the minion's refusal; zero: not known
	Err        error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Result, f.Cause)
	}
	return fmt.Sprintf("%s: %s: %v", f.Result, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// BlamesMinion reports whether the failure counts for the minion's ejection. A timeout retires only the connection; the
// next fresh connection decides about the minion.
func (f *Failure) BlamesMinion() bool {
	switch f.Cause {
	case CauseDial, CauseBroken, CauseUnframed:
		return true
	default:
		return false
	}
}
