package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

func newBytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// recordingBody copies an answer while it streams to the caller. At the end it reports the copy as the result of the
// idempotency key.
type recordingBody struct {
	io.ReadCloser
	reply     *caller.Reply
	result    *pendingResult
	limit     int
	recorded  []byte
	overLimit bool
	finished  bool
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.overLimit {
		b.recorded = append(b.recorded, p[:n]...)
		if len(b.recorded) > b.limit {
			b.recorded, b.overLimit = nil, true
		}
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. If the caller has disconnected, the rest of an answer below the limit is read, so that
// later requests with the same key get it.
func (b *recordingBody) Close() error {
	buffer := make([]byte, 4<<10)
	for !b.finished && !b.overLimit {
		if _, err := b.Read(buffer); err != nil {
			break
		}
	}
	// If the body has not been read to its end, it is over the limit.
	b.finish(true)
	return b.ReadCloser.Close()
}

func (b *recordingBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	record := idempotency.Record{State: idempotency.StateUnknown}
	switch {
	case b.overLimit:
		record.State = idempotency.StateAnswerDropped
	case complete:
		record.State = idempotency.StateAnswered
		record.Answer = &idempotency.Answer{
			Status: b.reply.Status,
			Header: headerWithTrailer(b.reply),
			Body:   b.recorded,
		}
	}
	b.result.report(record, false)
}

// headerWithTrailer returns a copy of the header that includes the trailer fields: a stored answer has no trailer.
func headerWithTrailer(reply *caller.Reply) http.Header {
	header := reply.Header.Clone()
	if reply.Trailer != nil {
		for name, values := range reply.Trailer() {
			header[name] = values
		}
	}
	return header
}
