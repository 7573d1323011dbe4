package oleanderline

import "errors"

// Errors that implementations of the interfaces wrap and callers match with errors.Is.
var (
	// ErrUncertain means that no answer arrived: the operation may have taken effect, or may still do so.
	ErrUncertain = errors.New("answer lost, the operation may have taken effect")
	// ErrUnavailable means that the operation did not take effect because the other side is down or refused it.
	ErrUnavailable = errors.New("unavailable, the operation did not take effect")
	// ErrOverloaded means that a job was not stored and never runs, because more tasks wait than the leader can start in time.
	ErrOverloaded = errors.New("more tasks wait than can be started in time, the job was not stored")
	// ErrLargeJobs means that a job was not stored and never runs, because the large jobs of the cell take up too much memory.
	ErrLargeJobs = errors.New("large jobs take up too much memory, the job was not stored")
	// ErrTooLarge means that a job was not stored and never runs, because its record is larger than the log accepts.
	ErrTooLarge = errors.New("the job is larger than can be stored")
	// ErrFenced means that the other side has already seen a newer term, or that the attempt has already been stopped.
	ErrFenced = errors.New("fenced by a newer term or an earlier stop")
	// ErrCapacity means that a worker refused a start because its free capacity does not cover the declared size.
	ErrCapacity = errors.New("not enough free capacity")
)
