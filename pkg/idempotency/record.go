package idempotency

import (
	"net/http"
	"time"

	"github.com/oleanderline/oleanderline"
)

// State tells what is known about the request of a key.
type State int

// States of a record.
const (
	// StateRunning means that one entry has the permission to send the request.
	StateRunning State = iota
	// StateAnswered means that the record holds the whole answer.
	StateAnswered
	// StateDropped means that the request was answered, but its answer was too large to keep.
	StateDropped
	// StateUnknown means that the request may have run, and that its answer is lost.
	StateUnknown
)

// Executor names the entry that sends a request, in one incarnation. An incarnation that has ended sends nothing more.
type Executor struct {
	ID          oleanderline.VMID
	Incarnation int64
}

// Answer is a kept answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *Answer) size() int64 {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}

// Record is what a home or an executor keeps for a key.
type Record struct {
	Key      string // service and key
	Print    uint64 // of the request, so that a key cannot be used for another one
	State    State
	Executor Executor
	Token    uint64 // of the attempt that got the permission, so that its repeated question gets the same reply
	Until    time.Time
	Answer   *Answer

	ended time.Time
}

// recordOverhead is the memory of a record beside its key and answer: the struct, its map entry and its queue entry.
const recordOverhead = 256

func (r *Record) size() int64 {
	return recordOverhead + int64(len(r.Key)) + r.Answer.size()
}
