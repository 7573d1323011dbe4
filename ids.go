package oleanderline

// Identifiers. All are opaque to the scheduler and compared byte by byte.
type (
	// TaskID identifies one task of a job, in the form "job/index".
	TaskID string
	// JobID identifies a submitted job.
	JobID string
	// TeamID identifies the team whose quota a job counts against.
	TeamID string
	// VMID identifies a VM of any role, as the VM list names it.
	VMID string
	// WorkerID identifies the worker that runs on a VM.
	WorkerID string
	// MinionID identifies a minion: one back end of a latency-critical service.
	MinionID string
	// ServiceID identifies a latency-critical service.
	ServiceID string
	// DomainID identifies a failure domain inside a region.
	DomainID string
	// RegionID identifies a region.
	RegionID string
	// RackID identifies a rack inside a failure domain.
	RackID string
	// WriterID identifies one incarnation of a process that appends to a KeyedLog.
	WriterID string
	// QueueID identifies a job queue.
	QueueID string
	// PoolID identifies a group of workers that serves queues.
	PoolID string
	// Stream names an append-only stream of the log service.
	Stream string
)

// ShardID numbers a group of workers that is owned by one scheduler at a time.
type ShardID int

// Attempt numbers the assignments of a task to workers, from 1.
type Attempt int

// Offset is the position of an entry in a stream, from 1. Zero means "before the first entry". A KeyedLog counts from 0 instead.
type Offset int64

// Term is the fencing token of a shard's owner: the offset of the owner's claim record in the shard's stream. The term of
// a cell's leader is one more than the offset of its claim record, because a KeyedLog counts from 0.
type Term Offset

// Revision identifies a version of the rules by the offset of its entry in the rules stream.
type Revision Offset
