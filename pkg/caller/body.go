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

// Body is a caller's body: its first part is kept in memory so that a request that did not run can be sent again, the
// rest streams.
type Body struct {
	Length int64 // -1: unknown
	head   []byte
	rest   *pacedReader // nil: the head is the whole body

	mu      sync.Mutex
	started bool // a part of the rest was read
}

// Whole reports whether the whole body is in memory.
func (b *Body) Whole() bool { return b.rest == nil }

// Head returns the part of the body that is in memory.
func (b *Body) Head() []byte { return b.head }

// Replayable reports whether Reader can return the body from its start.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.started
}

func (b *Body) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// Reader returns the body from its start, or nil without a body. It must not be called unless Replayable.
func (b *Body) Reader() io.Reader {
	if b.rest != nil {
		return io.MultiReader(bytes.NewReader(b.head), restReader{b})
	}
	if len(b.head) == 0 {
		return nil
	}
	return bytes.NewReader(b.head)
}

type restReader struct{ body *Body }

// Read implements io.Reader.
func (r restReader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	r.body.started = true
	r.body.mu.Unlock()
	return r.body.rest.Read(p)
}

// pacedReader ends a body that arrives more slowly than the least rate, or that is longer than the limit.
type pacedReader struct {
	body     io.Reader
	control  *http.ResponseController
	settings *Settings
	start    time.Time
	read     int64
	err      error

	mu     sync.Mutex
	closed bool
}

// close prevents a transport that still reads after the end of the handler from changing the connection's deadline,
// which then belongs to the next request.
func (r *pacedReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *pacedReader) setDeadline(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_ = r.control.SetReadDeadline(at)
	}
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	allowed := r.settings.BodyGrace + time.Duration(r.read)*time.Second/time.Duration(r.settings.BodyRate)
	r.setDeadline(r.start.Add(allowed))
	n, err := r.body.Read(p)
	r.read += int64(n)
	if r.read > r.settings.MaxBodyBytes {
		err = badRequest(http.StatusRequestEntityTooLarge, ReasonBodySize, "body is longer than %d bytes", r.settings.MaxBodyBytes)
	}
	if err == io.EOF {
		r.setDeadline(time.Time{})
	}
	if err != nil {
		r.err = r.problem(err)
	}
	return n, r.err
}

func (r *pacedReader) problem(err error) error {
	var known *Problem
	switch {
	case err == io.EOF, errors.As(err, &known):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(http.StatusRequestTimeout, ReasonSlowBody, "body arrives at less than %d bytes a second", r.settings.BodyRate)
	default:
		return badRequest(http.StatusBadRequest, ReasonBadBody, "body cannot be read: %v", err)
	}
}

// readBody reads the first part of the request's body.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (*Body, *Problem) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{}, nil
	}
	if r.ContentLength > h.settings.MaxBodyBytes {
		return nil, badRequest(http.StatusRequestEntityTooLarge, ReasonBodySize, "body is longer than %d bytes", h.settings.MaxBodyBytes)
	}
	size := h.settings.HeadBytes
	if r.ContentLength > 0 && r.ContentLength < int64(size) {
		size = int(r.ContentLength)
	}
	paced := &pacedReader{
		body:     r.Body,
		control:  http.NewResponseController(w),
		settings: &h.settings,
		start:    time.Now(),
	}
	head := make([]byte, size+1)
	n, err := io.ReadFull(paced, head)
	body := &Body{Length: r.ContentLength, head: head[:n]}
	switch {
	case err == nil:
		body.rest = paced
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
