// Package submit implements the HTTP API for submitting, querying and cancelling jobs.
package submit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// HeaderKey is the request header with the idempotency key of a job.
const HeaderKey = "Idempotency-Key"

// HeaderResult is the response header with the result of the call: answered, not-run or unknown, as in responses to
// latency-critical requests.
const HeaderResult = "Oleander-Result"

// Limits of a submission, and the delay after which a refused call may be retried.
const (
	maxBody    = 1 << 20  // bytes
	maxKey     = 200      // bytes
	maxCount   = 100_000  // tasks
	maxCommand = 64 << 10 // bytes
	retryAfter = "2"      // seconds, in the Retry-After header
)

// Backend forwards calls to the process that owns the shard of a job.
type Backend interface {
	// Submit returns once the job is stored in the log, or with a verdict other than shard.Accepted.
	Submit(ctx context.Context, job journal.Job) shard.Answer
	// Job returns the status of a job from the owner of its shard.
	Job(ctx context.Context, id oleanderline.JobID) (shard.JobStatus, error)
	// Cancel returns once the cancellation is stored in the log, or with a verdict other than shard.Accepted.
	Cancel(ctx context.Context, id oleanderline.JobID) shard.Answer
}

// Handler serves POST /jobs, GET /jobs/<id> and DELETE /jobs/<id>.
type Handler struct {
	backend Backend
	mux     *http.ServeMux
}

// NewHandler returns a handler that checks calls and forwards them to backend.
func NewHandler(backend Backend) *Handler {
	h := &Handler{backend: backend, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /jobs", h.post)
	h.mux.HandleFunc("GET /jobs/{id}", h.get)
	h.mux.HandleFunc("DELETE /jobs/{id}", h.delete)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// reply is the JSON body of every response.
type reply struct {
	shard.JobStatus

	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
}

func (h *Handler) post(w http.ResponseWriter, r *http.Request) {
	job, err := parseJob(r)
	if err != nil {
		writeReply(w, http.StatusBadRequest, oleanderline.ResultNotRun, reply{Error: err.Error()})
		return
	}
	h.writeAnswer(w, http.StatusCreated, h.backend.Submit(r.Context(), job))
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	status, err := h.backend.Job(r.Context(), oleanderline.JobID(r.PathValue("id")))
	switch {
	case err != nil:
		writeReply(w, http.StatusServiceUnavailable, oleanderline.ResultNotRun, reply{Error: err.Error()})
	case !status.Known:
		writeReply(w, http.StatusNotFound, oleanderline.ResultAnswered, reply{
			JobStatus: status, Error: "no such job is recorded, or it finished long ago",
		})
	default:
		writeReply(w, http.StatusOK, oleanderline.ResultAnswered, reply{JobStatus: status})
	}
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	answer := h.backend.Cancel(r.Context(), oleanderline.JobID(r.PathValue("id")))
	if answer.Verdict == shard.Accepted && len(answer.Jobs) == 1 {
		if !answer.Jobs[0].Known {
			writeReply(w, http.StatusNotFound, oleanderline.ResultNotRun, reply{JobStatus: answer.Jobs[0], Error: "no such job"})
			return
		}
		writeReply(w, http.StatusOK, oleanderline.ResultAnswered, reply{
			JobStatus: answer.Jobs[0], Result: cancelResult(answer.Jobs[0]),
		})
		return
	}
	h.writeAnswer(w, http.StatusOK, answer)
}

// cancelResult returns the result of a cancellation, which does not change tasks that had finished before.
func cancelResult(status shard.JobStatus) string {
	switch {
	case !status.Finished():
		return "cancelling"
	case status.Cancelled == 0:
		return "already finished"
	default:
		return "cancelled"
	}
}

// writeAnswer writes the response for an answer of the backend. acceptedStatus is the HTTP status for shard.Accepted.
func (h *Handler) writeAnswer(w http.ResponseWriter, acceptedStatus int, answer shard.Answer) {
	body := reply{Error: answer.Reason}
	if len(answer.Jobs) > 0 {
		body.JobStatus = answer.Jobs[0]
	}
	switch answer.Verdict {
	case shard.Accepted:
		body.Result = "accepted"
		writeReply(w, acceptedStatus, oleanderline.ResultAnswered, body)
	case shard.Conflict:
		writeReply(w, http.StatusConflict, oleanderline.ResultNotRun, body)
	case shard.Impossible:
		writeReply(w, http.StatusUnprocessableEntity, oleanderline.ResultNotRun, body)
	case shard.Uncertain:
		writeReply(w, http.StatusGatewayTimeout, oleanderline.ResultUnknown, body)
	default:
		w.Header().Set("Retry-After", retryAfter)
		writeReply(w, http.StatusServiceUnavailable, oleanderline.ResultNotRun, body)
	}
}

func writeReply(w http.ResponseWriter, status int, result oleanderline.Result, body reply) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderResult, result.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func parseJob(r *http.Request) (journal.Job, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return journal.Job{}, fmt.Errorf("body: %w", err)
	}
	if len(data) > maxBody {
		return journal.Job{}, fmt.Errorf("body: at most %d bytes are allowed", maxBody)
	}
	var job journal.Job
	if err := json.Unmarshal(data, &job); err != nil {
		return journal.Job{}, fmt.Errorf("body: %w", err)
	}
	if key := r.Header.Get(HeaderKey); key != "" {
		if job.Key != "" && job.Key != key {
			return journal.Job{}, errors.New("key: differs from the header " + HeaderKey)
		}
		job.Key = key
	}
	if job.Kind == "" {
		job.Kind = oleanderline.KindBatch
	}
	job.ID = ""
	return job, validate(job)
}

func validate(job journal.Job) error {
	switch {
	case job.Key == "" || len(job.Key) > maxKey:
		return fmt.Errorf("header %s: must have 1 to %d bytes", HeaderKey, maxKey)
	case job.Team == "":
		return errors.New("team: must not be empty")
	case job.Kind != oleanderline.KindBatch && job.Kind != oleanderline.KindCritical:
		return fmt.Errorf("kind %q: must be batch or critical", job.Kind)
	case job.Count < 1 || job.Count > maxCount:
		return fmt.Errorf("count %d: must be from 1 to %d", job.Count, maxCount)
	case job.Size.CPU <= 0 || job.Size.Memory <= 0 || job.Size.Accelerators < 0:
		return fmt.Errorf("size %s: cpu (millicores) and mem (megabytes) must be above 0", job.Size)
	case job.Command == "" || len(job.Command) > maxCommand:
		return fmt.Errorf("cmd: must have 1 to %d bytes", maxCommand)
	}
	return nil
}
