// Package idempotency stores the idempotency keys of one entry and decides whether a request may run, must wait for an
// earlier attempt, gets the earlier result, or is refused. It does no I/O and reads no clock: the caller passes the time.
package idempotency

import (
	"time"
)

// Settings bound the memory of a Table.
type Settings struct {
	Retention      time.Duration // retention of a key after its request has ended
	MaxBytes       int64         // maximum size of all records
	MaxAnswerBytes int           // maximum size of a stored answer; larger answers are dropped
}

// DefaultSettings returns the settings of the daemon.
func DefaultSettings() Settings {
	return Settings{Retention: 2 * time.Minute, MaxBytes: 64 << 20, MaxAnswerBytes: 64 << 10}
}

// Verdict is the decision about a request with a key.
type Verdict int

// Verdicts.
const (
	// VerdictRun permits this attempt, and no other, to send the request.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that another attempt is running.
	VerdictWait
	// VerdictEnded means that the request has ended and the record holds its result.
	VerdictEnded
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch
	// VerdictFull means that there is no memory for another key; the request must not run.
	VerdictFull
)

// Table holds the records of one entry. A key is never dropped before its retention time ends, because its request could
// then run twice; only answers are dropped early to free memory.
type Table struct {
	settings   Settings
	records    map[string]*Record
	ended      []endedKey // keys of ended requests, in the order in which they ended
	answerKeys []string   // keys whose answers are stored, oldest first
	bytes      int64      // size of all records
}

type endedKey struct {
	key string
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, records: map[string]*Record{}}
}

// Begin decides whether an attempt may run. On VerdictRun the table holds a running record whose request must have ended
// by record.Until.
func (t *Table) Begin(record Record, now time.Time) (Verdict, *Record) {
	t.expire(now)
	existing, ok := t.records[record.Key]
	if !ok {
		record.State, record.Answer = StateRunning, nil
		if !t.makeRoom(record.size()) {
			return VerdictFull, nil
		}
		t.insert(&record)
		return VerdictRun, &record
	}
	switch {
	case existing.Print != record.Print:
		return VerdictMismatch, existing
	case existing.State != StateRunning:
		return VerdictEnded, existing
	case existing.Executor == record.Executor && existing.Token == record.Token:
		return VerdictRun, existing
	case now.After(existing.Until):
		t.end(existing, StateUnknown, nil, now)
		return VerdictEnded, existing
	default:
		return VerdictWait, existing
	}
}

// Get returns the record of a key, or nil.
func (t *Table) Get(key string, now time.Time) *Record {
	t.expire(now)
	return t.records[key]
}

// Settle records the result of an attempt. The result of any attempt other than the recorded one is ignored. A missing
// key is added, because the key's home may have changed while the request ran.
func (t *Table) Settle(record Record, now time.Time) {
	t.expire(now)
	existing, ok := t.records[record.Key]
	if !ok {
		existing = &Record{
			Key: record.Key, Print: record.Print, Executor: record.Executor, Token: record.Token, Until: record.Until,
		}
		t.insert(existing)
	}
	// A result that arrives late replaces StateUnknown.
	open := existing.State == StateRunning || existing.State == StateUnknown
	if !open || existing.Executor != record.Executor || existing.Token != record.Token {
		return
	}
	t.end(existing, record.State, record.Answer, now)
}

// Release removes the record of an attempt that did not run, so that another attempt may run.
func (t *Table) Release(key string, executor Executor, token uint64) {
	existing, ok := t.records[key]
	if ok && existing.State == StateRunning && existing.Executor == executor && existing.Token == token {
		t.remove(existing)
	}
}

// EndLost ends the running requests of a failed executor with StateUnknown.
func (t *Table) EndLost(executor Executor, now time.Time) {
	for _, record := range t.records {
		if record.State == StateRunning && record.Executor == executor {
			t.end(record, StateUnknown, nil, now)
		}
	}
}

// RunningUntil returns the time by which all running requests must have ended, or the zero time if none is running.
func (t *Table) RunningUntil() time.Time {
	var last time.Time
	for _, record := range t.records {
		if record.State == StateRunning && record.Until.After(last) {
			last = record.Until
		}
	}
	return last
}

// Adopt adds a record handed over by a home that is shutting down. An existing record is not replaced.
func (t *Table) Adopt(record Record, now time.Time) {
	if _, ok := t.records[record.Key]; ok {
		return
	}
	t.insert(&record)
	if record.State != StateRunning {
		t.end(&record, record.State, record.Answer, now)
	}
}

// Records returns a copy of all records, in no particular order.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		all = append(all, *record)
	}
	return all
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the approximate memory of all records.
func (t *Table) Bytes() int64 { return t.bytes }

// end records the result of a request. An answer is stored only if it is small enough and there is memory for it.
func (t *Table) end(record *Record, state State, answer *Answer, now time.Time) {
	t.bytes -= record.size()
	record.State, record.Answer, record.ended = state, nil, now
	t.bytes += record.size()
	if state == StateAnswered {
		record.State = StateAnswerDropped
		if answer != nil && answer.size() <= int64(t.settings.MaxAnswerBytes) && t.makeRoom(answer.size()) {
			record.State, record.Answer = StateAnswered, answer
			t.bytes += answer.size()
			t.answerKeys = append(t.answerKeys, record.Key)
		}
	}
	t.ended = append(t.ended, endedKey{key: record.Key, at: now})
}

// makeRoom drops stored answers, oldest first, until size more bytes fit, and reports whether they do.
func (t *Table) makeRoom(size int64) bool {
	for len(t.answerKeys) > 0 && t.bytes+size > t.settings.MaxBytes {
		record, ok := t.records[t.answerKeys[0]]
		t.answerKeys = t.answerKeys[1:]
		if ok && record.Answer != nil {
			t.bytes -= record.Answer.size()
			record.Answer, record.State = nil, StateAnswerDropped
		}
	}
	return t.bytes+size <= t.settings.MaxBytes
}

func (t *Table) insert(record *Record) {
	t.records[record.Key] = record
	t.bytes += record.size()
}

func (t *Table) remove(record *Record) {
	delete(t.records, record.Key)
	t.bytes -= record.size()
}

// expire removes the keys whose retention time has ended. A key that ended twice, first as unknown and then as answered,
// is in the queue twice and is kept until its second entry expires.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > t.settings.Retention {
		if record, ok := t.records[t.ended[n].key]; ok && record.State != StateRunning && record.ended.Equal(t.ended[n].at) {
			t.remove(record)
		}
		n++
	}
	t.ended = t.ended[n:]
	for len(t.answerKeys) > 0 && t.records[t.answerKeys[0]] == nil {
		t.answerKeys = t.answerKeys[1:]
	}
}

// Sweep ends the running requests whose result is overdue with StateUnknown, and removes the keys whose retention time has
// ended.
func (t *Table) Sweep(now time.Time) {
	for _, record := range t.records {
		if record.State == StateRunning && now.After(record.Until) {
			t.end(record, StateUnknown, nil, now)
		}
	}
	t.expire(now)
}
