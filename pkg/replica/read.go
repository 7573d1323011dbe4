package replica

import (
	"maps"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Job returns a copy of the entry of a job. Jobs whose submission has not been read are unknown.
func (r *Replica) Job(id oleanderline.JobID) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry := r.jobs[id]
	if entry == nil || entry.Job.ID == "" {
		return Entry{}, false
	}
	return *entry, true
}

// Jobs calls visit with a copy of the entry of each job.
func (r *Replica) Jobs(visit func(Entry)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.jobs {
		if entry.Job.ID != "" {
			visit(*entry)
		}
	}
}

// PendingJobs returns the number of jobs of a queue of which no task has started.
func (r *Replica) PendingJobs(queue oleanderline.QueueID) int {
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

// Leader returns the leader with the highest term.
func (r *Replica) Leader() record.Leader {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.leader
}

// Intake returns the newest leader's verdict on new jobs and how long ago it was read. Without a verdict, no job is refused.
func (r *Replica) Intake(now time.Time) (record.Intake, time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.leader.Intake == nil {
		return record.Intake{}, 0
	}
	return *r.leader.Intake, now.Sub(r.leaderAt)
}

// LargeJobs returns how much memory the large jobs take up.
func (r *Replica) LargeJobs() oleanderline.ByteCount {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.largeJobs
}

// MaxCores returns the largest number of cores of a VM whose process has registered.
func (r *Replica) MaxCores() float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	maxCores := 0.0
	for _, node := range r.nodes {
		maxCores = max(maxCores, node.Cores)
	}
	return maxCores
}

// Nodes returns the processes that have registered.
func (r *Replica) Nodes() map[oleanderline.VMID]record.Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.nodes)
}

// PeerAddresses returns the addresses of all registered processes except that of self.
func (r *Replica) PeerAddresses(self oleanderline.VMID) []string {
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

// Pairs returns the recorded evidence about interference between pairs of images.
func (r *Replica) Pairs() []pairs.Evidence {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pairs
}

// Windows returns the recorded progress of maintenance windows.
func (r *Replica) Windows() map[oleanderline.WindowID]maintenance.Progress {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.windows)
}

// NextOffset returns the offset from which the next read continues.
func (r *Replica) NextOffset() oleanderline.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.nextOffset
}

// Updated returns a channel that is closed when the next read is applied.
func (r *Replica) Updated() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.updated
}

// Age returns how long ago the stream held no record that the replica lacks, and whether that is known. Whatever was stored earlier
// has been read, so a job that is not known did not exist then.
func (r *Replica) Age(now time.Time) (time.Duration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.complete.at), !r.complete.at.IsZero()
}

// ReadAge returns the time since the last successful read, and whether there has been one. It does not tell how recent the records
// are that were read; Age does.
func (r *Replica) ReadAge(now time.Time) (time.Duration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.readAt), r.loaded
}

// Expired returns the jobs that finished more than retention ago.
func (r *Replica) Expired(now time.Time, retention time.Duration) []oleanderline.JobID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []oleanderline.JobID
	for id, entry := range r.jobs {
		if !entry.FinishedAt.IsZero() && now.Sub(entry.FinishedAt) > retention {
			ids = append(ids, id)
		}
	}
	return ids
}
