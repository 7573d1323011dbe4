// Package journal defines the records of a shard's stream. It groups records into appends and retries them, and decides
// which groups every reader accepts or drops. It does no I/O and has no clock; the caller passes the time.
package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"   // a process claims the ownership of the shard, which starts a new term
	KindRelease Kind = "release" // the owner hands the shard over to a successor
	KindSubmit  Kind = "submit"
	KindAssign  Kind = "assign" // an attempt of a task is assigned to a worker
	KindFree    Kind = "free"   // an attempt ended without completing the task or failing
	KindDone    Kind = "done"   // the task is completed
	KindFail    Kind = "fail"   // an attempt failed
	KindCancel  Kind = "cancel"
	KindKeep    Kind = "keep"   // the owner restates the state of a job, or, without a job, sends a heartbeat
	KindMove    Kind = "move"   // a task is handed over to another shard, which confirms it by an accept record
	KindAccept  Kind = "accept" // tasks of another shard's job are taken over
	KindSettle  Kind = "settle" // the other shard has recorded the ends of its tasks that were accepted here
)

// Record is one record in a shard's stream. Comments on the fields name the kinds that use them.
type Record struct {
	Kind       Kind                  `json:"kind"`
	Owner      oleanderline.VMID     `json:"owner,omitempty"`  // claim, keep: the owner; release: the successor
	Address    string                `json:"addr,omitempty"`   // claim, keep: peer address of the owner
	Job        *Job                  `json:"job,omitempty"`    // submit, keep, accept
	Jobs       []oleanderline.JobID  `json:"jobs,omitempty"`   // cancel, settle
	Task       oleanderline.TaskID   `json:"task,omitempty"`   // assign, free, done, fail, move
	Attempt    oleanderline.Attempt  `json:"try,omitempty"`    // assign, free, done, fail, move
	Worker     oleanderline.WorkerID `json:"worker,omitempty"` // assign
	Checkpoint string                `json:"ckpt,omitempty"`   // free: if empty, the previous checkpoint stays valid
	Reason     string                `json:"why,omitempty"`    // free, fail
	Final      bool                  `json:"final,omitempty"`  // fail: the task is not retried
	Ran        time.Duration         `json:"ran,omitempty"`    // done
	To         oleanderline.ShardID  `json:"to,omitempty"`     // move
	Tasks      []TaskState           `json:"tasks,omitempty"`  // keep: unfinished tasks; accept, settle: the tasks concerned
	Counts     *Counts               `json:"counts,omitempty"` // keep: numbers of finished tasks
}

// Job is a submitted job. All its tasks have the same size and command.
type Job struct {
	ID      oleanderline.JobID    `json:"id,omitempty"`
	Key     string                `json:"key"` // the caller's idempotency key
	Team    oleanderline.TeamID   `json:"team"`
	Class   string                `json:"class,omitempty"`
	Kind    oleanderline.TaskKind `json:"kind"`
	Count   int                   `json:"count"`
	Size    oleanderline.Size     `json:"size"` // of each task
	Command string                `json:"cmd"`
	Urgent  bool                  `json:"urgent,omitempty"`
}

// TaskState is the state of a task in a keep, accept or settle record. Keep records restate the state of unfinished jobs
// before the log service drops the older records.
type TaskState struct {
	Index      int                   `json:"i"`
	Attempt    oleanderline.Attempt  `json:"try,omitempty"`
	Worker     oleanderline.WorkerID `json:"worker,omitempty"` // empty while waiting
	Checkpoint string                `json:"ckpt,omitempty"`
	Cancelled  bool                  `json:"cancel,omitempty"`
	Failures   int                   `json:"fails,omitempty"`
	Moved      bool                  `json:"moved,omitempty"`
	To         oleanderline.ShardID  `json:"to,omitempty"`  // shard to which the task was moved
	At         oleanderline.Offset   `json:"at,omitempty"`  // offset of the move record in the stream of the task's home shard
	End        Kind                  `json:"end,omitempty"` // how a task accepted from another shard ended, until it is settled
	Reason     string                `json:"why,omitempty"` // reason of the end
	Ran        time.Duration         `json:"ran,omitempty"`
}

// Counts holds the numbers of finished tasks of a job.
type Counts struct {
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Seq is the sequence number of a group among those of one writer in one stream, starting at 1.
type Seq int64

// Group is the content of one log entry: records that take effect together.
type Group struct {
	Writer oleanderline.WriterID `json:"writer"`
	Seq    Seq                   `json:"seq"`
	Term   oleanderline.Term     `json:"term"` // for a claim, the term that it replaces
	// Base is the first offset that the writer had not read when it formed the group. All copies of the group are at or
	// after it.
	Base oleanderline.Offset `json:"base"`
	List []Record            `json:"list"`
}

// Encode returns the data of a log entry with the group.
func (g Group) Encode() ([]byte, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode group %d of %s: %w", g.Seq, g.Writer, err)
	}
	return data, nil
}

// Decode parses the data of a log entry.
func Decode(data []byte) (Group, error) {
	var g Group
	if err := json.Unmarshal(data, &g); err != nil {
		return Group{}, fmt.Errorf("decode group: %w", err)
	}
	return g, nil
}

// StreamName returns the stream of a shard. Each region has its own streams, so that it works during a network partition
// from the others.
func StreamName(region oleanderline.RegionID, shard oleanderline.ShardID) oleanderline.Stream {
	return oleanderline.Stream(fmt.Sprintf("shard-%s-%d", region, shard))
}
