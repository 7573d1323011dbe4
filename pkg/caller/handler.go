// Package caller is the HTTP handler that receives requests from callers, validates them and writes the replies.
package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/bodyreader"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Handler serves the requests of callers.
type Handler struct {
	common    *common.Common
	settings  Settings
	exchanger Exchanger
	memory    *bodygate.Gate               // for the heads of all bodies
	logLimits map[common.Event]*logLimiter // by event, so that lines of one do not keep out those of another
	answered  *metrics.Counter
	notRun    *metrics.Counter
	unknown   *metrics.Counter
	truncated *metrics.Counter
}

// NewHandler returns a handler that passes valid requests to exchanger.
func NewHandler(c *common.Common, settings Settings, exchanger Exchanger) *Handler {
	return &Handler{
		common:    c,
		settings:  settings,
		exchanger: exchanger,
		memory:    bodygate.New(common.NewSystemClock(), oleanderline.ByteCount(settings.MaxBuffered), headGrace),
		logLimits: newLogLimits(common.EventBadRequest, common.EventServiceUnknown, common.EventAnswerTruncated),
		answered:  c.Metrics.NewCounter("oleander_caller_answered_total"),    // requests whose complete answer was forwarded to the caller
		notRun:    c.Metrics.NewCounter("oleander_caller_not_run_total"),     // requests refused without having run, invalid ones included
		unknown:   c.Metrics.NewCounter("oleander_caller_unknown_total"),     // requests that may have run, but have no answer
		truncated: c.Metrics.NewCounter("oleander_caller_cut_answers_total"), // answers that were truncated because the minion's answer ended early or the caller disconnected
	}
}

const (
	// smallHead is the size up to which a head is not counted, because the limit on connections bounds the sum of such heads.
	smallHead = 8 << 10
	// headGrace is how long a head is not evicted. Callers are a few milliseconds away.
	headGrace = time.Second
	// memoryTimeout is how long a head waits for memory. A stalled head gives way before.
	memoryTimeout = 2 * headGrace
)

// maxLogLinesPerSecond limits the log lines of each event that callers can cause.
const maxLogLinesPerSecond = 5

func newLogLimits(events ...common.Event) map[common.Event]*logLimiter {
	limits := map[common.Event]*logLimiter{}
	for _, event := range events {
		limits[event] = newLogLimiter(maxLogLinesPerSecond, time.Second)
	}
	return limits
}

// mayLog reports whether another line of an event may be logged now.
func (h *Handler) mayLog(event common.Event) bool {
	return h.logLimits[event].allow(h.common.Clock.Now())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bodyreader.Expect(w, r, h.settings.BodyGrace)
	call, problem := h.parse(r, h.common.Clock.Now())
	if problem == nil {
		call.Body, problem = h.readBody(w, r)
	}
	if problem != nil {
		h.refuse(w, r, problem)
		return
	}
	defer call.Body.close()
	reply, err := h.exchanger.Exchange(r.Context(), call)
	if err != nil {
		if !errors.As(err, &problem) {
			problem = &Problem{Status: http.StatusBadGateway, Reason: "internal", Detail: err.Error()}
		}
		h.refuse(w, r, problem)
		return
	}
	defer reply.Body.Close() //nolint:errcheck // the body was read to its end, or the answer was aborted
	h.writeReply(w, r, reply)
}

// refuse counts and logs a problem and writes it as the response.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, problem *Problem) {
	if problem.Result == oleanderline.ResultNotRun {
		h.notRun.Inc()
	} else {
		h.unknown.Inc()
	}
	h.logRefusal(r, problem)
	switch problem.Reason {
	case ReasonBodySize, ReasonSlowBody, ReasonBadBody, ReasonMemory:
		// The rest of the body is not read, so the connection cannot carry another request.
		w.Header().Set("Connection", "close")
		bodyreader.Abandon(w, r)
	}
	problem.write(w)
}

// logRefusal logs a problem for which the caller or the operators are responsible.
func (h *Handler) logRefusal(r *http.Request, problem *Problem) {
	event := common.EventBadRequest
	if problem.Reason == ReasonUnknownService {
		event = common.EventServiceUnknown
	}
	if problem.Status < http.StatusInternalServerError && h.mayLog(event) {
		h.common.Event(event).WithField("from", r.RemoteAddr).WithField("reason", string(problem.Reason)).
			WithField("detail", problem.Detail).Info("refused a request")
	}
}

// copyBuffers holds reusable buffers for copying answers, to avoid an allocation for each answer.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// writeReply writes a minion's answer as the response. If that fails, it panics with http.ErrAbortHandler.
func (h *Handler) writeReply(w http.ResponseWriter, r *http.Request, reply *Reply) {
	header := w.Header()
	copyEndToEnd(header, reply.Header)
	header[HeaderResult] = answeredValue
	if reply.ContentLength >= 0 && header["Content-Length"] == nil && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	w.WriteHeader(reply.Status)
	if err := copyBody(w, reply); err != nil {
		h.truncated.Inc()
		if h.mayLog(common.EventAnswerTruncated) {
			h.common.Event(common.EventAnswerTruncated).WithError(err).Warn("could not forward the complete answer; closing the connection to the caller")
		}
		// A truncated answer must not look complete: aborting closes the connection before the end of the body.
		panic(http.ErrAbortHandler)
	}
	if reply.Trailer != nil {
		for name, values := range reply.Trailer() {
			header[http.TrailerPrefix+name] = values
		}
	}
	h.answered.Inc()
}

var answeredValue = []string{oleanderline.ResultAnswered.String()}

// copyBody copies the body of the reply to w. It flushes after each read except the last one, so that streamed answers are
// not delayed.
func copyBody(w http.ResponseWriter, reply *Reply) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	remaining := reply.ContentLength
	for {
		n, err := reply.Body.Read(*buffer)
		remaining -= int64(n)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case remaining != 0 && n < len(*buffer):
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
			}
		}
	}
}
