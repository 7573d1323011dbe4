package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
)

// Body is the body of a caller's request. Its first part, the head, is kept in memory so that a request that did not run
// can be retried; the rest is streamed.
type Body struct {
	Length int64 // -1: unknown
	head   []byte
	rest   *limitedReader  // nil if the head is the complete body
	grant  *bodygate.Grant // for the memory of the head; nil if it is small

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
	if b.grant != nil {
		b.grant.Release()
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

// limitedReader returns an error for a body that arrives more slowly than the minimum rate, pauses for longer than the grace period or
// exceeds the size limit.
type limitedReader struct {
	ctx        context.Context // of the request
	body       io.Reader
	controller *http.ResponseController
	settings   *Settings
	startTime  time.Time
	bytesRead  int64
	err        error

	mu      sync.Mutex
	closed  bool
	evicted bool
}

// evict ends the current read and all later ones, because the body has to give way to others.
func (r *limitedReader) evict() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evicted = true
	_ = r.controller.SetReadDeadline(r.startTime)
}

func (r *limitedReader) isEvicted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evicted
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
	if !r.closed && !r.evicted {
		_ = r.controller.SetReadDeadline(at)
	}
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	allowed := r.settings.BodyGrace + time.Duration(r.bytesRead)*time.Second/time.Duration(r.settings.MinBodyRate)
	// Bytes that arrived fast do not entitle the rest of the body to a longer pause: it may hold a slot of a minion.
	r.setDeadline(earlier(r.startTime.Add(allowed), time.Now().Add(r.settings.BodyGrace)))
	connlimit.SetReceiving(r.ctx)
	n, err := r.body.Read(p)
	connlimit.SetWorking(r.ctx)
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// toProblem converts a read error to a *Problem, except io.EOF.
func (r *limitedReader) toProblem(err error) error {
	var problem *Problem
	switch {
	case err == io.EOF, errors.As(err, &problem):
		return err
	case r.isEvicted():
		return errMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(http.StatusRequestTimeout, ReasonSlowBody, "body arrives at less than %d bytes a second", r.settings.MinBodyRate)
	default:
		return badRequest(http.StatusBadRequest, ReasonBadBody, "body cannot be read: %v", err)
	}
}

// errMemory refuses a body for which there is no memory.
var errMemory = &Problem{
	Result: oleanderline.ResultNotRun, Status: http.StatusServiceUnavailable, Reason: ReasonMemory,
	Detail: "too many bodies are being received", RetryAfter: time.Second,
}

// streamWindow is the size of the receive buffer for a body that is streamed to a minion.
const streamWindow = 256 << 10

// readBody reads the head of the request's body. The body has to be closed, also after a problem.
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
		ctx:        r.Context(),
		body:       r.Body,
		controller: http.NewResponseController(w),
		settings:   &h.settings,
		startTime:  time.Now(),
	}
	grant, err := h.reserve(r.Context(), size, limited.evict)
	if err != nil {
		return nil, errMemory
	}
	body, err := readHead(limited, r.ContentLength, size)
	if err == nil && grant != nil && !grant.Complete() {
		err = errMemory
	}
	if err == nil {
		body.grant = grant
		if body.rest != nil {
			connlimit.SetReadBuffer(r.Context(), streamWindow)
		}
		return body, nil
	}
	if grant != nil {
		grant.Release()
	}
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = badRequest(http.StatusBadRequest, ReasonBadBody, "body cannot be read: %v", err)
	}
	refused := *problem
	refused.Result = oleanderline.ResultNotRun
	return nil, &refused
}

// readHead reads up to size bytes of a body of the given length (-1: unknown).
func readHead(limited *limitedReader, length int64, size int) (*Body, error) {
	head := make([]byte, size+1)
	n, err := io.ReadFull(limited, head)
	body := &Body{Length: length, head: head[:n]}
	switch err {
	case nil:
		body.rest = limited
		return body, nil
	case io.EOF, io.ErrUnexpectedEOF:
		body.Length = int64(n)
		return body, nil
	}
	return nil, err
}

// reserve waits for the memory for a head. It returns nil for a small one, which the limit on connections bounds.
func (h *Handler) reserve(ctx context.Context, size int, evict func()) (*bodygate.Grant, error) {
	if size <= smallHead {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	return h.memory.Acquire(ctx, oleanderline.ByteCount(size), evict)
}
