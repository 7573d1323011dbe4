package oleanderline

import (
	"context"
	"time"
)

// LogService is the platform's append-only log. It holds the only state that survives the loss of all own VMs of the system.
type LogService interface {
	// Append adds one entry to the end of stream and returns its offset. An error that matches ErrUncertain means
	// that the entry may nevertheless have been stored.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns up to limit entries of stream, starting at offset from or at the oldest retained entry if that is later.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Batch, error)
}

// Batch is the result of one read of a stream.
type Batch struct {
	// Oldest is the offset of the oldest entry that the log service still retains, or Next if it retains none.
	Oldest Offset `json:"oldest"`
	// Next is the offset that the next append will get. A reader has caught up once it has read the entry at Next-1.
	Next Offset `json:"next"`
	// Entries are in offset order, without gaps.
	Entries []Entry `json:"entries"`
}

// Entry is one element of a stream.
type Entry struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}
