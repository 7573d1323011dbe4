package oleanderline

// Identifiers. All are opaque to the scheduler and compared byte by byte.
type (
	// TaskID identifies one task of a job, in the form "job/index".
	TaskID string
	// JobID identifies a submitted job.
	JobID string
	// TeamID identifies a caller for the purpose of quotas.
	TeamID string
	// VMID identifies a VM of any role, as the VM list names it.
	VMID string
	// WorkerID identifies the worker that runs on a VM.
	WorkerID string
	// MinionID identifies one back end of a service.
	MinionID string
	// ServiceID identifies a latency-critical service.
	ServiceID string
	// DomainID identifies a failure domain inside a region.
	DomainID string
	// RegionID identifies a region.
	RegionID string
	// RackID identifies a rack inside a failure domain.
	RackID string
	// WriterID identifies one incarnation of a process that appends records.
	WriterID string
	// QueueID identifies a queue of jobs.
	QueueID string
	// PoolID identifies a group of workers that serves queues.
	PoolID string
	// Stream names an append-only stream of the log service.
	Stream string
)

// ShardID numbers a group of workers that one scheduler owns at a time.
type ShardID int

// Attempt counts the assignments of a task, from 1.
type Attempt int

// Offset is the position of an entry in a stream, from 1. Zero means "before the first entry".
type Offset int64

// Term fences owners of a shard: it is the offset of the owner's claim record in the shard's stream.
type Term Offset

// Revision identifies a version of the rules: it is the offset of its entry in the rules stream.
type Revision Offset
