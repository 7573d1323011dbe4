package oleanderline

import "time"

// CellConfig is one version of the configuration that operators publish for a cell: its queues and the pools that serve them.
type CellConfig struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	MaxBody int64 // limit on the size of a submission in bytes; 0 means no limit
}

// Queue receives jobs under one host and path prefix.
type Queue struct {
	ID          QueueID
	Pool        PoolID
	Host        string
	Prefix      string
	Priority    int           // lower values are served first, from 0
	MaxAttempts int           // a job fails once one of its tasks has failed this often
	Stretch     float64       // factor on the length of a job's critical path in the job's latency objective
	Latency     time.Duration // added to the stretched critical path to give the latency objective
	Advice      AdvicePolicy
}

// AdvicePolicy describes the Adviser of a queue. The zero value means that steps of the queue need no advice.
type AdvicePolicy struct {
	Decision  time.Duration // fixed part of the time limit of a call
	PerWorker time.Duration // part of the time limit for each worker that a call names
	Validity  time.Duration // how long a ticket is valid
}

// Needed reports whether a start requires a ticket from the Adviser.
func (p AdvicePolicy) Needed() bool { return p.Validity > 0 }

// Pool is a group of workers that serves queues.
type Pool struct {
	ID             PoolID
	AdmissionCheck bool // its workers refuse a start that exceeds their free capacity
	Standby        bool // its VMs are switched off until they are moved to another pool
}

// Queue returns the queue with the given id, and whether it exists.
func (c *CellConfig) Queue(id QueueID) (Queue, bool) {
	for _, q := range c.Queues {
		if q.ID == id {
			return q, true
		}
	}
	return Queue{}, false
}
