package oleanderline

// Result classifies the outcome of a request after an exchange with a minion.
type Result int

// Results of an exchange. The zero value is ResultUnknown, so that a missing assignment is never taken as proof that a request
// has or has not run.
const (
	// ResultUnknown means that the request may or may not have run.
	ResultUnknown Result = iota
	// ResultAnswered means that the complete answer arrived.
	ResultAnswered
	// ResultNotRun means that the request has certainly not run: it was refused before it ran, or no byte of it was sent.
	ResultNotRun
)

// String returns the name used in headers, logs and metrics.
func (r Result) String() string {
	switch r {
	case ResultAnswered:
		return "answered"
	case ResultNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}
