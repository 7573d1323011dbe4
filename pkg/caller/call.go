package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Call is one valid request of a caller.
type Call struct {
	Service  oleanderline.ServiceID
	Method   string
	Path     string   // as the caller wrote it, for class rules
	URL      *url.URL // as the minion sees it
	Host     string
	Header   http.Header
	Key      string // idempotency key, or ""
	Arrived  time.Time
	Deadline time.Time
	Body     *Body
}

// Idempotent reports whether the method alone permits the request to run more than once.
func (c *Call) Idempotent() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// Reply is an answer on its way to the caller.
type Reply struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	Body          io.ReadCloser
	Trailer       func() http.Header // valid after the body; may be nil
}

// Exchanger brings a call to a minion. An error is always a *Problem. The context ends when the caller has gone.
type Exchanger interface {
	Exchange(ctx context.Context, call *Call) (*Reply, error)
}
