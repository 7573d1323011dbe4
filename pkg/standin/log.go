package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Log is a stand-in for the log service. Without options it keeps all entries.
type Log struct {
	Faults

	maxEntries int
	maxAge     time.Duration

	stateMu sync.Mutex
	streams map[oleanderline.Stream]*stream
	appends int
}

type stream struct {
	oldest  oleanderline.Offset // offset of entries[0], or of the next entry if there are none
	entries []oleanderline.Entry
}

var _ oleanderline.LogService = (*Log)(nil)

// LogOption configures a Log.
type LogOption func(*Log)

// WithKeepCount limits the number of entries kept in each stream.
func WithKeepCount(n int) LogOption { return func(l *Log) { l.maxEntries = n } }

// WithKeepAge limits the age of the entries kept in each stream.
func WithKeepAge(age time.Duration) LogOption { return func(l *Log) { l.maxAge = age } }

// NewLog returns an empty log.
func NewLog(clock oleanderline.Clock, options ...LogOption) *Log {
	l := &Log{Faults: Faults{clock: clock}, streams: map[oleanderline.Stream]*stream{}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Append implements oleanderline.LogService.
func (l *Log) Append(ctx context.Context, name oleanderline.Stream, data []byte) (oleanderline.Offset, error) {
	return invoke(ctx, &l.Faults, func() (oleanderline.Offset, error) { return l.append(name, data), nil })
}

func (l *Log) append(name oleanderline.Stream, data []byte) oleanderline.Offset {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	entry := oleanderline.Entry{Offset: s.next(), Time: l.clock.Now(), Data: bytes.Clone(data)}
	s.entries = append(s.entries, entry)
	l.appends++
	return entry.Offset
}

// Read implements oleanderline.LogService.
func (l *Log) Read(
	ctx context.Context, name oleanderline.Stream, from oleanderline.Offset, limit int,
) (oleanderline.Batch, error) {
	return invoke(ctx, &l.Faults, func() (oleanderline.Batch, error) { return l.read(name, from, limit), nil })
}

func (l *Log) read(name oleanderline.Stream, from oleanderline.Offset, limit int) oleanderline.Batch {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	s.trim(l.maxEntries, l.maxAge, l.clock.Now())
	batch := oleanderline.Batch{Oldest: s.oldest, Next: s.next()}
	start := int(max(from, s.oldest) - s.oldest)
	if start < len(s.entries) && limit > 0 {
		available := s.entries[start:]
		batch.Entries = append(batch.Entries, available[:min(limit, len(available))]...)
	}
	return batch
}

// Appends returns the total number of entries that were appended to all streams.
func (l *Log) Appends() int {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	return l.appends
}

func (l *Log) stream(name oleanderline.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{oldest: 1}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() oleanderline.Offset { return s.oldest + oleanderline.Offset(len(s.entries)) }

func (s *stream) trim(maxEntries int, maxAge time.Duration, now time.Time) {
	drop := 0
	if maxEntries > 0 {
		drop = max(0, len(s.entries)-maxEntries)
	}
	for maxAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].Time) > maxAge {
		drop++
	}
	s.entries = s.entries[drop:]
	s.oldest += oleanderline.Offset(drop)
}
