// Package cellfake stands in for what a cell speaks to, in one process: the keyed log and the workers, with their failures.
// It serves tests on virtual time and, behind the platform's protocol, processes on loopback.
package cellfake

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// repeats is how many of a writer's last appends can be repeated.
const repeats = 5

// Store is a keyed log in memory.
type Store struct {
	mu      sync.Mutex
	streams map[oleanderline.Stream]*stream
}

type stream struct {
	records []oleanderline.KeyedRecord // all of them, from offset first on
	first   oleanderline.Offset
	newest  map[string]oleanderline.KeyedRecord
	order   []string // keys in the order of their first record
	writers map[oleanderline.WriterID]*writer
	grown   chan struct{} // closed and replaced by each append
}

type writer struct {
	term     oleanderline.Term
	sequence int64
	answers  map[int64]oleanderline.Offset
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{streams: map[oleanderline.Stream]*stream{}} }

func (s *Store) stream(name oleanderline.Stream) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{
			newest: map[string]oleanderline.KeyedRecord{}, writers: map[oleanderline.WriterID]*writer{}, grown: make(chan struct{}),
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
	if condition.AtEnd && condition.End != st.end() {
		return 0, oleanderline.ErrMoved
	}
	if condition.Writer != "" {
		if offset, done, err := st.admit(condition, len(records) == 0); done {
			return offset, err
		}
	}
	offset := st.end()
	st.add(records)
	if condition.Writer != "" && len(records) > 0 {
		st.writers[condition.Writer].answered(condition.Sequence, offset)
	}
	return offset, nil
}

// admit checks the term and the sequence of a writer. done is set if the answer is known without an append.
func (s *stream) admit(condition oleanderline.AppendCondition, empty bool) (offset oleanderline.Offset, done bool, err error) {
	w := s.writers[condition.Writer]
	if w == nil {
		w = &writer{}
		s.writers[condition.Writer] = w
	}
	switch {
	case condition.Term < w.term:
		return 0, true, oleanderline.ErrFenced
	case condition.Term > w.term:
		*w = writer{term: condition.Term, sequence: condition.Sequence - 1, answers: map[int64]oleanderline.Offset{}}
	}
	if empty {
		w.sequence = condition.Sequence
		return s.end(), true, nil
	}
	if offset, ok := w.answers[condition.Sequence]; ok {
		return offset, true, nil
	}
	if condition.Sequence != w.sequence+1 {
		return 0, true, &oleanderline.SequenceError{Expected: w.sequence + 1}
	}
	return 0, false, nil
}

func (w *writer) answered(sequence int64, offset oleanderline.Offset) {
	w.sequence = sequence
	w.answers[sequence] = offset
	delete(w.answers, sequence-repeats)
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
		close(s.grown)
		s.grown = make(chan struct{})
	}
}

// Read implements oleanderline.KeyedLog.
func (s *Store) Read(ctx context.Context, name oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown, err := s.readNow(name, from)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return oleanderline.KeyedBatch{}, oleanderline.ErrUncertain
		}
	}
}

func (s *Store) readNow(name oleanderline.Stream, from oleanderline.Offset) (oleanderline.KeyedBatch, <-chan struct{}, error) {
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
	return batch, st.grown, nil
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

// Trim drops all records but the newest of each key.
func (s *Store) Trim(name oleanderline.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.first, st.records = st.end(), nil
}
