package oleanderline

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// KeyedLog is a compacted log service: it keeps the newest record of each key forever, and older records for a limited time.
type KeyedLog interface {
	// Append atomically adds records to the end of stream and returns the offset of the first one.
	Append(ctx context.Context, stream Stream, records []KeyedRecord, condition AppendCondition) (Offset, error)
	// Read returns the records from an offset on, as soon as there is at least one or wait has passed. It fails with
	// ErrTrimmed if some of these records have already been removed.
	Read(ctx context.Context, stream Stream, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key, and the offset from which to continue with Read without a gap. Some of
	// the returned records may be newer than that offset, so Read can return them again.
	Newest(ctx context.Context, stream Stream) (KeyedBatch, error)
}

// KeyedRecord is one record of a KeyedLog. A record without a value is a tombstone: it deletes its key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset // set only in results of Read and Newest
}

// Size returns the size of the record, as far as it counts towards the limits of a log.
func (r *KeyedRecord) Size() ByteCount { return ByteCount(1 + len(r.Key) + len(r.Value)) }

// Fits reports whether the record is within the size of the largest one that a log accepts. A limit of 0 means none.
func (r *KeyedRecord) Fits(limit ByteCount) bool { return limit == 0 || r.Size() <= limit }

// LogLimits are the limits of a KeyedLog; 0 means none. An append beyond them is refused each time.
type LogLimits struct {
	Record ByteCount // of one record
	Append ByteCount // of all records of an append
}

// lengthSize is the size of the length that precedes a record in an append.
const lengthSize = ByteCount(4)

// Split splits records, in their order, into as few appends as the limit allows. A record that is too large is in one of its own.
func (l LogLimits) Split(records []KeyedRecord) [][]KeyedRecord {
	var appends [][]KeyedRecord
	begin, size := 0, ByteCount(0)
	for i := range records {
		next := lengthSize + records[i].Size()
		if l.Append > 0 && i > begin && size+next > l.Append {
			appends = append(appends, records[begin:i])
			begin, size = i, 0
		}
		size += next
	}
	if begin < len(records) {
		appends = append(appends, records[begin:])
	}
	return appends
}

// KeyedBatch is the result of a read.
type KeyedBatch struct {
	Records []KeyedRecord
	Next    Offset // the offset from which to read next
	End     Offset // the end of the stream at the time of the read: the offset that the next append would get
}

// AppendCondition makes an append conditional. The zero value means no condition.
type AppendCondition struct {
	// CheckEnd requires that the stream ends at End. If it does not, the append fails with ErrEndMismatch.
	CheckEnd bool
	End      Offset
	// Writer, Term and Sequence fence and deduplicate the appends of a writer, unless Writer is empty. An append with a
	// lower term than an earlier one fails with ErrFenced. An append with a repeated sequence number returns the result of
	// the first one. An append without records only registers the term and the sequence number.
	Writer   WriterID
	Term     Term
	Sequence int64
}

// SequenceError means that the sequence number of an append does not directly follow the writer's last one.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence: want sequence number %d", e.Expected)
}

// Errors of a KeyedLog.
var (
	// ErrTrimmed means that requested records have already been removed from the log.
	ErrTrimmed = errors.New("records have been trimmed from the log")
	// ErrEndMismatch means that the stream does not end at the expected offset, because other records were appended.
	ErrEndMismatch = errors.New("stream does not end at the expected offset")
)
