package groupcommit

// Result is the result of an append.
type Result int

// Results of an append.
const (
	Answered Result = iota
	Refused         // the log has not carried it out
	Lost            // no answer, or one that does not tell
)

// HandOver is the result of a call to an appender.
type HandOver int

// Results of calls to appenders.
const (
	HandOverStored    HandOver = iota
	HandOverNotInTime          // it cannot store the record before the caller's deadline
	HandOverFailed             // it has not answered, or cannot store anything
)
