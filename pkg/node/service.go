package node

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// Bounds of the time after which a refused caller should come again.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
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
	if entry, ok := n.replica.Job(job.ID); ok {
		if !sameJob(entry.Job, job) {
			n.metrics.conflicts.Inc()
			return oleanderline.ErrConflict
		}
		return nil
	}
	job.Submitted = n.ports.Wall()
	rec, err := record.ForJob(&job)
	if err != nil {
		return err
	}
	if err := n.store(ctx, rec); err != nil {
		n.refused("submit", job.ID, err)
		return err
	}
	n.common.Event(common.EventJobStored).WithField("job", job.ID).WithField("queue", job.Queue).Info("job stored")
	return nil
}

// sameJob compares what a caller chooses.
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

func (n *Node) refused(what string, job oleanderline.JobID, err error) {
	age, _ := n.replica.Age(n.common.Clock.Now())
	n.common.Event(common.EventJobRefused).WithField("job", job).WithField("call", what).
		WithField("read", age.String()).WithError(err).Warn("not stored")
}

// State implements oleanderline.JobService.
func (n *Node) State(ctx context.Context, _ oleanderline.QueueID, id oleanderline.JobID) (oleanderline.JobState, error) {
	n.metrics.states.Inc()
	entry, ok := n.replica.Job(id)
	if ok && entry.State().Final() {
		return entry.State(), nil
	}
	if age, loaded := n.replica.Age(n.common.Clock.Now()); !loaded || age > staleRead {
		return n.askPeer(ctx, id, entry, ok)
	}
	n.refresh(ctx)
	if entry, ok = n.replica.Job(id); !ok {
		return 0, n.unknown(id)
	}
	return entry.State(), nil
}

// askPeer returns the state of a job from a process that has read lately, or else what this one has read.
func (n *Node) askPeer(ctx context.Context, id oleanderline.JobID, entry replica.Entry, known bool) (oleanderline.JobState, error) {
	n.metrics.relayed.Inc()
	state, err := n.relay.State(ctx, id)
	if err == nil || !known {
		return state, err
	}
	return entry.State(), nil
}

// unknown says that a job does not exist, or that this process cannot know.
func (n *Node) unknown(id oleanderline.JobID) error {
	age, loaded := n.replica.Age(n.common.Clock.Now())
	if !loaded || age > readWait+freshFor {
		n.metrics.notReady.Inc()
		n.refused("state", id, oleanderline.ErrNotReady)
		return oleanderline.ErrNotReady
	}
	n.metrics.unknown.Inc()
	n.refused("state", id, oleanderline.ErrUnknownJob)
	return oleanderline.ErrUnknownJob
}

// Cancel implements oleanderline.JobService.
func (n *Node) Cancel(ctx context.Context, _ oleanderline.QueueID, id oleanderline.JobID) error {
	entry, ok := n.replica.Job(id)
	if !ok {
		return n.unknown(id)
	}
	if entry.State().Final() {
		return nil
	}
	if err := n.store(ctx, record.ForCancel(id)); err != nil {
		n.refused("cancel", id, err)
		return err
	}
	n.common.Event(common.EventJobCancel).WithField("job", id).Info("cancellation stored")
	if s := n.session.Load(); s != nil {
		s.CancelJob(id) // at once: the next read may fail
	}
	return nil
}

// Waiting implements oleanderline.JobService.
func (n *Node) Waiting(queue oleanderline.QueueID) (int, error) {
	if age, loaded := n.replica.Age(n.common.Clock.Now()); !loaded || age > readWait+freshFor {
		return 0, oleanderline.ErrNotReady
	}
	return n.replica.Waiting(queue), nil
}

// Ready implements oleanderline.JobService.
func (n *Node) Ready() bool {
	age, loaded := n.replica.Age(n.common.Clock.Now())
	return loaded && age < readyFor && n.config.Load() != nil && !n.stopping.Load()
}

// RetryAfter implements oleanderline.JobService. An outage lasts about as long again as it has lasted, so callers space
// their attempts further the longer it goes on.
func (n *Node) RetryAfter() time.Duration {
	return min(max(n.intake.outage(), minRetryAfter), maxRetryAfter)
}

// MaxBody implements oleanderline.JobService.
func (n *Node) MaxBody() int64 {
	if config := n.config.Load(); config != nil {
		return config.MaxBody
	}
	return 0
}
