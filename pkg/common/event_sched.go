package common

// Events of the scheduler.
const (
	EventShardClaimed      Event = "E3001" // this process owns a shard; it asks every worker for its inventory
	EventShardLost         Event = "E3002" // another process owns a shard that this one owned
	EventShardGap          Event = "E3003" // entries of a shard's stream were lost to retention; the state is read again
	EventShardReleased     Event = "E3004" // a planned stop could not hand over every shard in time; the leases decide
	EventLogSlow           Event = "E3005" // an append has been without an answer for a second; placement pauses
	EventLogFast           Event = "E3006" // appends are answered again
	EventEntryMalformed    Event = "E3007" // an entry of a shard's stream is not a group of records; find out who writes there
	EventWorkerFailed      Event = "E3008" // a call to a worker failed; its leases expire if it stays unreachable
	EventSchedListenFail   Event = "E3009" // a listener ended unexpectedly; the daemon does not serve on it any more
	EventWorkerDrains      Event = "E3010" // a rule drains a worker: its batch tasks are moved and it gets no new ones; the field names the rule and who asked
	EventWorkerDrainEnds   Event = "E3011" // no rule drains a worker any more
	EventWorkerQuarantined Event = "E3020" // a worker fails tasks that succeed elsewhere and gets no work for now; look at the worker
	EventWorkerReadmitted  Event = "E3021" // a quarantined worker has completed its probes
)
