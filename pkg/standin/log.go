package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Log is a stand-in for the log service. The zero limits keep everything.
type Log struct {
	Faults

	keepCount int
	keepAge   time.Duration

	state   sync.Mutex
	streams map[oleanderline.Stream]*stream
	appends int
}

type stream struct {
	oldest  oleanderline.Offset // of entries[0], or of the next entry
	entries []oleanderline.Entry
}

var _ oleanderline.LogService = (*Log)(nil)

// LogOption changes a Log while it is built.
type LogOption func(*Log)

// WithKeepCount bounds the entries kept in each stream.
func WithKeepCount(n int) LogOption { return func(l *Log) { l.keepCount = n } }

// WithKeepAge bounds the age of the entries kept in each stream.
func WithKeepAge(age time.Duration) LogOption { return func(l *Log) { l.keepAge = age } }

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
	l.state.Lock()
	defer l.state.Unlock()
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
	l.state.Lock()
	defer l.state.Unlock()
	s := l.stream(name)
	s.trim(l.keepCount, l.keepAge, l.clock.Now())
	batch := oleanderline.Batch{Oldest: s.oldest, Next: s.next()}
	start := int(max(from, s.oldest) - s.oldest)
	if start < len(s.entries) && limit > 0 {
		kept := s.entries[start:]
		batch.Entries = append(batch.Entries, kept[:min(limit, len(kept))]...)
	}
	return batch
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.state.Lock()
	defer l.state.Unlock()
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

func (s *stream) trim(count int, age time.Duration, now time.Time) {
	drop := 0
	if count > 0 {
		drop = max(0, len(s.entries)-count)
	}
	for age > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].Time) > age {
		drop++
	}
	s.entries = s.entries[drop:]
	s.oldest += oleanderline.Offset(drop)
}
