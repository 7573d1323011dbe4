// Package replica keeps what the records of the stream of jobs say. Every process has one and answers callers from it.
package replica

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Entry is one job as recorded.
type Entry struct {
	Job       oleanderline.Job
	Progress  record.Progress
	Cancelled bool
	// cancelledAt and finalAt are the offsets of the cancellation and of the final state: the one that was stored first
	// counts, in whatever order they are read.
	cancelledAt, finalAt oleanderline.Offset
	// FinishedAt is when this process saw that the job had finished.
	FinishedAt time.Time
}

// State returns what callers see.
func (e *Entry) State() oleanderline.JobState {
	switch {
	case e.Progress.State.Final() && (!e.Cancelled || e.finalAt < e.cancelledAt):
		return e.Progress.State
	case e.Cancelled:
		return oleanderline.JobCancelled
	case e.Progress.Started:
		return oleanderline.JobRunning
	}
	return oleanderline.JobPending
}

// Change is one step that the replica has taken.
type Change struct {
	Kind   record.Kind
	Job    oleanderline.JobID
	Leader record.Leader // for KindLeader
}

// Replica is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	jobs    map[oleanderline.JobID]*Entry
	workers map[oleanderline.WorkerID]record.Worker
	leader  record.Leader
	pairs   []pairs.Evidence
	nodes   map[oleanderline.VMID]record.Node
	windows map[oleanderline.WindowID]maintenance.Progress
	next    oleanderline.Offset
	changed chan struct{} // closed and replaced by each read
	loaded  bool
	readAt  time.Time
	faulty  func(error)
}

// New returns an empty replica. Records that cannot be decoded are passed to faulty and skipped.
func New(faulty func(error)) *Replica {
	return &Replica{
		jobs:    map[oleanderline.JobID]*Entry{},
		workers: map[oleanderline.WorkerID]record.Worker{},
		nodes:   map[oleanderline.VMID]record.Node{},
		windows: map[oleanderline.WindowID]maintenance.Progress{},
		changed: make(chan struct{}),
		faulty:  faulty,
	}
}

// Load replaces everything by the newest record of each key.
func (r *Replica) Load(batch oleanderline.KeyedBatch, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = map[oleanderline.JobID]*Entry{}
	r.workers = map[oleanderline.WorkerID]record.Worker{}
	r.nodes = map[oleanderline.VMID]record.Node{}
	r.windows = map[oleanderline.WindowID]maintenance.Progress{}
	r.loaded = true
	return r.apply(batch, now)
}

// Apply takes over the records of a read.
func (r *Replica) Apply(batch oleanderline.KeyedBatch, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apply(batch, now)
}

func (r *Replica) apply(batch oleanderline.KeyedBatch, now time.Time) []Change {
	var changes []Change
	for _, rec := range batch.Records {
		change, err := r.applyRecord(rec, now)
		if err != nil {
			r.faulty(err)
			continue
		}
		if change.Kind != record.KindUnknown {
			changes = append(changes, change)
		}
	}
	r.next = batch.Next
	r.readAt = now
	close(r.changed)
	r.changed = make(chan struct{})
	return changes
}
