package common

// Events of the speed of workers and of speculative copies.
const (
	EventCopy        Event = "E6090" // a speculative copy of a task was started, because the run in progress is expected to take too long; the message compares the expected times. E6030 of the same run has the decision
	EventWorkerSpeed Event = "E6091" // a worker takes much longer for its tasks than others, or no longer does; the message says how much. Urgent tasks start elsewhere meanwhile
)
