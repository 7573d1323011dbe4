package minion

import (
	"io"
	"sync"
)

// sourceBody is the body of a request to a minion. It remembers an error of the caller's side, so that a caller that
// breaks off is not held against the minion. It has no type that net/http knows how to read twice.
type sourceBody struct {
	reader io.Reader

	mu  sync.Mutex
	err error
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. The caller's body is closed by the server that read it.
func (b *sourceBody) Close() error { return nil }

func (b *sourceBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
