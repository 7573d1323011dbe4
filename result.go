package oleanderline

// Result classifies what is known about a request after an exchange with a minion.
type Result int

// Results of an exchange. The zero value is ResultUnknown, so that a forgotten assignment is never read as a proof.
const (
	// ResultUnknown means that the request may or may not have run.
	ResultUnknown Result = iota
	// ResultAnswered means that the whole answer arrived.
	ResultAnswered
	// ResultNotRun means that the request is proved not to have run: it was refused before running, or no byte of it
	// was written.
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
