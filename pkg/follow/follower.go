// Package follow reads a keyed stream continuously: first a snapshot with the newest record of each key, then every record
// that follows.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Follower reads one stream. It is not safe for concurrent use.
type Follower struct {
	log    oleanderline.KeyedLog
	stream oleanderline.Stream
	wait   time.Duration
	next   oleanderline.Offset
	end    oleanderline.Offset // of the stream at the newest successful read
	loaded bool
}

// New returns a follower whose reads wait for new records for at most wait.
func New(log oleanderline.KeyedLog, stream oleanderline.Stream, wait time.Duration) *Follower {
	return &Follower{log: log, stream: stream, wait: wait}
}

// Next returns the next records. snapshot is set if they are the newest record of each key and replace all records returned
// before. After an error, the caller repeats the call. After ErrTrimmed, the next call returns a snapshot.
func (f *Follower) Next(ctx context.Context) (records []oleanderline.KeyedRecord, snapshot bool, err error) {
	var batch oleanderline.KeyedBatch
	snapshot = !f.loaded
	if snapshot {
		batch, err = f.log.Newest(ctx, f.stream)
	} else {
		batch, err = f.log.Read(ctx, f.stream, f.next, f.wait)
	}
	if err != nil {
		f.loaded = f.loaded && !errors.Is(err, oleanderline.ErrTrimmed)
		return nil, false, err
	}
	f.loaded, f.next, f.end = true, batch.Next, batch.End
	return batch.Records, snapshot, nil
}

// Position returns the offset from which the follower reads next, and whether that was the end of the stream at the newest read.
func (f *Follower) Position() (next oleanderline.Offset, atEnd bool) { return f.next, f.next >= f.end }
