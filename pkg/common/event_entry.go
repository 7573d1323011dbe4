package common

// Events of the entry daemon.
const (
	EventBadRequest        Event = "E2001" // a caller's request was invalid and was refused; the fields say why; correct the caller. At most 5 lines a second are logged
	EventAnswerTruncated   Event = "E2002" // an answer could not be forwarded completely, because the minion's answer ended early or the caller disconnected; the connection to the caller was closed. At most 5 lines a second are logged
	EventServiceUnknown    Event = "E2003" // callers request a service that has no minions; check the VM list and the caller's service name. At most 5 lines a second are logged
	EventMinionLeaving     Event = "E2004" // a minion announced that it is leaving, or withdrew the announcement, as the field leaving says; a leaving minion gets no new requests
	EventProbeFailed       Event = "E2005" // a probe over a new connection to a minion failed; the minion may be ejected; check the minion if this recurs
	EventProcessPaused     Event = "E2006" // the process was suspended for longer than the heartbeat timeout; requests with an idempotency key wait until it has sent a round of heartbeats to its peers; check the VM for CPU starvation or suspension
	EventKeysLost          Event = "E2007" // an entry that was the home of idempotency keys failed; their backups decide about these keys. If another entry was lost within the retention time of keys, requests with affected keys may be refused with status 409
	EventKeyHandoverFailed Event = "E2008" // idempotency keys could not be handed over to peers during a planned stop; the peers treat the stop like a failure, see E2007
	EventProbeQueueFull    Event = "E2009" // a probe of a minion was dropped because the probe queue is full; the probe counts as successful
	EventListenerFailed    Event = "E2010" // a listener failed unexpectedly and the daemon stops; check the error and restart it
)
