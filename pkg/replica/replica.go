// Package replica keeps what the records of the stream of jobs say. Every process has one and answers callers from it.
package replica

import (
	"maps"
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

func (r *Replica) applyRecord(rec oleanderline.KeyedRecord, now time.Time) (Change, error) {
	kind, id := record.Split(rec.Key)
	job := oleanderline.JobID(id)
	var err error
	switch kind {
	case record.KindJob:
		err = r.applyJob(job, rec)
	case record.KindCancel:
		if len(rec.Value) > 0 {
			r.applyCancel(r.entry(job), rec, now)
		}
	case record.KindProgress:
		err = r.applyProgress(job, rec, now)
	case record.KindWorker:
		err = r.applyWorker(oleanderline.WorkerID(id), rec)
	case record.KindNode:
		err = r.applyNode(oleanderline.VMID(id), rec)
	case record.KindWindow:
		err = r.applyWindow(id, rec)
	case record.KindLeader:
		err = r.applyLeader(rec)
	case record.KindPairs:
		r.pairs, err = record.Decode[[]pairs.Evidence](rec)
	}
	return Change{Kind: kind, Job: job, Leader: r.leader}, err
}

func (r *Replica) entry(id oleanderline.JobID) *Entry {
	entry := r.jobs[id]
	if entry == nil {
		entry = &Entry{}
		r.jobs[id] = entry
	}
	return entry
}

// applyCancel keeps the first cancellation.
func (r *Replica) applyCancel(entry *Entry, rec oleanderline.KeyedRecord, now time.Time) {
	if !entry.Cancelled {
		entry.Cancelled, entry.cancelledAt = true, rec.Offset
	}
	r.finish(entry, now)
}

func (r *Replica) finish(entry *Entry, now time.Time) {
	if entry.FinishedAt.IsZero() && entry.State().Final() {
		entry.FinishedAt = now
	}
}

// applyJob keeps the first submission of an id. The same one may be stored again by another process.
func (r *Replica) applyJob(id oleanderline.JobID, rec oleanderline.KeyedRecord) error {
	if len(rec.Value) == 0 {
		delete(r.jobs, id)
		return nil
	}
	if entry := r.jobs[id]; entry != nil && entry.Job.ID != "" {
		return nil
	}
	job, err := record.Decode[oleanderline.Job](rec)
	if err != nil {
		return err
	}
	job.ID = id
	r.entry(id).Job = job
	return nil
}

func (r *Replica) applyProgress(id oleanderline.JobID, rec oleanderline.KeyedRecord, now time.Time) error {
	if len(rec.Value) == 0 {
		delete(r.jobs, id)
		return nil
	}
	progress, err := record.Decode[record.Progress](rec)
	if err != nil {
		return err
	}
	entry := r.entry(id)
	if progress.State.Final() && !entry.Progress.State.Final() {
		entry.finalAt = rec.Offset
	}
	entry.Progress = progress
	r.finish(entry, now)
	return nil
}

func (r *Replica) applyWorker(id oleanderline.WorkerID, rec oleanderline.KeyedRecord) error {
	if len(rec.Value) == 0 {
		delete(r.workers, id)
		return nil
	}
	worker, err := record.Decode[record.Worker](rec)
	if err != nil {
		return err
	}
	worker.ID = id
	r.workers[id] = worker
	return nil
}

func (r *Replica) applyNode(vm oleanderline.VMID, rec oleanderline.KeyedRecord) error {
	if len(rec.Value) == 0 {
		delete(r.nodes, vm)
		return nil
	}
	node, err := record.Decode[record.Node](rec)
	if err != nil {
		return err
	}
	r.nodes[vm] = node
	return nil
}

func (r *Replica) applyWindow(key string, rec oleanderline.KeyedRecord) error {
	id, err := record.WindowOf(key)
	if err != nil {
		return err
	}
	progress, err := record.Decode[maintenance.Progress](rec)
	if err != nil {
		return err
	}
	r.windows[id] = progress
	return nil
}

func (r *Replica) applyLeader(rec oleanderline.KeyedRecord) error {
	leader, err := record.Decode[record.Leader](rec)
	if err != nil {
		return err
	}
	if leader.Term >= r.leader.Term {
		r.leader = leader
	}
	return nil
}

// Job returns a copy of a job as recorded.
func (r *Replica) Job(id oleanderline.JobID) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry := r.jobs[id]
	if entry == nil || entry.Job.ID == "" {
		return Entry{}, false
	}
	return *entry, true
}

// Jobs calls visit with a copy of each job.
func (r *Replica) Jobs(visit func(Entry)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.jobs {
		if entry.Job.ID != "" {
			visit(*entry)
		}
	}
}

// Waiting counts the jobs of a queue of which no task has started.
func (r *Replica) Waiting(queue oleanderline.QueueID) int {
	count := 0
	r.Jobs(func(entry Entry) {
		if entry.Job.Queue == queue && entry.State() == oleanderline.JobPending {
			count++
		}
	})
	return count
}

// Workers returns the workers on which tasks may run.
func (r *Replica) Workers() []record.Worker {
	r.mu.RLock()
	defer r.mu.RUnlock()
	workers := make([]record.Worker, 0, len(r.workers))
	for _, worker := range r.workers {
		workers = append(workers, worker)
	}
	return workers
}

// Leader returns the newest leader.
func (r *Replica) Leader() record.Leader {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leader
}

// MostCores returns the largest processor share of the processes that have introduced themselves.
func (r *Replica) MostCores() float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	most := 0.0
	for _, node := range r.nodes {
		most = max(most, node.Cores)
	}
	return most
}

// Peers returns the addresses of the processes other than self.
func (r *Replica) Peers(self oleanderline.VMID) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var addresses []string
	for vm, node := range r.nodes {
		if vm != self && node.Address != "" {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// Pairs returns what is known about pairs of images.
func (r *Replica) Pairs() []pairs.Evidence {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pairs
}

// Windows returns the progress of maintenance windows.
func (r *Replica) Windows() map[oleanderline.WindowID]maintenance.Progress {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.windows)
}

// Next returns the offset to read from.
func (r *Replica) Next() oleanderline.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.next
}

// Changed returns a channel that is closed by the next read.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Age returns how old the last successful read is, and whether there has been one.
func (r *Replica) Age(now time.Time) (time.Duration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.readAt), r.loaded
}

// Expired returns the jobs that finished longer ago than keep.
func (r *Replica) Expired(now time.Time, keep time.Duration) []oleanderline.JobID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []oleanderline.JobID
	for id, entry := range r.jobs {
		if !entry.FinishedAt.IsZero() && now.Sub(entry.FinishedAt) > keep {
			ids = append(ids, id)
		}
	}
	return ids
}
