// Package record defines the format of the records that the processes of a cell store in the log. The newest record of each
// key holds the whole state of its object, so that a reader needs no history.
package record

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Stream holds the records of a cell: its jobs, workers, processes, leader and maintenance windows.
const Stream oleanderline.Stream = "jobs"

// StreamPeerKey holds the secret key that authenticates calls between the processes of a cell.
const StreamPeerKey oleanderline.Stream = "keys"

// StreamClaims holds the claims of leadership.
const StreamClaims oleanderline.Stream = "claims"

// Keys of records, and prefixes of keys that end with an id.
const (
	KeyLeader      = "l"
	KeyPairs       = "i"
	prefixJob      = "j/"
	prefixCancel   = "c/"
	prefixProgress = "p/"
	prefixWorker   = "w/"
	prefixNode     = "n/"
	prefixWindow   = "m/"
)

// Kind is the kind of object that a record describes.
type Kind int

// Kinds of records.
const (
	KindUnknown Kind = iota
	KindJob
	KindCancel
	KindProgress
	KindWorker
	KindLeader
	KindPairs
	KindNode
	KindWindow
)

// Leader identifies the leader, which stores this record repeatedly as a heartbeat.
type Leader struct {
	Term       oleanderline.Term `json:"term"`
	VM         oleanderline.VMID `json:"vm"`
	ClaimCount int               `json:"n"` // the number of claims so far, including this one
	Resigned   bool              `json:"gone,omitempty"`
	Intake     *Intake           `json:"intake,omitempty"` // absent until the rate of starts is known
	AnswerMS   int64             `json:"ans,omitempty"`    // answer time of the leader's appends lately, in milliseconds; 0 if it is below 1 or not known
}

// Answer returns the answer time of the leader's appends.
func (l Leader) Answer() time.Duration { return time.Duration(l.AnswerMS) * time.Millisecond }

// Intake is the leader's verdict on new jobs, by the tasks that wait for a start and the rate at which it starts tasks.
type Intake struct {
	Rate   float64 `json:"rate,omitempty"`   // starts per second while tasks waited for nothing else; 0 if not measured
	Refuse bool    `json:"refuse,omitempty"` // new jobs of queues with priority From and all later priorities are refused
	From   int     `json:"from,omitempty"`
	// RetryMS is the time in milliseconds after which the tasks that wait would be few enough if no others came.
	RetryMS int64 `json:"retryMs,omitempty"`
}

// Refuses reports whether new jobs of a queue with a priority are refused.
func (i Intake) Refuses(priority int) bool { return i.Refuse && priority >= i.From }

// Worker is a worker on which tasks may run.
type Worker struct {
	ID      oleanderline.WorkerID `json:"-"`
	Address string                `json:"addr"`
	// Unreachable is set while the worker does not answer. It may then still run Tasks but nothing else: nothing is started
	// on it before a newer record clears Unreachable.
	Unreachable bool                   `json:"silent,omitempty"`
	Tasks       []oleanderline.TaskKey `json:"tasks,omitempty"`
	// Since is the number of claims of leadership at the first record of the worker while leaders before that claim may still give
	// orders, who do not know of the worker; 0 once they do not.
	Since int `json:"since,omitempty"`
}

// ParseKey parses the key of a record and returns the kind of the record and the id of its object.
func ParseKey(key string) (Kind, string) {
	switch key {
	case KeyLeader:
		return KindLeader, ""
	case KeyPairs:
		return KindPairs, ""
	}
	prefix, id, found := strings.Cut(key, "/")
	if !found {
		return KindUnknown, ""
	}
	switch prefix + "/" {
	case prefixJob:
		return KindJob, id
	case prefixCancel:
		return KindCancel, id
	case prefixProgress:
		return KindProgress, id
	case prefixWorker:
		return KindWorker, id
	case prefixNode:
		return KindNode, id
	case prefixWindow:
		return KindWindow, id
	}
	return KindUnknown, ""
}

