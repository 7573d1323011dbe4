// Package cellfake simulates the environment of a cell in one process: the keyed log, the workers and the network paths to them,
// with their failures. Tests use it directly in virtual time, or over the platform's protocol with processes on loopback.
package cellfake

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// dedupWindow is the number of a writer's last appends that are recognized when they are repeated.
const dedupWindow = 5

// Store is an in-memory oleanderline.KeyedLog.
type Store struct {
	lastingSequences bool
	mu               sync.Mutex
	streams          map[oleanderline.Stream]*stream
}

// StoreOption changes the behaviour of a Store.
type StoreOption func(*Store)

// WithLastingSequences makes an append without records set only the term of its writer: the sequence numbers go on from those of the
// earlier term, and its last appends are still recognized. By default, such an append begins the sequence numbers anew.
func WithLastingSequences() StoreOption { return func(s *Store) { s.lastingSequences = true } }

type stream struct {
	records  []oleanderline.KeyedRecord // all retained records, starting at offset first
	first    oleanderline.Offset
	newest   map[string]oleanderline.KeyedRecord // by key
	order    []string                            // keys in the order of their first record
	writers  map[oleanderline.WriterID]*writer
	appended chan struct{} // closed and replaced by each append
}

type writer struct {
	term     oleanderline.Term
	sequence int64
	offsets  map[int64]oleanderline.Offset // results of the last appends, by sequence number
}

// NewStore returns an empty store.
func NewStore(options ...StoreOption) *Store {
	s := &Store{streams: map[oleanderline.Stream]*stream{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// stream returns the stream with a name, and creates it if it does not exist.
func (s *Store) stream(name oleanderline.Stream) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{
			newest: map[string]oleanderline.KeyedRecord{}, writers: map[oleanderline.WriterID]*writer{}, appended: make(chan struct{}),
		}
		s.streams[name] = found
	}
	return found
}

func (s *stream) end() oleanderline.Offset { return s.first + oleanderline.Offset(len(s.records)) }

// Append implements oleanderline.KeyedLog.
func (s *Store) Append(_ context.Context, name oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if condition.CheckEnd && condition.End != st.end() {
		return 0, oleanderline.ErrEndMismatch
	}
	if condition.Writer != "" {
		if offset, done, err := st.checkWriter(condition, len(records) == 0, s.lastingSequences); done {
			return offset, err
		}
	}
	offset := st.end()
	st.add(records)
	if condition.Writer != "" && len(records) > 0 {
		st.writers[condition.Writer].recordAppend(condition.Sequence, offset)
	}
	return offset, nil
}

// checkWriter checks the term and the sequence number of an append. done means that offset and err are the result of the append
// and that nothing is to be stored.
func (s *stream) checkWriter(condition oleanderline.AppendCondition, empty, lastingSequences bool) (offset oleanderline.Offset, done bool, err error) {
	w := s.writers[condition.Writer]
	if w == nil {
		w = &writer{offsets: map[int64]oleanderline.Offset{}}
		s.writers[condition.Writer] = w
	}
	switch {
	case condition.Term < w.term:
		return 0, true, oleanderline.ErrFenced
	case empty && lastingSequences:
		w.term = condition.Term
		return s.end(), true, nil
	case condition.Term > w.term:
		*w = writer{term: condition.Term, sequence: condition.Sequence - 1, offsets: map[int64]oleanderline.Offset{}}
	}
	if empty {
		w.sequence = condition.Sequence
		return s.end(), true, nil
	}
	if offset, ok := w.offsets[condition.Sequence]; ok {
		return offset, true, nil
	}
	if condition.Sequence != w.sequence+1 {
		return 0, true, &oleanderline.SequenceError{Expected: w.sequence + 1}
	}
	return 0, false, nil
}

// recordAppend stores the result of an append.
func (w *writer) recordAppend(sequence int64, offset oleanderline.Offset) {
	w.sequence = sequence
	w.offsets[sequence] = offset
	delete(w.offsets, sequence-dedupWindow)
}

func (s *stream) add(records []oleanderline.KeyedRecord) {
	for _, record := range records {
		record.Offset = s.end()
		s.records = append(s.records, record)
		if _, known := s.newest[record.Key]; !known {
			s.order = append(s.order, record.Key)
		}
		s.newest[record.Key] = record
	}
	if len(records) > 0 {
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

// Read implements oleanderline.KeyedLog.
func (s *Store) Read(ctx context.Context, name oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended, err := s.tryRead(name, from)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return oleanderline.KeyedBatch{}, oleanderline.ErrUncertain
		}
	}
}

// tryRead returns the records from an offset on, and a channel that is closed by the next append.
func (s *Store) tryRead(name oleanderline.Stream, from oleanderline.Offset) (oleanderline.KeyedBatch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if from < st.first {
		return oleanderline.KeyedBatch{}, nil, oleanderline.ErrTrimmed
	}
	batch := oleanderline.KeyedBatch{Next: from, End: st.end()}
	if from < st.end() {
		batch.Records = append(batch.Records, st.records[from-st.first:]...)
		batch.Next = st.end()
	}
	return batch, st.appended, nil
}

// End returns the offset that the next append gets.
func (s *Store) End(name oleanderline.Stream) oleanderline.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).end()
}

// First returns the offset of the oldest record that Read returns.
func (s *Store) First(name oleanderline.Stream) oleanderline.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).first
}

// Newest implements oleanderline.KeyedLog.
func (s *Store) Newest(_ context.Context, name oleanderline.Stream) (oleanderline.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	batch := oleanderline.KeyedBatch{Next: st.end(), End: st.end()}
	for _, key := range st.order {
		if record := st.newest[key]; len(record.Value) > 0 {
			batch.Records = append(batch.Records, record)
		}
	}
	return batch, nil
}

// Trim removes all records of a stream, as if their retention time had passed. Newest still returns the newest record of each key.
func (s *Store) Trim(name oleanderline.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.first, st.records = st.end(), nil
}
