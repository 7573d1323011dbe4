package bodyreader

import (
	"net/http"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
)

// stream reads a body from its connection and ends it when it makes too little progress.
type stream struct {
	request    *http.Request
	controller *http.ResponseController
	start      time.Time
	deadline   time.Time
	received   int64

	mu      sync.Mutex
	evicted bool
}

func newStream(w http.ResponseWriter, r *http.Request, timeout time.Duration) *stream {
	now := time.Now()
	return &stream{request: r, controller: http.NewResponseController(w), start: now, deadline: now.Add(timeout)}
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if !s.extendDeadline() {
		return 0, bodygate.ErrFull
	}
	n, err := s.request.Body.Read(p)
	s.received += int64(n)
	if err != nil && s.isEvicted() {
		return n, bodygate.ErrFull
	}
	return n, err
}

// extendDeadline allows the next read as much time as the bytes received so far permit. It returns false if the body was evicted.
func (s *stream) extendDeadline() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evicted {
		return false
	}
	allowed := s.start.Add(grace + time.Duration(s.received)*time.Second/minRate)
	if allowed.After(s.deadline) {
		allowed = s.deadline
	}
	_ = s.controller.SetReadDeadline(allowed) // a connection that has no deadlines is that of a test
	return true
}

// evict ends the current read. It may be called while another goroutine reads.
func (s *stream) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicted = true
	_ = s.controller.SetReadDeadline(s.start) // see extendDeadline
}

func (s *stream) isEvicted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// end removes the deadline, which must not apply to the next request.
func (s *stream) end() {
	_ = s.controller.SetReadDeadline(time.Time{}) // see extendDeadline
}

// abandon keeps net/http from reading the rest of the body, which it does otherwise to use the connection again.
func (s *stream) abandon() {
	_ = s.controller.SetReadDeadline(s.start) // see extendDeadline
	connlimit.CloseSoon(s.request.Context())
}

// Expect bounds the time in which the body of a request is read, for requests that are answered without Read as well: net/http reads their
// bodies after the answer, to use the connection again.
func Expect(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	connlimit.SetReceiving(r.Context())
	newStream(w, r, timeout).extendDeadline()
}

// Abandon keeps net/http from reading the rest of the body of a request that is refused. The answer must close the connection.
func Abandon(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		newStream(w, r, 0).abandon()
	}
}
