package shard

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// taskState is the state of an unfinished task in the stream.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAssigned
	taskMoved // to another shard
)

// task is one unfinished task. The fields of task itself are read from the stream. Those of ownerState are known to the
// owner only and are reset when the ownership changes.
type task struct {
	job          *job
	id           oleanderline.TaskID
	index        int
	state        taskState
	attempt      oleanderline.Attempt
	worker       oleanderline.WorkerID
	checkpoint   string
	to           oleanderline.ShardID // target of a moved task
	movedAt      oleanderline.Offset  // offset of the move record in the stream of the task's home shard
	cancelled    bool
	failures     int
	failedOn     []oleanderline.WorkerID // workers at which it failed, the newest last
	since        time.Time               // time of the last change of state
	entered      time.Time               // when it was submitted
	ran          time.Duration           // total run time of earlier attempts, at most
	fullRecordAt time.Time               // time of the entry that last held the full state of the task

	ownerState
}

// ownerState is the state of a task that only the owner has.
type ownerState struct {
	pending        journal.Kind // kind of the record that is not yet read back
	reserved       bool         // counts against the capacity of the worker reservedOn
	reservedOn     oleanderline.WorkerID
	target         oleanderline.WorkerID // worker of an assignment that is not yet read back
	sent           bool                  // a start was sent under this term
	running        bool                  // the worker has confirmed the attempt
	ended          bool                  // the worker has reported the outcome
	stop           bool                  // the attempt must be stopped
	retryAt        time.Time             // earliest next start or stop
	stopReason     string                // the rule or measurement that caused the stop
	stopTries      int
	notBefore      time.Time // end of the backoff of a waiting task
	throttleShare  float64   // share of its processors that a throttled task keeps, 0 while not throttled
	confirmedShare float64   // share that the worker has confirmed
	shareSentAt    time.Time // when the share was last sent
	finalFailure   bool      // the failure that is not yet read back is the last one
	lengthClass    uint8     // length class while assigned
	accepted       bool      // the other shard has recorded the moved task
	cancelAccepted bool      // the other shard has recorded its cancellation
}

// requestStop marks the attempt to be stopped. The first reason is kept, because it is the one that caused the stop.
func (t *task) requestStop(reason string) {
	if !t.stop {
		t.stop, t.stopReason = true, reason
	}
}

func (t *task) key() oleanderline.AttemptKey {
	return oleanderline.AttemptKey{Task: t.id, Attempt: t.attempt}
}

func (t *task) size() oleanderline.Size { return t.job.Size }

// job is a submitted job with its unfinished tasks.
type job struct {
	journal.Job
	tasks      map[int]*task
	counts     journal.Counts
	reason     string
	finishedAt time.Time
	guest      *guest // set if the job's home is another shard, so that only some of its tasks are here
	rebuilt    bool   // restored from keep records, because its submit record is past the retention

	// The fields below are known to the owner only.
	cancelPending bool      // a cancel record is not yet read back
	keepQueuedAt  time.Time // when a keep record was last queued
}

func (j *job) status() JobStatus {
	s := JobStatus{
		ID: j.ID, Known: true, Done: j.counts.Done, Failed: j.counts.Failed, Cancelled: j.counts.Cancelled, Reason: j.reason,
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			s.Waiting++
		} else {
			s.Assigned++ // to a worker here, or moved to another shard
		}
	}
	return s
}

func taskID(id oleanderline.JobID, index int) oleanderline.TaskID {
	return oleanderline.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// splitTaskID returns the job id and the index of a task.
func splitTaskID(id oleanderline.TaskID) (oleanderline.JobID, int, error) {
	name, number, _ := strings.Cut(string(id), "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, fmt.Errorf("task id %q: want JOB/INDEX", id)
	}
	return oleanderline.JobID(name), index, nil
}
