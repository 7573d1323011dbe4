// Package idempotency keeps the idempotency keys of one entry and decides whether a request may run, joins an earlier
// one, or is refused. It is pure: the caller passes the time.
package idempotency

import (
	"time"
)

// Settings bound the memory of a Table.
type Settings struct {
	Keep        time.Duration // how long a key is kept after its request has ended
	MaxBytes    int64         // of all records
	AnswerBytes int           // of one kept answer; larger ones are dropped
}

// DefaultSettings returns the settings of the daemon.
func DefaultSettings() Settings {
	return Settings{Keep: 2 * time.Minute, MaxBytes: 64 << 20, AnswerBytes: 64 << 10}
}

// Verdict tells what a request with a key may do.
type Verdict int

// Verdicts.
const (
	// VerdictRun gives the permission to send the request, to this attempt only.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that another attempt is being sent.
	VerdictWait
	// VerdictEnded means that the record tells the result.
	VerdictEnded
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch
	// VerdictFull means that no more keys can be kept; the request must not run.
	VerdictFull
)

// Table holds the records of one entry. Keys whose time has not ended are never dropped, because a dropped key could
// run again; only answers are dropped early.
type Table struct {
	settings Settings
	records  map[string]*Record
	ended    []endedKey // in the order of their ends
	answers  []string   // keys whose answers are kept, oldest first
	bytes    int64
}

type endedKey struct {
	key string
	at  time.Time
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{settings: settings, records: map[string]*Record{}}
}

// Begin decides about an attempt. With VerdictRun the table holds a running record, whose request must have ended at
// record.Until.
func (t *Table) Begin(record Record, now time.Time) (Verdict, *Record) {
	t.expire(now)
	known, ok := t.records[record.Key]
	if !ok {
		record.State, record.Answer = StateRunning, nil
		if !t.room(record.size()) {
			return VerdictFull, nil
		}
		t.insert(&record)
		return VerdictRun, &record
	}
	switch {
	case known.Print != record.Print:
		return VerdictMismatch, known
	case known.State != StateRunning:
		return VerdictEnded, known
	case known.Executor == record.Executor && known.Token == record.Token:
		return VerdictRun, known
	case now.After(known.Until):
		t.end(known, StateUnknown, nil, now)
		return VerdictEnded, known
	default:
		return VerdictWait, known
	}
}

// Get returns the record of a key, or nil.
func (t *Table) Get(key string, now time.Time) *Record {
	t.expire(now)
	return t.records[key]
}

// Settle records the result of an attempt. A result of another attempt than the recorded one is ignored. A key that is
// not recorded is added, because its home may have changed while the request ran.
func (t *Table) Settle(record Record, now time.Time) {
	t.expire(now)
	known, ok := t.records[record.Key]
	if !ok {
		known = &Record{
			Key: record.Key, Print: record.Print, Executor: record.Executor, Token: record.Token, Until: record.Until,
		}
		t.insert(known)
	}
	// A late result replaces "unknown", which stood for it.
	open := known.State == StateRunning || known.State == StateUnknown
	if !open || known.Executor != record.Executor || known.Token != record.Token {
		return
	}
	t.end(known, record.State, record.Answer, now)
}

// Release forgets an attempt that did not run, so that another one may.
func (t *Table) Release(key string, executor Executor, token uint64) {
	known, ok := t.records[key]
	if ok && known.State == StateRunning && known.Executor == executor && known.Token == token {
		t.remove(known)
	}
}

// Lost marks the running requests of an executor that has died as unknown.
func (t *Table) Lost(executor Executor, now time.Time) {
	for _, record := range t.records {
		if record.State == StateRunning && record.Executor == executor {
			t.end(record, StateUnknown, nil, now)
		}
	}
}

// RunningUntil returns when the last of the running requests must have ended, or the zero time.
func (t *Table) RunningUntil() time.Time {
	var last time.Time
	for _, record := range t.records {
		if record.State == StateRunning && record.Until.After(last) {
			last = record.Until
		}
	}
	return last
}

// Adopt takes over a record from a home that leaves. A record that is known already stays.
func (t *Table) Adopt(record Record, now time.Time) {
	if _, ok := t.records[record.Key]; ok {
		return
	}
	t.insert(&record)
	if record.State != StateRunning {
		t.end(&record, record.State, record.Answer, now)
	}
}

// Records returns a copy of all records, in no order.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		all = append(all, *record)
	}
	return all
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the memory that the records take.
func (t *Table) Bytes() int64 { return t.bytes }

func (t *Table) end(record *Record, state State, answer *Answer, now time.Time) {
	t.bytes -= record.size()
	record.State, record.Answer, record.ended = state, nil, now
	t.bytes += record.size()
	if state == StateAnswered {
		record.State = StateDropped
		if answer != nil && answer.size() <= int64(t.settings.AnswerBytes) && t.room(answer.size()) {
			record.State, record.Answer = StateAnswered, answer
			t.bytes += answer.size()
			t.answers = append(t.answers, record.Key)
		}
	}
	t.ended = append(t.ended, endedKey{key: record.Key, at: now})
}

// room makes room by dropping kept answers, oldest first, and reports whether size more bytes fit.
func (t *Table) room(size int64) bool {
	for len(t.answers) > 0 && t.bytes+size > t.settings.MaxBytes {
		record, ok := t.records[t.answers[0]]
		t.answers = t.answers[1:]
		if ok && record.Answer != nil {
			t.bytes -= record.Answer.size()
			record.Answer, record.State = nil, StateDropped
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

// expire forgets the keys whose time has ended. A key that ended twice, unknown first and then answered, stands twice
// in the queue and is kept until the second time.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > t.settings.Keep {
		if record, ok := t.records[t.ended[n].key]; ok && record.State != StateRunning && record.ended.Equal(t.ended[n].at) {
			t.remove(record)
		}
		n++
	}
	t.ended = t.ended[n:]
	for len(t.answers) > 0 && t.records[t.answers[0]] == nil {
		t.answers = t.answers[1:]
	}
}

// Sweep ends the running requests whose result is overdue, and forgets the keys whose time has ended.
func (t *Table) Sweep(now time.Time) {
	for _, record := range t.records {
		if record.State == StateRunning && now.After(record.Until) {
			t.end(record, StateUnknown, nil, now)
		}
	}
	t.expire(now)
}
