package common

// Events of the entry.
const (
	EventBadRequest     Event = "E2001" // a caller's request was refused for what it says; at most 5 a second are logged
	EventAnswerCut      Event = "E2002" // an answer broke off, or its caller left; the caller sees a closed connection
	EventServiceUnknown Event = "E2003" // callers ask for a service without minions; check the VM list
	EventMinionLeaving  Event = "E2004" // a minion says that it leaves; it gets nothing new
	EventProbeFailed    Event = "E2005" // a fresh connection to a minion failed; it may be ejected
	EventPaused         Event = "E2006" // the process stood still for longer than the heartbeat timeout; keyed requests wait
	EventKeysLost       Event = "E2007" // a home of idempotency keys died; its keys are decided by their backups; 409 if another entry was lost within the time for which keys are kept
	EventLeaveFailed    Event = "E2008" // the keys could not be handed to peers at a planned stop
	EventTaskQueueFull  Event = "E2009" // probes were dropped because too many wait
	EventListenerFailed Event = "E2010" // a listener ended unexpectedly; the daemon stops
)
