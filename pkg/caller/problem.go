package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Reason is the machine-readable reason why a request has no answer. The dispatcher and the connections to minions define
// further reasons, which are sent in the same header.
type Reason string

// Reasons given by the handler.
const (
	ReasonBadService       Reason = "bad-service"
	ReasonBadTimeout       Reason = "bad-timeout"
	ReasonBadKey           Reason = "bad-key"
	ReasonBadMethod        Reason = "bad-method"
	ReasonBadHeader        Reason = "bad-header"
	ReasonHeaderSize       Reason = "header-too-large"
	ReasonBodySize         Reason = "body-too-large"
	ReasonSlowBody         Reason = "body-too-slow"
	ReasonBadBody          Reason = "bad-body"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonKeyReused        Reason = "key-reused" // the key was used for a different request
	ReasonKeyUnknown       Reason = "key-result-unknown"
	ReasonKeyAnswerNotKept Reason = "key-answer-not-kept"
	ReasonKeyHomeLost      Reason = "key-home-lost"
	ReasonKeysFull         Reason = "keys-full"
	ReasonKeysUnavailable  Reason = "keys-unavailable"
	ReasonTruncated        Reason = "truncated-answer"
	ReasonMemory           Reason = "memory" // the limit on buffered bodies is reached
)

// Problem is the error for a request that has no answer.
type Problem struct {
	Result     oleanderline.Result // ResultNotRun or ResultUnknown
	Status     int
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s: %s", p.Status, p.Result, p.Reason, p.Detail)
}

// badRequest returns the problem for an invalid request.
func badRequest(status int, reason Reason, format string, args ...any) *Problem {
	return &Problem{
		Result: oleanderline.ResultNotRun,
		Status: status,
		Reason: reason,
		Detail: fmt.Sprintf(format, args...),
	}
}

type problemBody struct {
	Result string `json:"result"`
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderResult, p.Result.String())
	h.Set(HeaderReason, string(p.Reason))
	h.Set("Content-Type", "application/json")
	if p.RetryAfter > 0 {
		// The header is in whole seconds; rounding up prevents callers from retrying too early.
		h.Set("Retry-After", strconv.Itoa(int((p.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(problemBody{Result: p.Result.String(), Reason: string(p.Reason), Detail: p.Detail})
}
