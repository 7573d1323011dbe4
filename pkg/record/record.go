// Package record is the format of the records in the stream of jobs. The newest record of each key is the whole state, so
// that a reader needs no history.
package record

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Stream holds all records of a cell.
const Stream oleanderline.Stream = "jobs"

// StreamKeys holds the key that the processes of a cell share.
const StreamKeys oleanderline.Stream = "keys"

// StreamClaims holds the claims of leadership.
const StreamClaims oleanderline.Stream = "claims"

// Keys, and prefixes of keys that end with an id.
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

// Kind tells what a record says.
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

// Progress is what has been recorded of a job by its leader.
type Progress struct {
	State   oleanderline.JobState `json:"s"`
	Started bool                  `json:"b,omitempty"`
	// Done holds a bitmap of finished tasks by the number of the step, counted over all occurrences.
	Done map[int][]byte `json:"d,omitempty"`
	// Fails holds the runs that have failed by "step.index", the step counted over all occurrences. A worker lists an end
	// again to the next leader, which must not count it twice.
	Fails map[string][]int `json:"f,omitempty"`
}

// Leader says who leads, and repeats while it does.
type Leader struct {
	Term     oleanderline.Term `json:"term"`
	VM       oleanderline.VMID `json:"vm"`
	Claims   int               `json:"n"` // claims so far, this one included
	Resigned bool              `json:"gone,omitempty"`
}

// Worker is a worker on which tasks may run.
type Worker struct {
	ID      oleanderline.WorkerID `json:"-"`
	Address string                `json:"addr"`
	// Silent says that the worker does not answer, and that only Tasks may run on it. Nothing else is started there before
	// another record says that it answers again.
	Silent bool                   `json:"silent,omitempty"`
	Tasks  []oleanderline.TaskKey `json:"tasks,omitempty"`
}

// Split returns what a key says: the kind of the record and the id.
func Split(key string) (Kind, string) {
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

// ForWorker returns the record of a worker in use.
func ForWorker(worker Worker) (oleanderline.KeyedRecord, error) {
	return encode(prefixWorker+string(worker.ID), worker)
}

// Node is a process of the cell, as it introduces itself when it starts.
type Node struct {
	capacity.VM
	Address string `json:"addr,omitempty"` // where it serves its peers
}

// ForNode returns the record of a process.
func ForNode(vm oleanderline.VMID, node Node) (oleanderline.KeyedRecord, error) {
	return encode(prefixNode+string(vm), node)
}

// DropNode returns the record that removes a process.
func DropNode(vm oleanderline.VMID) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: prefixNode + string(vm)}
}

// ForPairs returns the record of what is known about pairs of images.
func ForPairs(evidence []pairs.Evidence) (oleanderline.KeyedRecord, error) {
	return encode(KeyPairs, evidence)
}

// ForWindow returns the record of the progress of a maintenance window.
func ForWindow(id oleanderline.WindowID, progress maintenance.Progress) (oleanderline.KeyedRecord, error) {
	return encode(prefixWindow+strconv.FormatInt(int64(id), 10), progress)
}

// WindowOf returns the number of a maintenance window from the id in its key.
func WindowOf(id string) (oleanderline.WindowID, error) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("number of a maintenance window: %w", err)
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

// Decode decodes the value of a record.
func Decode[T any](r oleanderline.KeyedRecord) (T, error) {
	var value T
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return value, fmt.Errorf("record %q at %d: %w", r.Key, r.Offset, err)
	}
	return value, nil
}

// SetBit marks task index of a step with count tasks in a bitmap, which is made if it is nil.
func SetBit(bitmap []byte, index, count int) []byte {
	const bits = 8
	if bitmap == nil {
		bitmap = make([]byte, (count+bits-1)/bits)
	}
	bitmap[index/bits] |= 1 << (index % bits)
	return bitmap
}

// Bit reports whether task index is marked in a bitmap.
func Bit(bitmap []byte, index int) bool {
	const bits = 8
	return index/bits < len(bitmap) && bitmap[index/bits]&(1<<(index%bits)) != 0
}

// keyClaim is the only key of the stream of claims, so that its newest record is the newest claim.
const keyClaim = "claim"

// ForKey returns the record of the key that processes share.
func ForKey(key string) oleanderline.KeyedRecord {
	return oleanderline.KeyedRecord{Key: "key", Value: []byte(key)}
}

// ForClaim returns the record of a claim of leadership.
func ForClaim(claim any) (oleanderline.KeyedRecord, error) { return encode(keyClaim, claim) }
