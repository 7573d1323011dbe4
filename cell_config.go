package oleanderline

import "time"

// CellConfig is one version of what operators publish for a cell: its queues and the pools that serve them.
type CellConfig struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	MaxBody int64 // bytes of a submission; 0 means no bound
}

// Queue receives jobs under one host and path prefix.
type Queue struct {
	ID          QueueID
	Pool        PoolID
	Host        string
	Prefix      string
	Priority    int // 0 comes first
	MaxAttempts int // failed attempts of a task before its job fails
	Stretch     float64
	Latency     time.Duration // added to the stretched critical path, the latency objective of a job
	Advice      AdvicePolicy
}

// AdvicePolicy bounds the use of an adviser that restricts a step to some workers. The zero value means no adviser.
type AdvicePolicy struct {
	Decision  time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Needed reports whether starts need a ticket from the adviser.
func (p AdvicePolicy) Needed() bool { return p.Validity > 0 }

// Pool is a group of workers that serves queues.
type Pool struct {
	ID      PoolID
	Guarded bool // its workers refuse what does not fit
	Standby bool // its VMs are off until moved to another pool
}

// Queue returns the queue with the given id.
func (c *CellConfig) Queue(id QueueID) (Queue, bool) {
	for _, q := range c.Queues {
		if q.ID == id {
			return q, true
		}
	}
	return Queue{}, false
}
