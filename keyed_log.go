package oleanderline

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// KeyedLog is a log service that keeps the newest record of each key for ever, and others for a limited time.
type KeyedLog interface {
	// Append adds records to the end of stream, all or none, and returns the offset of the first one.
	Append(ctx context.Context, stream Stream, records []KeyedRecord, condition AppendCondition) (Offset, error)
	// Read returns the records from an offset on, as soon as there is one or wait has passed. It fails with ErrTrimmed if
	// records from that offset on are not kept any more.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key, and where to read on so that nothing is missed. Records may be newer
	// than that offset.
	Newest(ctx context.Context, stream Stream) (KeyedBatch, error)
}

// KeyedRecord is one record. A record without a value drops its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset // set on records that were read
}

// KeyedBatch is the result of a read.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Offset // the offset to read from next
	End     Offset // the end of the stream when it was read
}

// AppendCondition makes an append fail unless it holds. The zero value is no condition.
type AppendCondition struct {
	// AtEnd requires that the stream ends at End. Otherwise the append fails with ErrMoved.
	AtEnd bool
	End   Offset
	// Writer, with Term and Sequence, fences writers with a lower term: they fail with ErrFenced. A repeated sequence
	// returns the first answer. An empty append only raises the term.
	Writer   WriterID
	Term     Term
	Sequence int64
}

// SequenceError means that an append of a writer does not follow its last one.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("out of sequence, expected %d", e.Expected)
}

// Errors of a KeyedLog.
var (
	// ErrTrimmed means that records in question are not kept any more.
	ErrTrimmed = errors.New("records are not kept any more")
	// ErrMoved means that the stream has grown beyond the expected end.
	ErrMoved = errors.New("the stream ends elsewhere")
)
