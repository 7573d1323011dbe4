package minion

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Cause is the reason why an exchange has no valid answer.
type Cause string

// Causes, as they appear in logs, metrics and the caller's Oleander-Reason header.
const (
	CauseDial            Cause = "dial"             // no connection could be opened
	CauseConnectionLimit Cause = "connection-bound" // all connections that the entry may open to the minion are in use
	CauseUnsent          Cause = "not-sent"         // the exchange failed before a byte of the request was written
	CauseRefused         Cause = "refused"          // the minion refused the request before running it
	CauseLeaving         Cause = "leaving"          // the minion refused the request because it is leaving
	CauseTimeout         Cause = "timeout"          // no answer before the deadline
	CauseBroken          Cause = "broken"           // the exchange failed after a part of the request was written
	CauseCallerGone      Cause = "caller-gone"      // the caller cancelled the request
	CauseUnframed        Cause = "unframed-answer"  // the answer has neither a length nor chunks, so a truncation could not be detected
	CauseRequestBody     Cause = "request-body"     // the body of the caller's request could not be read to its end
)

// Failure is the error of an exchange without a valid answer.
type Failure struct {
	Result     oleanderline.Result // ResultNotRun or ResultUnknown
	Cause      Cause
	RetryAfter time.Duration // from the minion's refusal; zero: unknown
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

// CountsForEjection reports whether the failure counts towards the ejection of the minion. After a timeout only the connection
// is closed; the result on a new connection shows whether the minion is at fault.
func (f *Failure) CountsForEjection() bool {
	switch f.Cause {
	case CauseDial, CauseBroken, CauseUnframed:
		return true
	default:
		return false
	}
}
