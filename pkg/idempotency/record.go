package idempotency

import (
	"net/http"
	"time"

	"github.com/oleanderline/oleanderline"
)

// State is the state of the request that was sent with a key.
type State int

// States of a record.
const (
	// StateRunning means that one entry has been permitted to send the request and has not reported a result.
	StateRunning State = iota
	// StateAnswered means that the record holds the complete answer.
	StateAnswered
	// StateAnswerDropped means that the request was answered, but its answer is not kept: it was too large, or the memory was
	// needed for newer records.
	StateAnswerDropped
	// StateUnknown means that the request may have run and that its answer is lost.
	StateUnknown
)

// Executor identifies the entry that sends a request, in one incarnation. An incarnation that has ended sends no more
// requests.
type Executor struct {
	ID          oleanderline.VMID
	Incarnation int64
}

// Answer is an answer that is stored with its key, to be returned to retries.
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

// Record is the state of one key, kept by the key's home (the entry that decides about the key) and by the executor.
type Record struct {
	Key      string // service and idempotency key
	Print    uint64 // fingerprint of the request; a key cannot be reused for a different request
	State    State
	Executor Executor
	Token    uint64    // identifies the permitted attempt; a repeated Begin with this token gets the same verdict
	Until    time.Time // when the request must have ended
	Answer   *Answer

	ended time.Time // when a result was last recorded
}

// recordOverhead is the approximate memory of a record in bytes, without its key and answer: the struct, its map entry and
// its queue entry.
const recordOverhead = 256

func (r *Record) size() int64 {
	return recordOverhead + int64(len(r.Key)) + r.Answer.size()
}
