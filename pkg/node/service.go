package node

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// Limits of RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
	// maxBacklogDelay bounds the part that follows the backlog of starts. The backlog is estimated anew several times a second.
	maxBacklogDelay = 10 * time.Second
)

// Queue implements oleanderline.JobService.
func (n *Node) Queue(host, path string) (queue oleanderline.Queue, rest string, err error) {
	config := n.config.Load()
	if config == nil {
		return oleanderline.Queue{}, "", oleanderline.ErrNotReady
	}
	longest := -1
	for _, q := range config.Queues {
		if q.Host == host && len(q.Prefix) > longest && strings.HasPrefix(path, q.Prefix) {
			queue, longest = q, len(q.Prefix)
		}
	}
	if longest < 0 {
		return oleanderline.Queue{}, "", oleanderline.ErrUnknownQueue
	}
	return queue, path[longest:], nil
}

// Submit implements oleanderline.JobService.
func (n *Node) Submit(ctx context.Context, job oleanderline.Job) error {
	n.waitForRecords(ctx)
	if entry, ok := n.replica.Job(job.ID); ok {
		return n.repeated(entry, job)
	}
	if err := n.refusal(&job); err != nil {
		n.awaitRead(ctx) // another process may just have accepted the job
		if entry, ok := n.replica.Job(job.ID); ok {
			return n.repeated(entry, job)
		}
		n.metrics.overloaded.Inc()
		n.logRefusal(callSubmit, job.ID, err)
		return err
	}
	job.Submitted = n.ports.Wall()
	rec, err := record.ForJob(&job)
	if err != nil {
		return err
	}
	if !rec.Fits(n.settings.LogLimits.Record) {
		n.logRefusal(callSubmit, job.ID, oleanderline.ErrTooLarge)
		return oleanderline.ErrTooLarge
	}
	if err := n.store(ctx, rec); err != nil {
		n.logRefusal(callSubmit, job.ID, err)
		return err
	}
	n.common.Event(common.EventJobStored).WithField("job", job.ID).WithField("queue", job.Queue).Info("job stored")
	return nil
}

// repeated returns the result of a submission whose id is stored already.
func (n *Node) repeated(entry replica.Entry, job oleanderline.Job) error {
	if !sameJob(entry.Job, job) {
		n.metrics.conflicts.Inc()
		return oleanderline.ErrConflict
	}
	return nil
}

