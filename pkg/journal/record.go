// Package journal holds the records of a shard's stream: their form, the grouping and retrying of appends, and the rules
// by which every reader keeps or drops a group. It does no I/O; the caller passes the time.
package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Kind tells what a record states.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindRelease Kind = "release"
	KindSubmit  Kind = "submit"
	KindAssign  Kind = "assign"
	KindFree    Kind = "free"
	KindDone    Kind = "done"
	KindFail    Kind = "fail"
	KindCancel  Kind = "cancel"
	KindKeep    Kind = "keep"
	KindMove    Kind = "move"   // the task goes to another shard, which takes it by an accept record
	KindAccept  Kind = "accept" // tasks of another shard's job are taken
	KindSettle  Kind = "settle" // the other shard has recorded the ends of its tasks
)

// Record is one fact in a shard's stream. Which fields are set depends on the kind.
type Record struct {
	Kind       Kind                  `json:"kind"`
	Owner      oleanderline.VMID     `json:"owner,omitempty"` // claim, keep: the owner; release: the successor
	Address    string                `json:"addr,omitempty"`  // claim, keep: peer address of the owner
	Job        *Job                  `json:"job,omitempty"`   // submit, keep
	Jobs       []oleanderline.JobID  `json:"jobs,omitempty"`  // cancel
	Task       oleanderline.TaskID   `json:"task,omitempty"`  // assign, free, done, fail
	Attempt    oleanderline.Attempt  `json:"try,omitempty"`
	Worker     oleanderline.WorkerID `json:"worker,omitempty"` // assign
	Checkpoint string                `json:"ckpt,omitempty"`   // free: empty keeps the previous one
	Reason     string                `json:"why,omitempty"`    // free, fail
	Final      bool                  `json:"final,omitempty"`  // fail: no further attempt
	Ran        time.Duration         `json:"ran,omitempty"`    // done
	To         oleanderline.ShardID  `json:"to,omitempty"`     // move
	Tasks      []KeptTask            `json:"tasks,omitempty"`  // keep: tasks not yet finished; accept, settle
	Counts     *Counts               `json:"counts,omitempty"` // keep: tasks finished so far
}

// Job is a submission. All its tasks are alike.
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

// KeptTask is the state of an unfinished task in a keep record.
type KeptTask struct {
	Index      int                   `json:"i"`
	Attempt    oleanderline.Attempt  `json:"try,omitempty"`
	Worker     oleanderline.WorkerID `json:"worker,omitempty"` // empty: waiting
	Checkpoint string                `json:"ckpt,omitempty"`
	Cancelled  bool                  `json:"cancel,omitempty"`
	Failures   int                   `json:"fails,omitempty"`
	Moved      bool                  `json:"moved,omitempty"`
	To         oleanderline.ShardID  `json:"to,omitempty"`  // if moved
	At         oleanderline.Offset   `json:"at,omitempty"`  // of the move record in the stream of the task's own shard
	End        Kind                  `json:"end,omitempty"` // of a task that was accepted from another shard: not yet settled
	Reason     string                `json:"why,omitempty"` // of the end
	Ran        time.Duration         `json:"ran,omitempty"`
}

// Counts is how many tasks of a job have finished.
type Counts struct {
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Seq numbers the groups of one writer in one stream, from 1.
type Seq int64

// Group is the content of one entry.
type Group struct {
	Writer oleanderline.WriterID `json:"writer"`
	Seq    Seq                   `json:"seq"`
	Term   oleanderline.Term     `json:"term"` // for a claim: the term that it replaces
	// Base is the first offset that the writer had not read when it formed the group: no copy of it is before.
	Base oleanderline.Offset `json:"base"`
	List []Record            `json:"list"`
}

// Encode returns the group as one entry.
func (g Group) Encode() ([]byte, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode group %d of %s: %w", g.Seq, g.Writer, err)
	}
	return data, nil
}

// Decode parses one entry.
func Decode(data []byte) (Group, error) {
	var g Group
	if err := json.Unmarshal(data, &g); err != nil {
		return Group{}, fmt.Errorf("decode group: %w", err)
	}
	return g, nil
}

// StreamName returns the stream of a shard. Each region has its own streams, so that it works alone when cut off.
func StreamName(region oleanderline.RegionID, shard oleanderline.ShardID) oleanderline.Stream {
	return oleanderline.Stream(fmt.Sprintf("shard-%s-%d", region, shard))
}
