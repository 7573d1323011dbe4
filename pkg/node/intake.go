package node

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/heldjobs"
)

// maxIntakeAge is how long the leader's verdict on new jobs holds after it was read. The leader renews it every 0.4 s. It is the time
// for which a leader goes on without the log, and covers the change to another one. From then on jobs are accepted again, so that no
// process refuses them for a leader that is gone. The cell does not accept without bound then: a process that reads no leader record
// for so long claims leadership, and cannot store jobs either if the log is down.
const maxIntakeAge = maxLogOutage

// refuses reports whether a new job of a queue with a priority is refused because the leader could not start its tasks in time. A
// refusal says that the job was not stored, so there is none while the records that this process has read are too old to tell.
func (n *Node) refuses(priority int) bool {
	now := n.common.Clock.Now()
	verdict, age := n.replica.Intake(now)
	return verdict.Refuses(priority) && age < maxIntakeAge && n.isRecent()
}

// refusal returns the reason why a new job is refused, or nil.
func (n *Node) refusal(job *oleanderline.Job) error {
	switch {
	case n.refuses(job.Policy.Priority):
		return oleanderline.ErrOverloaded
	case n.refusesLarge(job):
		return oleanderline.ErrLargeJobs
	}
	return nil
}

// refusesLarge reports whether a new job is refused because it is large and such jobs take up too much memory already. Every process
// holds all jobs. As with refuses, there is no refusal while the records are too old to tell whether the job is stored.
func (n *Node) refusesLarge(job *oleanderline.Job) bool {
	size := heldjobs.Size(job)
	return n.settings.LargeJobs > 0 && size > 0 && n.replica.LargeJobs()+size > n.settings.LargeJobs && n.isRecent()
}

// backlogDelay returns after what time the leader is expected to accept jobs again, or 0 if it accepts them.
func (n *Node) backlogDelay() time.Duration {
	verdict, age := n.replica.Intake(n.common.Clock.Now())
	if !verdict.Refuse || age >= maxIntakeAge {
		return 0
	}
	return time.Duration(verdict.RetryMS) * time.Millisecond
}

// waitForRecords waits until this process has read the records once, but no longer than loadTimeout. Until then it does not know the
// leader's verdict on new jobs, which it needs most after a restart of all processes.
func (n *Node) waitForRecords(ctx context.Context) {
	updated := n.replica.Updated()
	if _, loaded := n.replica.ReadAge(n.common.Clock.Now()); loaded {
		return
	}
	timer := n.common.Clock.NewTimer(loadTimeout)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C():
	case <-ctx.Done():
	}
}
