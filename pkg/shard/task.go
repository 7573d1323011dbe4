package shard

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// taskState is what the stream says about an unfinished task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAssigned
	taskMoved // to another shard
)

// task is one unfinished task. The first group of fields is what the stream says. The second is known to the owner only
// and is reset when the ownership changes.
type task struct {
	job        *job
	id         oleanderline.TaskID
	index      int
	state      taskState
	attempt    oleanderline.Attempt
	worker     oleanderline.WorkerID
	checkpoint string
	to         oleanderline.ShardID // while moved
	movedAt    oleanderline.Offset  // of the move record in the stream of the task's own shard
	cancelled  bool
	failures   int
	failedOn   []oleanderline.WorkerID // of the failures, the newest last
	since      time.Time               // of the last change of state
	entered    time.Time               // when it was submitted
	ran        time.Duration           // over earlier attempts, at most
	keptAt     time.Time               // of the entry that last held everything about the task

	owned
}

// owned is what the owner alone knows of a task.
type owned struct {
	pending   journal.Kind // of the record that is not yet read back
	reserved  bool         // counts against the capacity of the worker room
	room      oleanderline.WorkerID
	target    oleanderline.WorkerID // of an assignment that is not yet read back
	sent      bool                  // a start was sent under this term
	running   bool                  // the worker has confirmed the attempt
	ended     bool                  // the worker has reported the outcome
	stop      bool                  // the attempt must be stopped
	retryAt   time.Time             // earliest next start or stop
	stopWhy   string                // the rule or measurement that caused the stop
	stopTries int
	notBefore time.Time // backoff of a waiting task
	share     float64   // of its processors that a throttled task keeps, 0 while not throttled
	shareSent float64   // what the worker has confirmed
	shareAt   time.Time // when it was last asked
	final     bool      // the failure that is not yet read back is the last
	length    uint8     // short or long, while assigned
	taken     bool      // the shard that the task moved to has recorded that
	takenBack bool      // and it has recorded the cancellation
}

// mustStop marks the attempt to be stopped. The first reason stays, because it is the one that caused the stop.
func (t *task) mustStop(why string) {
	if !t.stop {
		t.stop, t.stopWhy = true, why
	}
}

func (t *task) key() oleanderline.AttemptKey {
	return oleanderline.AttemptKey{Task: t.id, Attempt: t.attempt}
}

func (t *task) size() oleanderline.Size { return t.job.Size }

// job is a submission with its unfinished tasks.
type job struct {
	journal.Job
	tasks      map[int]*task
	counts     journal.Counts
	reason     string
	finishedAt time.Time
	guest      *guest // not nil: the job belongs to another shard, and only some of its tasks are here
	rebuilt    bool   // known from keep records, because its submit record is no longer kept

	// Known to the owner only.
	cancelPending bool      // a cancellation is not yet read back
	keptAt        time.Time // when a keep record was last queued
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

// splitTaskID returns the job and the index of a task.
func splitTaskID(id oleanderline.TaskID) (oleanderline.JobID, int, error) {
	name, number, _ := strings.Cut(string(id), "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, fmt.Errorf("task id %q: want JOB/INDEX", id)
	}
	return oleanderline.JobID(name), index, nil
}
