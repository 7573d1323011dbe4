package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// exchange is one request that a caller sends.
type exchange struct {
	id     string
	method string
	size   int    // bytes of the answer
	key    string // idempotency key, or ""
}

// observed is what the caller sees of it.
type observed struct {
	entry   oleanderline.VMID
	result  oleanderline.Result
	reason  string
	wrong   string
	broken  bool // the connection to the entry broke
	latency time.Duration
}

// attempt sends the request to the first target that accepts a connection.
func (l *load) attempt(x exchange, targets []target) observed {
	var last observed
	for _, t := range targets {
		start := time.Now()
		response, err := l.client.Do(l.request(x, t))
		last = observed{entry: t.id, broken: err != nil}
		if err == nil {
			last = readAnswer(x, t, response)
			last.latency = time.Since(start)
			return last
		}
		last.reason = err.Error()
		if !notSent(err) {
			return last
		}
		last.result = oleanderline.ResultNotRun
	}
	return last
}

func (l *load) request(x exchange, t target) *http.Request {
	url := fmt.Sprintf("%s/s/%s/fittings?size=%d", t.url, l.service, x.size)
	var body io.Reader
	if x.method == http.MethodPost {
		// The wrapper hides the type of the reader, so that net/http cannot read the body again for a replay.
		body = io.NopCloser(strings.NewReader("confirm " + x.id))
	}
	request, err := http.NewRequestWithContext(context.Background(), x.method, url, body)
	if err != nil {
		panic(err) // the URL is made of constants and numbers
	}
	request.Header.Set(standin.HeaderRequest, x.id)
	if x.key != "" {
		request.Header.Set("Idempotency-Key", x.key)
	}
	return request
}

func readAnswer(x exchange, t target, response *http.Response) observed {
	o := observed{entry: t.id, reason: response.Header.Get(caller.HeaderReason)}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.broken, o.reason = true, err.Error()
		return o
	}
	switch result := response.Header.Get(caller.HeaderResult); result {
	case oleanderline.ResultAnswered.String():
		o.result = oleanderline.ResultAnswered
		o.wrong = compare(x, response.StatusCode, body)
	case oleanderline.ResultNotRun.String():
		o.result = oleanderline.ResultNotRun
	case oleanderline.ResultUnknown.String():
	default:
		o.wrong = fmt.Sprintf("status %d with the result %q", response.StatusCode, result)
	}
	return o
}

// compare returns what is wrong with an answer, or "".
func compare(x exchange, status int, body []byte) string {
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	want, _ := io.ReadAll(standin.Content(x.id, x.size))
	switch {
	case bytes.Equal(body, want):
		return ""
	case len(body) < len(want):
		return fmt.Sprintf("%d bytes instead of %d", len(body), len(want))
	default:
		return "the content of another request"
	}
}

// notSent reports whether no connection came about, so that another entry may be tried.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
