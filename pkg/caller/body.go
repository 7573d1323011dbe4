package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Body is the body of a caller's request. Its first part, the head, is kept in memory so that a request that did not run
// can be retried; the rest is streamed.
type Body struct {
	Length int64 // -1: unknown
	head   []byte
	rest   *limitedReader // nil if the head is the complete body

	mu          sync.Mutex
	restStarted bool // whether any of the rest has been read
}

// InMemory reports whether the complete body is in memory.
func (b *Body) InMemory() bool { return b.rest == nil }

// Head returns the part of the body that is in memory.
func (b *Body) Head() []byte { return b.head }

// Replayable reports whether Reader can return the body from its start.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.restStarted
}

func (b *Body) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// Reader returns a reader of the body from its start, or nil if there is no body. It may be called only while Replayable
// returns true.
func (b *Body) Reader() io.Reader {
	if b.rest != nil {
		return io.MultiReader(bytes.NewReader(b.head), streamReader{b})
	}
	if len(b.head) == 0 {
		return nil
	}
	return bytes.NewReader(b.head)
}

// streamReader reads the rest of a body and records that the body cannot be replayed any more.
type streamReader struct{ body *Body }

// Read implements io.Reader.
func (r streamReader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	r.body.restStarted = true
	r.body.mu.Unlock()
	return r.body.rest.Read(p)
}

// limitedReader returns an error for a body that arrives more slowly than the minimum rate or exceeds the size limit.
type limitedReader struct {
	body       io.Reader
	controller *http.ResponseController
	settings   *Settings
	startTime  time.Time
	bytesRead  int64
	err        error

	mu     sync.Mutex
	closed bool
}

// close disables setDeadline. A transport may still read the body after the handler has returned, when the deadline of the
// connection already applies to the next request.
func (r *limitedReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *limitedReader) setDeadline(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_ = r.controller.SetReadDeadline(at)
	}
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	allowed := r.settings.BodyGrace + time.Duration(r.bytesRead)*time.Second/time.Duration(r.settings.MinBodyRate)
	r.setDeadline(r.startTime.Add(allowed))
	n, err := r.body.Read(p)
	r.bytesRead += int64(n)
	if r.bytesRead > r.settings.MaxBodyBytes {
		err = badRequest(http.StatusRequestEntityTooLarge, ReasonBodySize, "body is longer than %d bytes", r.settings.MaxBodyBytes)
	}
	if err == io.EOF {
		r.setDeadline(time.Time{})
	}
	if err != nil {
		r.err = r.toProblem(err)
	}
	return n, r.err
}

// toProblem converts a read error to a *Problem, except io.EOF.
func (r *limitedReader) toProblem(err error) error {
	var problem *Problem
	switch {
	case err == io.EOF, errors.As(err, &problem):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(http.StatusRequestTimeout, ReasonSlowBody, "body arrives at less than %d bytes a second", r.settings.MinBodyRate)
	default:
		return badRequest(http.StatusBadRequest, ReasonBadBody, "body cannot be read: %v", err)
	}
}

// readBody reads the head of the request's body.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (*Body, *Problem) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{}, nil
	}
	if r.ContentLength > h.settings.MaxBodyBytes {
		return nil, badRequest(http.StatusRequestEntityTooLarge, ReasonBodySize, "body is longer than %d bytes", h.settings.MaxBodyBytes)
	}
	size := h.settings.MaxHeadBytes
	if r.ContentLength > 0 && r.ContentLength < int64(size) {
		size = int(r.ContentLength)
	}
	limited := &limitedReader{
		body:       r.Body,
		controller: http.NewResponseController(w),
		settings:   &h.settings,
		startTime:  time.Now(),
	}
	head := make([]byte, size+1)
	n, err := io.ReadFull(limited, head)
	body := &Body{Length: r.ContentLength, head: head[:n]}
	switch {
	case err == nil:
		body.rest = limited
		return body, nil
	case err == io.EOF, err == io.ErrUnexpectedEOF:
		body.Length = int64(n)
		return body, nil
	}
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = badRequest(http.StatusBadRequest, ReasonBadBody, "body cannot be read: %v", err)
	}
	problem.Result = oleanderline.ResultNotRun
	return nil, problem
}
