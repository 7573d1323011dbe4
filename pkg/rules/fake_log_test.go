package rules

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// fakeLog is an in-memory log service with faults that a test switches on and off.
type fakeLog struct {
	mu          sync.Mutex
	entries     []oleanderline.Entry
	oldest      oleanderline.Offset
	down        bool // calls fail without effect
	loseReply   bool // the next append takes effect, but its answer is lost
	delayAppend bool // the answer of the next append is lost, and the append takes effect in deliverDelayed
	delayed     [][]byte

	beforeAppend func()
}

func newFakeLog() *fakeLog { return &fakeLog{oldest: 1} }

func (l *fakeLog) Append(_ context.Context, _ oleanderline.Stream, data []byte) (oleanderline.Offset, error) {
	if l.beforeAppend != nil {
		l.beforeAppend()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, oleanderline.ErrUnavailable
	}
	if l.delayAppend {
		l.delayAppend = false
		l.delayed = append(l.delayed, data)
		return 0, oleanderline.ErrUncertain
	}
	offset := l.store(data)
	if l.loseReply {
		l.loseReply = false
		return 0, oleanderline.ErrUncertain
	}
	return offset, nil
}

func (l *fakeLog) store(data []byte) oleanderline.Offset {
	offset := oleanderline.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, oleanderline.Entry{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data})
	return offset
}

// deliverDelayed stores the delayed appends.
func (l *fakeLog) deliverDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range l.delayed {
		l.store(data)
	}
	l.delayed = nil
}

func (l *fakeLog) Read(_ context.Context, _ oleanderline.Stream, from oleanderline.Offset, limit int) (oleanderline.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return oleanderline.Batch{}, oleanderline.ErrUnavailable
	}
	batch := oleanderline.Batch{Oldest: l.oldest, Next: oleanderline.Offset(len(l.entries) + 1)}
	for o := max(from, l.oldest); o < batch.Next && len(batch.Entries) < limit; o++ {
		batch.Entries = append(batch.Entries, l.entries[o-1])
	}
	return batch, nil
}

// retain removes the entries before oldest.
func (l *fakeLog) retain(oldest oleanderline.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = max(l.oldest, oldest)
}
