package account

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	// maxLineBytes is the length above which a line is not a log line of a node.
	maxLineBytes = 1 << 20

	endDone       = "done"
	endStopped    = "stopped"
	endLost       = "lost" // the log has no end, but the leader considers the run ended
	stateOpen     = "open"
	stopCancelled = "job cancelled"
	stopDone      = "task is done"

	kindLongRunning = "long-running"
)

// line is the part of a log line that the account needs.
type line struct {
	Time     time.Time    `json:"time"`
	Event    common.Event `json:"event"`
	Message  string       `json:"msg"`
	Job      string       `json:"job"`
	Queue    string       `json:"queue"`
	Task     string       `json:"task"`
	Run      int          `json:"run"`
	Worker   string       `json:"worker"`
	Waited   float64      `json:"waited"` // seconds
	Obstacle string       `json:"obstacle"`
	Kind     string       `json:"kind"`
}

// Reader collects the log lines of all nodes of a cell. Its zero value is not usable; use NewReader.
type Reader struct {
	account *Account
	lines   []line
}

// NewReader returns a reader without lines.
func NewReader() *Reader { return &Reader{account: &Account{Jobs: map[string]*Job{}}} }

// Add reads the log of one node. name names it in errors. Lines that are damaged or cut are counted and left out; an error means
// that the log could not be read to its end.
func (r *Reader) Add(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil || l.Time.IsZero() || l.Event == "" {
			r.skip(name, number)
			continue
		}
		r.lines = append(r.lines, l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s, after line %d: %w", name, number, err)
	}
	return nil
}

func (r *Reader) skip(name string, number int) {
	if r.account.Skipped == 0 {
		r.account.FirstSkipped = fmt.Sprintf("%s:%d", name, number)
	}
	r.account.Skipped++
}

// Account returns the account of all lines, divided into periods of the given length. The reader must not be used afterwards.
func (r *Reader) Account(period time.Duration) *Account {
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Run, b.Run)) })
	runs := map[string]*Run{}
	for i := range r.lines {
		r.handle(&r.lines[i], runs)
	}
	r.account.sum(period)
	return r.account
}

// handle processes a line. runs holds the runs by task and number.
func (r *Reader) handle(l *line, runs map[string]*Run) {
	switch l.Event {
	case common.EventLinesDropped:
		r.account.Dropped = true
	case common.EventJobStored:
		job := r.job(l.Job)
		job.Queue, job.Stored = l.Queue, l.Time
	case common.EventJobFinal:
		job := r.job(jobOf(l.Task))
		job.State, job.Ended = l.Message, l.Time
	case common.EventRunStart:
		run := &Run{
			Task: l.Task, Number: l.Run, Worker: l.Worker, Started: l.Time, Obstacle: l.Obstacle, Kind: l.Kind,
			Waited: time.Duration(max(0, l.Waited) * float64(time.Second)),
		}
		job := r.job(jobOf(l.Task))
		job.Runs = append(job.Runs, run)
		runs[runKey(l)] = run
	case common.EventRunStop:
		if run := runs[runKey(l)]; run != nil && run.End == "" {
			run.Stop = l.Message
		}
	case common.EventRunEnd:
		end(runs[runKey(l)], l.Message, l.Time)
	case common.EventRunLost:
		end(runs[runKey(l)], endLost, l.Time)
	}
}

// end records the first end of a run. The run may be unknown, if its start is not in the log.
func end(run *Run, how string, at time.Time) {
	if run != nil && run.End == "" {
		run.End, run.Ended = how, at
	}
}

func (r *Reader) job(id string) *Job {
	job := r.account.Jobs[id]
	if job == nil {
		job = &Job{ID: id, Queue: unknownQueue, State: stateOpen}
		r.account.Jobs[id] = job
	}
	return job
}

// jobOf returns the id of the job of a task, whose name begins with it.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func runKey(l *line) string { return fmt.Sprintf("%s/%d", l.Task, l.Run) }
