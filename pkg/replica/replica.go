// Package replica holds the state of a cell in memory, as built from the records in the stream of jobs. Every process has a
// replica and answers its callers from it.
package replica

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Entry is the recorded state of one job.
type Entry struct {
	Job       oleanderline.Job
	Progress  record.Progress
	Cancelled bool
	// cancelOffset and finalOffset are the offsets of the cancellation and of the final state. The one that was stored first
	// takes effect, in whatever order they are read.
	cancelOffset, finalOffset oleanderline.Offset
	// FinishedAt is when this process read that the job had finished.
	FinishedAt time.Time
}

// State returns the state of the job as reported to callers.
func (e *Entry) State() oleanderline.JobState {
	switch {
	case e.Progress.State.Final() && (!e.Cancelled || e.finalOffset < e.cancelOffset):
		return e.Progress.State
	case e.Cancelled:
		return oleanderline.JobCancelled
	case e.Progress.Started:
		return oleanderline.JobRunning
	}
	return oleanderline.JobPending
}

// Change describes a record that was applied to the replica.
type Change struct {
	Kind   record.Kind
	Job    oleanderline.JobID
	Leader record.Leader // the newest leader, for KindLeader
	Node   record.Node   // the process that has registered, for KindNode
}

// Replica is the state of a cell as this process has read it. It is safe for concurrent use.
type Replica struct {
	mu          sync.RWMutex
	jobs        map[oleanderline.JobID]*Entry
	largeJobs   oleanderline.ByteCount // memory of the large ones among jobs
	workers     map[oleanderline.WorkerID]record.Worker
	leader      record.Leader
	leaderAt    time.Time // when the newest leader record was read
	pairs       []pairs.Evidence
	nodes       map[oleanderline.VMID]record.Node
	windows     map[oleanderline.WindowID]maintenance.Progress
	nextOffset  oleanderline.Offset
	updated     chan struct{} // closed and replaced by each read
	loaded      bool
	readAt      time.Time // when the newest read was applied
	complete    milestone // the newest one that has been reached
	pending     milestone // the oldest one that has not been reached yet; without a time if there is none
	onMalformed func(error)
}

// milestone is an offset at which the stream ended at a time.
type milestone struct {
	end oleanderline.Offset
	at  time.Time
}

// New returns an empty replica. It skips malformed records and passes their errors to onMalformed.
func New(onMalformed func(error)) *Replica {
	return &Replica{
		jobs:        map[oleanderline.JobID]*Entry{},
		workers:     map[oleanderline.WorkerID]record.Worker{},
		nodes:       map[oleanderline.VMID]record.Node{},
		windows:     map[oleanderline.WindowID]maintenance.Progress{},
		updated:     make(chan struct{}),
		onMalformed: onMalformed,
	}
}

// Load replaces the jobs, workers, nodes and windows by those in a batch that holds the newest record of each key. The stream ended
// at batch.End no earlier than asOf.
func (r *Replica) Load(batch oleanderline.KeyedBatch, asOf, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.jobs
	r.jobs = map[oleanderline.JobID]*Entry{}
	r.largeJobs = 0
	r.workers = map[oleanderline.WorkerID]record.Worker{}
	r.nodes = map[oleanderline.VMID]record.Node{}
	r.windows = map[oleanderline.WindowID]maintenance.Progress{}
	r.loaded = true
	r.complete, r.pending = milestone{}, milestone{}
	changes := r.apply(batch, asOf, now)
	r.keepFinishTimes(known)
	return changes
}

// keepFinishTimes takes over when jobs finished, so that their retention does not begin anew with each load.
func (r *Replica) keepFinishTimes(known map[oleanderline.JobID]*Entry) {
	for id, entry := range r.jobs {
		if earlier := known[id]; earlier != nil && !earlier.FinishedAt.IsZero() && !entry.FinishedAt.IsZero() {
			entry.FinishedAt = earlier.FinishedAt
		}
	}
}

// Apply applies the records of a read to the replica. The stream ended at batch.End no earlier than asOf.
func (r *Replica) Apply(batch oleanderline.KeyedBatch, asOf, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apply(batch, asOf, now)
}

func (r *Replica) apply(batch oleanderline.KeyedBatch, asOf, now time.Time) []Change {
	var changes []Change
	for _, rec := range batch.Records {
		change, err := r.applyRecord(rec, now)
		if err != nil {
			r.onMalformed(err)
			continue
		}
		if change.Kind != record.KindUnknown {
			changes = append(changes, change)
		}
	}
	r.nextOffset = batch.Next
	r.readAt = now
	r.observeEnd(milestone{end: batch.End, at: asOf})
	close(r.updated)
	r.updated = make(chan struct{})
	return changes
}

// observeEnd notes where the stream ended at the time of a read. A read can return fewer records than there are; then the replica
// is as recent as this read only once later ones have reached that offset.
func (r *Replica) observeEnd(end milestone) {
	if !r.pending.at.IsZero() && r.nextOffset >= r.pending.end {
		r.complete, r.pending = r.pending, milestone{}
	}
	switch {
	case r.nextOffset >= end.end:
		r.complete = end
	case r.pending.at.IsZero():
		r.pending = end
	}
}