// ForJob returns the record of a submission.
func ForJob(job *oleanderline.Job) (oleanderline.KeyedRecord, error) {
	return encode(prefixJob+string(job.ID), job)
}

// ForCancel returns the record of a cancellation.
func ForCancel(id oleanderline.JobID) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: prefixCancel + string(id), Value: []byte("{}")}
}

// ForProgress returns the record of a job's progress.
func ForProgress(id oleanderline.JobID, progress *Progress) (oleanderline.KeyedRecord, error) {
	return encode(prefixProgress+string(id), progress)
}

// ForWorker returns the record of a worker on which tasks may run.
func ForWorker(worker Worker) (oleanderline.KeyedRecord, error) {
	return encode(prefixWorker+string(worker.ID), worker)
}

// Node is a process of the cell, as registered when it starts.
type Node struct {
	capacity.VM
	Address string `json:"addr,omitempty"` // where it serves the other processes
}

// ForNode returns the record that registers a process.
func ForNode(vm oleanderline.VMID, node Node) (oleanderline.KeyedRecord, error) {
	return encode(prefixNode+string(vm), node)
}

// DropNode returns the record that removes a process.
func DropNode(vm oleanderline.VMID) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: prefixNode + string(vm)}
}

// ForPairs returns the record of the evidence about interference between pairs of images.
func ForPairs(evidence []pairs.Evidence) (oleanderline.KeyedRecord, error) {
	return encode(KeyPairs, evidence)
}

// ForWindow returns the record of the progress of a maintenance window.
func ForWindow(id oleanderline.WindowID, progress maintenance.Progress) (oleanderline.KeyedRecord, error) {
	return encode(prefixWindow+strconv.FormatInt(int64(id), 10), progress)
}

// ParseWindowID parses the id of a maintenance window that ParseKey returned.
func ParseWindowID(id string) (oleanderline.WindowID, error) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse id of maintenance window: %w", err)
	}
	return oleanderline.WindowID(number), nil
}

// ForLeader returns the record of the leader.
func ForLeader(leader Leader) (oleanderline.KeyedRecord, error) { return encode(KeyLeader, leader) }

// DropJob returns the records that remove a job.
func DropJob(id oleanderline.JobID) []oleanderline.KeyedRecord {
	return []oleanderline.KeyedRecord{
		{Key: prefixJob + string(id)}, {Key: prefixCancel + string(id)}, {Key: prefixProgress + string(id)},
	}
}

// DropWorker returns the record that removes a worker.
func DropWorker(id oleanderline.WorkerID) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: prefixWorker + string(id)}
}

func encode(key string, value any) (oleanderline.KeyedRecord, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return oleanderline.KeyedRecord{}, fmt.Errorf("encode record %q: %w", key, err)
	}
	return oleanderline.KeyedRecord{Key: key, Value: data}, nil
}

// Decode decodes the JSON value of a record.
func Decode[T any](r oleanderline.KeyedRecord) (T, error) {
	var value T
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return value, fmt.Errorf("decode record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	return value, nil
}

// SetBit sets the bit of a task, the index-th of a step with count tasks. It allocates the bitmap if it is nil.
func SetBit(bitmap []byte, index, count int) []byte {
	const bits = 8
	if bitmap == nil {
		bitmap = make([]byte, (count+bits-1)/bits)
	}
	bitmap[index/bits] |= 1 << (index % bits)
	return bitmap
}

// Bit reports whether the bit of the index-th task is set.
func Bit(bitmap []byte, index int) bool {
	const bits = 8
	return index/bits < len(bitmap) && bitmap[index/bits]&(1<<(index%bits)) != 0
}

// keyClaim is the only key in the stream of claims, so that the newest record of the stream is the newest claim.
const keyClaim = "claim"

// ForPeerKey returns the record of the secret key in StreamPeerKey.
func ForPeerKey(key string) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: "key", Value: []byte(key)}
}

// ForClaim returns the record of a claim of leadership.
func ForClaim(claim any) (oleanderline.KeyedRecord, error) { return encode(keyClaim, claim) }
