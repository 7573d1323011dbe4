package replica

import (
	"maps"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

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

// Nodes returns the processes that have introduced themselves.
func (r *Replica) Nodes() map[oleanderline.VMID]record.Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.nodes)
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