// sameJob reports whether two submissions are equal, apart from the fields that the cell fills in.
func sameJob(a, b oleanderline.Job) bool {
	a.Submitted, b.Submitted = time.Time{}, time.Time{}
	a.Queue, b.Queue = "", ""
	a.Policy, b.Policy = oleanderline.Queue{}, oleanderline.Queue{}
	if !a.Repeat.First.Equal(b.Repeat.First) {
		return false
	}
	a.Repeat.First, b.Repeat.First = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

// logRefusal logs a call that is answered with an error, with the ages of the last read and of the records.
func (n *Node) logRefusal(call string, job oleanderline.JobID, err error) {
	now := n.common.Clock.Now()
	read, _ := n.replica.ReadAge(now)
	age, _ := n.replica.Age(now)
	n.common.Event(common.EventJobRefused).WithField("job", job).WithField("call", call).
		WithField("read", read.String()).WithField("age", age.String()).WithError(err).Warn("call answered with an error")
}

// Calls of callers, as named in log lines.
const (
	callSubmit = "submit"
	callState  = "state"
	callCancel = "cancel"
)

// State implements oleanderline.JobService.
func (n *Node) State(ctx context.Context, _ oleanderline.QueueID, id oleanderline.JobID) (oleanderline.JobState, error) {
	n.metrics.states.Inc()
	entry, ok := n.replica.Job(id)
	if ok && entry.State().Final() {
		return entry.State(), nil
	}
	if age, known := n.replica.Age(n.common.Clock.Now()); !known || age > staleAge {
		return n.askPeer(ctx, id, entry, ok)
	}
	n.refresh(ctx)
	if entry, ok = n.replica.Job(id); !ok {
		return 0, n.unknownJob(callState, id)
	}
	return entry.State(), nil
}

// askPeer returns the state of a job from a peer with recent records. If that fails, it returns the state in the stale entry of
// this process, if there is one.
func (n *Node) askPeer(ctx context.Context, id oleanderline.JobID, entry replica.Entry, known bool) (oleanderline.JobState, error) {
	n.metrics.relayed.Inc()
	state, err := n.relay.State(ctx, id)
	if err == nil || !known {
		return state, err
	}
	return entry.State(), nil
}

// unknownJob returns ErrUnknownJob, or ErrNotReady if the records are too old to tell.
func (n *Node) unknownJob(call string, id oleanderline.JobID) error {
	if !n.isRecent() {
		n.metrics.notReady.Inc()
		n.logRefusal(call, id, oleanderline.ErrNotReady)
		return oleanderline.ErrNotReady
	}
	n.metrics.unknown.Inc()
	n.logRefusal(call, id, oleanderline.ErrUnknownJob)
	return oleanderline.ErrUnknownJob
}

// isRecent reports whether the records of this process are recent enough to tell that a job does not exist.
func (n *Node) isRecent() bool {
	age, known := n.replica.Age(n.common.Clock.Now())
	return known && age <= maxRecentAge
}

// storedSince reports whether the log holds the submission of a job at or after an offset. Another process may just have
// accepted it. It returns ErrNotReady if the log cannot be read.
func (n *Node) storedSince(ctx context.Context, from oleanderline.Offset, id oleanderline.JobID) (bool, error) {
	batch, err := n.ports.Log.Read(ctx, record.Stream, from, 0)
	if err != nil {
		return false, oleanderline.ErrNotReady
	}
	stored := slices.ContainsFunc(batch.Records, func(rec oleanderline.KeyedRecord) bool {
		kind, job := record.ParseKey(rec.Key)
		return kind == record.KindJob && job == string(id) && len(rec.Value) > 0
	})
	if !stored && batch.Next < batch.End {
		return false, oleanderline.ErrNotReady // the submission may be among the records beyond this read
	}
	return stored, nil
}

// Cancel implements oleanderline.JobService.
func (n *Node) Cancel(ctx context.Context, _ oleanderline.QueueID, id oleanderline.JobID) error {
	recent, read := n.isRecent(), n.replica.NextOffset() // before the lookup, which may precede the first read
	entry, ok := n.replica.Job(id)
	if ok && entry.State().Final() {
		return nil
	}
	if !ok && !recent {
		n.logRefusal(callCancel, id, oleanderline.ErrNotReady)
		return oleanderline.ErrNotReady
	}
	if !ok {
		stored, err := n.storedSince(ctx, read, id)
		if err != nil {
			n.logRefusal(callCancel, id, err)
			return err
		}
		if !stored {
			return n.unknownJob(callCancel, id)
		}
	}
	if err := n.store(ctx, record.ForCancel(id)); err != nil {
		n.logRefusal(callCancel, id, err)
		return err
	}
	n.common.Event(common.EventJobCancel).WithField("job", id).Info("cancellation stored")
	if s := n.session.Load(); s != nil {
		s.CancelJob(id) // immediately, because the next read may fail
	}
	return nil
}

// PendingJobs implements oleanderline.JobService.
func (n *Node) PendingJobs(queue oleanderline.QueueID) (int, error) {
	if !n.isRecent() {
		return 0, oleanderline.ErrNotReady
	}
	return n.replica.PendingJobs(queue), nil
}

// Ready implements oleanderline.JobService.
func (n *Node) Ready() bool {
	age, loaded := n.replica.ReadAge(n.common.Clock.Now())
	return loaded && age < maxReadyAge && n.config.Load() != nil && !n.stopping.Load()
}

// RetryAfter implements oleanderline.JobService. It grows with the outage of the log, which is expected to last about as long
// again as it has lasted so far, with the time that a record takes to be stored, and with the tasks that wait for a start.
func (n *Node) RetryAfter() time.Duration {
	storeDelay := min(max(n.batcher.outage(), n.batcher.wait()), maxRetryAfter)
	return max(minRetryAfter, storeDelay, min(n.backlogDelay(), maxBacklogDelay))
}

// MaxBody implements oleanderline.JobService.
func (n *Node) MaxBody() int64 {
	if config := n.config.Load(); config != nil {
		return config.MaxBody
	}
	return 0
}
