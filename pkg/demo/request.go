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

// requestSpec describes a request to send.
type requestSpec struct {
	id     string
	method string
	size   int    // requested length of the answer in bytes
	key    string // idempotency key, if any
}

// outcome is the outcome of a request at its caller.
type outcome struct {
	entry    oleanderline.VMID
	result   oleanderline.Result
	reason   string // why there is no answer
	mismatch string // what is wrong with the answer, or ""
	broken   bool   // the connection to the entry failed
	latency  time.Duration
}

// attempt sends the request to the first target that accepts a connection and returns the outcome.
func (l *loadGenerator) attempt(spec requestSpec, targets []target) outcome {
	var last outcome
	for _, t := range targets {
		start := time.Now()
		response, err := l.client.Do(l.newRequest(spec, t))
		last = outcome{entry: t.id, broken: err != nil}
		if err == nil {
			last = readAnswer(spec, t, response)
			last.latency = time.Since(start)
			return last
		}
		last.reason = err.Error()
		if !isDialError(err) {
			return last
		}
		last.result = oleanderline.ResultNotRun
	}
	return last
}

func (l *loadGenerator) newRequest(spec requestSpec, t target) *http.Request {
	url := fmt.Sprintf("%s/s/%s/fittings?size=%d", t.url, l.service, spec.size)
	var body io.Reader
	if spec.method == http.MethodPost {
		// The wrapper hides the type of the reader, so that net/http cannot rewind the body and retry the request.
		body = io.NopCloser(strings.NewReader("confirm " + spec.id))
	}
	request, err := http.NewRequestWithContext(context.Background(), spec.method, url, body)
	if err != nil {
		panic(err) // cannot happen: the URL consists of constants and numbers
	}
	request.Header.Set(standin.HeaderRequest, spec.id)
	if spec.key != "" {
		request.Header.Set("Idempotency-Key", spec.key)
	}
	return request
}

func readAnswer(spec requestSpec, t target, response *http.Response) outcome {
	o := outcome{entry: t.id, reason: response.Header.Get(caller.HeaderReason)}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.broken, o.reason = true, err.Error()
		return o
	}
	switch result := response.Header.Get(caller.HeaderResult); result {
	case oleanderline.ResultAnswered.String():
		o.result = oleanderline.ResultAnswered
		o.mismatch = checkAnswer(spec, response.StatusCode, body)
	case oleanderline.ResultNotRun.String():
		o.result = oleanderline.ResultNotRun
	case oleanderline.ResultUnknown.String():
	default:
		o.mismatch = fmt.Sprintf("status %d with unexpected result %q", response.StatusCode, result)
	}
	return o
}

// checkAnswer returns a description of what is wrong with an answer, or "".
func checkAnswer(spec requestSpec, status int, body []byte) string {
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	want, _ := io.ReadAll(standin.Content(spec.id, spec.size))
	switch {
	case bytes.Equal(body, want):
		return ""
	case len(body) < len(want):
		return fmt.Sprintf("truncated: got %d of %d bytes", len(body), len(want))
	default:
		return "content does not belong to this request"
	}
}

// isDialError reports whether no connection was established, so that the request can safely be sent to another entry.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
