package entry

import (
	"bytes"
	"io"
	"net/http"

	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

func newBytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// capture copies an answer while it streams to the caller, and settles its key at the end.
type capture struct {
	io.ReadCloser
	reply      *caller.Reply
	settlement *settlement
	limit      int
	kept       []byte
	tooLong    bool
	ended      bool
}

// Read implements io.Reader.
func (c *capture) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if !c.tooLong {
		c.kept = append(c.kept, p[:n]...)
		if len(c.kept) > c.limit {
			c.kept, c.tooLong = nil, true
		}
	}
	if err != nil {
		c.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. If the caller has left, the rest of a short answer is read for others with the key.
func (c *capture) Close() error {
	buffer := make([]byte, 4<<10)
	for !c.ended && !c.tooLong {
		if _, err := c.Read(buffer); err != nil {
			break
		}
	}
	// What is left is longer than would be kept.
	c.end(true)
	return c.ReadCloser.Close()
}

func (c *capture) end(whole bool) {
	if c.ended {
		return
	}
	c.ended = true
	record := idempotency.Record{State: idempotency.StateUnknown}
	switch {
	case c.tooLong:
		record.State = idempotency.StateDropped
	case whole:
		record.State = idempotency.StateAnswered
		record.Answer = &idempotency.Answer{
			Status: c.reply.Status,
			Header: keptHeader(c.reply),
			Body:   c.kept,
		}
	}
	c.settlement.end(record, false)
}

// keptHeader copies the header with the trailer fields, which become ordinary ones in a kept answer.
func keptHeader(reply *caller.Reply) http.Header {
	header := reply.Header.Clone()
	if reply.Trailer != nil {
		for name, values := range reply.Trailer() {
			header[name] = values
		}
	}
	return header
}
