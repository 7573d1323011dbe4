package common

// Events of appenders.
const (
	EventAppendsShared  Event = "E6070" // the log answers slowly, refuses this process, or takes so many records that it would soon be slow: this process hands its submissions and cancellations to an appender from now on; the fields give the answer time of its appends lately (answer, 0 if there were none) and the first appender. If only one process logs this, look at its connection to the log
	EventAppendsOwn     Event = "E6071" // this process appends its submissions and cancellations itself again
	EventHandOverFailed Event = "E6072" // a process has not stored a record; the fields name the record (its key ends with the job's id), the process that was asked (appender) and the seconds until its answer (took). Another one is tried unless the error says that the log answers too slowly
	EventHandOver       Event = "E6073" // an appender has stored a record for this process; fields as in E6072
)
