package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Call is a validated request of a caller.
type Call struct {
	Service  oleanderline.ServiceID
	Method   string
	Path     string   // path of URL
	URL      *url.URL // as sent to the minion
	Host     string
	Header   http.Header
	Key      string // idempotency key, or ""
	Arrived  time.Time
	Deadline time.Time
	Body     *Body
}

// Idempotent reports whether the HTTP method is idempotent, so that the request may run more than once without a key.
func (c *Call) Idempotent() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// Reply is a minion's answer, to be written to the caller.
type Reply struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	Body          io.ReadCloser
	Trailer       func() http.Header // valid after the body was read; may be nil
}

// Exchanger sends a call to a minion and returns the reply. Every error is a *Problem. The context is cancelled when the
// caller disconnects.
type Exchanger interface {
	Exchange(ctx context.Context, call *Call) (*Reply, error)
}
