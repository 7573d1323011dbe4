package common

// Events of the scheduler daemon.
const (
	EventShardClaimed        Event = "E3001" // this process became the owner of a shard and requests the inventory of every worker
	EventShardLost           Event = "E3002" // another process became the owner of a shard that this process owned
	EventShardGap            Event = "E3003" // entries of a shard's stream were removed by retention before this process read them; it reads the state again
	EventShardHandoverFailed Event = "E3004" // a planned stop ended before other schedulers had taken over every shard; tasks of the remaining shards run until their leases expire, unless a new owner renews them
	EventAppendsStalled      Event = "E3005" // an append has had no answer for 1 s; the placement of tasks is paused until the log service answers; check the log service
	EventAppendsResumed      Event = "E3006" // the log service answers appends again after E3005
	EventEntryMalformed      Event = "E3007" // an entry of a shard's stream is not a group of records and is skipped; find out who writes to the stream
	EventWorkerFailed        Event = "E3008" // a call to a worker failed; its leases expire if it stays unreachable. Logged once until a call succeeds; check the worker if it stays unreachable
	EventSchedListenerFailed Event = "E3009" // a listener failed unexpectedly and the daemon no longer serves on it; restart the daemon
	EventWorkerDrains        Event = "E3010" // a rule drains a worker: its batch tasks are moved and it gets no new ones; the field rule names the rule and who requested it
	EventWorkerDrainEnds     Event = "E3011" // no rule drains the worker any longer; it gets tasks again
	EventWorkerQuarantined   Event = "E3020" // a worker was put in quarantine because tasks fail on it that succeed elsewhere; it gets no tasks for now. The field quarantined has the number of such workers in the shard; check the worker
	EventWorkerReadmitted    Event = "E3021" // a quarantined worker completed its probe tasks and left quarantine
)
