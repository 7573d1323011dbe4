package common

// Events of a leader about steps of which every run fails.
const (
	EventStepFailing Event = "E6100" // every run of a step has failed so far, on several workers, so its tasks run a few at a time; the field task names the one that failed last. If E6023 "failed" follows, the job could not be done: its caller should look at it
	EventStepSound   Event = "E6101" // a run has completed a task of a step after E6100, so the tasks of the step run as usual again
)
