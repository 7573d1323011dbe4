package minion

import (
	"io"
	"sync"
)

// requestBody is the body of a request to a minion. It records a read error on the caller's side, so that a caller that
// disconnects does not count as a failure of the minion. net/http cannot rewind this type, so it cannot send the body
// twice.
type requestBody struct {
	reader io.Reader

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. The HTTP server that received the caller's request closes its body.
func (b *requestBody) Close() error { return nil }

// readError returns the error of the caller's body, if any.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
