//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings file of a process (fleetbench wire).
const (
	writesPerSecond  = 600
	readsPerSecond   = 2000
	recordBytes      = 262144
	requestBytes     = 2097152
	appendTime       = 2 * time.Millisecond
	partitionRate    = 20e6 // bytes a second
	readRate         = 80e6 // bytes a second, of all reads together
	partitionBytes   = 200e6
	defaultReadBytes = 1 << 20
	maxNewestItems   = 500
)

// store is the platform's store: a log with keyed topics. It keeps the limits that the settings file states, and answers 413 to a
// record or request beyond them.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	writes limiter
	reads  limiter
	// refusedBySize counts the appends beyond recordBytes or requestBytes.
	refusedBySize int
	lastRefusal   string
	readMu        sync.Mutex // shares readRate
	bytesWritten  int64
}

type topic struct {
	appendMu sync.Mutex // one append at a time
	records  [][]byte   // from offset first
	first    int64
	bytes    int64
	newest   map[string]keyedRecord
	changed  chan struct{}
	epochs   map[string]*producer
}

type keyedRecord struct {
	value  []byte
	offset int64
}

// producer is what a partition knows about one producer.
type producer struct {
	epoch   int64
	next    int64 // expected sequence number
	started bool  // an append with records was made in this epoch
	last    []storedAppend
}

type storedAppend struct {
	sequence int64
	offset   int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, writes: limiter{rate: writesPerSecond}, reads: limiter{rate: readsPerSecond}}
}

// limiter allows rate calls in each second.
type limiter struct {
	mu    sync.Mutex
	rate  int
	slot  int64
	count int
}

func (l *limiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot := time.Now().Unix(); slot != l.slot {
		l.slot, l.count = slot, 0
	}
	l.count++
	return l.count <= l.rate
}

// topic returns a topic, which it creates on first use. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}, changed: make(chan struct{}), epochs: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends one keyed record on behalf of the operator or a minion.
func (s *store) put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), [][]byte{append(record, value...)}, strings.HasPrefix(name, "keyed."))
}

// append adds records and returns the offset of the first. The caller holds the mutex.
func (s *store) append(t *topic, records [][]byte, keyed bool) int64 {
	offset := t.first + int64(len(t.records))
	for i, record := range records {
		t.records = append(t.records, record)
		t.bytes += int64(len(record))
		s.bytesWritten += int64(len(record))
		if !keyed || len(record) == 0 || len(record) < 1+int(record[0]) {
			continue
		}
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
			continue
		}
		t.newest[key] = keyedRecord{value, offset + int64(i)}
	}
	for t.bytes > partitionBytes {
		t.bytes -= int64(len(t.records[0]))
		t.records, t.first = t.records[1:], t.first+1
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) end(t *topic) int64 { return t.first + int64(len(t.records)) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	switch r.URL.Path {
	case "/log-append":
		if !s.writes.allow() {
			answer(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		if name == "keyed.op" || name == "keyed.servers" {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		s.handleAppend(w, name, query.Get, body)
	case "/log-read":
		if !s.reads.allow() {
			answer(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		s.handleRead(w, r, name, query.Get)
	case "/log-newest":
		if !s.reads.allow() {
			answer(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		s.handleNewest(w, name, query.Get("after"))
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; length > len(body) {
			return nil, false
		}
		records, body = append(records, body[:length]), body[length:]
	}
	return records, true
}

func (s *store) handleAppend(w http.ResponseWriter, name string, get func(string) string, body []byte) {
	records, ok := splitRecords(body)
	if !ok {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	total, largest, largestKey := 0, 0, ""
	for _, record := range records {
		total += len(record)
		if len(record) > largest {
			largest, largestKey = len(record), string(record[1:1+record[0]])
		}
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	if largest > recordBytes || total > requestBytes {
		s.mu.Lock()
		s.refusedBySize++
		s.lastRefusal = fmt.Sprintf("append to %s refused: largest record %q has %d bytes of %d, all records %d of %d", name, largestKey, largest, recordBytes, total, requestBytes)
		s.mu.Unlock()
		answer(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	}
	t.appendMu.Lock()
	defer t.appendMu.Unlock()
	time.Sleep(appendTime + time.Duration(float64(total)/partitionRate*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := get("at"); at != "" {
		if want, err := strconv.ParseInt(at, 10, 64); err != nil || want != s.end(t) {
			answer(w, http.StatusPreconditionFailed, map[string]any{"end": s.end(t)})
			return
		}
	}
	p, sequence, refused := s.checkProducer(w, t, get)
	if refused {
		return
	}
	offset := s.end(t)
	if len(records) > 0 {
		offset = s.append(t, records, strings.HasPrefix(name, "keyed."))
	}
	if p != nil {
		p.next, p.started = sequence+1, true
		p.last = append(p.last, storedAppend{sequence, offset})
		if len(p.last) > 5 {
			p.last = p.last[1:]
		}
	}
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": s.end(t)})
}

// checkProducer checks the epoch and the sequence number of an append. It reports true if it has answered the call.
func (s *store) checkProducer(w http.ResponseWriter, t *topic, get func(string) string) (*producer, int64, bool) {
	name := get("producer")
	if name == "" {
		return nil, 0, false
	}
	epoch, _ := strconv.ParseInt(get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(get("seqNo"), 10, 64)
	p := t.epochs[name]
	if p == nil {
		p = &producer{epoch: epoch}
		t.epochs[name] = p
	}
	switch {
	case epoch < p.epoch:
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, 0, true
	case epoch > p.epoch:
		*p = producer{epoch: epoch}
	}
	if !p.started {
		return p, sequence, false
	}
	for _, earlier := range p.last {
		if earlier.sequence == sequence {
			answer(w, http.StatusOK, map[string]any{"offset": earlier.offset, "end": s.end(t)})
			return nil, 0, true
		}
	}
	if sequence != p.next {
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seqNo": p.next})
		return nil, 0, true
	}
	return p, sequence, false
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, name string, get func(string) string) {
	from, _ := strconv.ParseInt(get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(get("waitMs"))
	limit := defaultReadBytes
	if kb, err := strconv.Atoi(get("maxKb")); err == nil && kb > 0 {
		limit = kb << 10
	}
	deadline := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < s.end(t) || waitMS <= 0 {
			data := s.readLocked(t, from, limit)
			s.mu.Unlock()
			s.readMu.Lock()
			time.Sleep(time.Duration(float64(len(data)) / readRate * float64(time.Second)))
			s.readMu.Unlock()
			_, _ = w.Write(data)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readLocked(t *topic, from int64, limit int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(s.end(t)))
	data = binary.BigEndian.AppendUint64(data, uint64(t.first))
	for i := from - t.first; i >= 0 && i < int64(len(t.records)); i++ {
		record := t.records[i]
		if len(data)+4+len(record) > limit && len(data) > 16 {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

func (s *store) handleNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	bytes, more := 0, false
	for _, key := range keys {
		if len(items) >= maxNewestItems || bytes > 1e6 {
			more = true
			break
		}
		record := t.newest[key]
		bytes += len(record.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	end := s.end(t)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

// newestOf returns the newest value of a key.
func (s *store) newestOf(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
