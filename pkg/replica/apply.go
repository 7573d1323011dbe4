package replica

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/heldjobs"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// applyRecord applies one record. A record without a value removes the job, worker or process of its key.
func (r *Replica) applyRecord(rec oleanderline.KeyedRecord, now time.Time) (Change, error) {
	kind, id := record.ParseKey(rec.Key)
	job := oleanderline.JobID(id)
	var err error
	switch kind {
	case record.KindJob:
		err = r.applyJob(job, rec)
	case record.KindCancel:
		if len(rec.Value) > 0 {
			r.applyCancel(r.ensureEntry(job), rec, now)
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
		err = r.applyLeader(rec, now)
	case record.KindPairs:
		r.pairs, err = record.Decode[[]pairs.Evidence](rec)
	}
	change := Change{Kind: kind, Job: job, Leader: r.leader}
	if kind == record.KindNode {
		change.Node = r.nodes[oleanderline.VMID(id)]
	}
	return change, err
}

// ensureEntry returns the entry of a job and creates it if there is none, since a progress record may be read before the
// submission.
func (r *Replica) ensureEntry(id oleanderline.JobID) *Entry {
	entry := r.jobs[id]
	if entry == nil {
		entry = &Entry{}
		r.jobs[id] = entry
	}
	return entry
}

// applyCancel keeps the first cancellation of a job.
func (r *Replica) applyCancel(entry *Entry, rec oleanderline.KeyedRecord, now time.Time) {
	if !entry.Cancelled {
		entry.Cancelled, entry.cancelOffset = true, rec.Offset
	}
	r.markFinished(entry, now)
}

func (r *Replica) markFinished(entry *Entry, now time.Time) {
	if entry.FinishedAt.IsZero() && entry.State().Final() {
		entry.FinishedAt = now
	}
}

// applyJob keeps the first submission of a job. Another process may have stored the same one again.
func (r *Replica) applyJob(id oleanderline.JobID, rec oleanderline.KeyedRecord) error {
	if len(rec.Value) == 0 {
		r.deleteJob(id)
		return nil
	}
	if entry := r.jobs[id]; entry != nil && entry.Job.ID != "" {
		return nil
	}
	job, err := record.Decode[oleanderline.Job](rec)
	if err != nil {
		return err
	}
	if err := job.Validate(); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	job.ID = id
	r.ensureEntry(id).Job = job
	r.largeJobs += heldjobs.Size(&job)
	return nil
}

func (r *Replica) deleteJob(id oleanderline.JobID) {
	if entry := r.jobs[id]; entry != nil {
		r.largeJobs -= heldjobs.Size(&entry.Job)
		delete(r.jobs, id)
	}
}

func (r *Replica) applyProgress(id oleanderline.JobID, rec oleanderline.KeyedRecord, now time.Time) error {
	if len(rec.Value) == 0 {
		r.deleteJob(id)
		return nil
	}
	progress, err := record.Decode[record.Progress](rec)
	if err != nil {
		return err
	}
	entry := r.ensureEntry(id)
	if progress.State.Final() && !entry.Progress.State.Final() {
		entry.finalOffset = rec.Offset
	}
	entry.Progress = progress
	r.markFinished(entry, now)
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
	id, err := record.ParseWindowID(key)
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

func (r *Replica) applyLeader(rec oleanderline.KeyedRecord, now time.Time) error {
	leader, err := record.Decode[record.Leader](rec)
	if err != nil {
		return err
	}
	if leader.Term >= r.leader.Term {
		r.leader, r.leaderAt = leader, now
	}
	return nil
}
