package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Handler serves the log over the HTTP API that pkg/logservice calls.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		offset, err := l.Append(r.Context(), oleanderline.Stream(r.PathValue("stream")), data)
		writeAnswer(w, map[string]oleanderline.Offset{"offset": offset}, err)
	})
	mux.HandleFunc("GET /streams/{stream}", func(w http.ResponseWriter, r *http.Request) {
		from, errFrom := strconv.ParseInt(r.FormValue("from"), 10, 64)
		limit, errLimit := strconv.Atoi(r.FormValue("limit"))
		if err := errors.Join(errFrom, errLimit); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		batch, err := l.Read(r.Context(), oleanderline.Stream(r.PathValue("stream")), oleanderline.Offset(from), limit)
		writeAnswer(w, batch, err)
	})
	return mux
}

// Handler serves the VM list over the HTTP API that pkg/vmlist calls.
func (v *VMs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		rows, err := v.List(r.Context())
		if err == nil {
			tag := etagOf(rows)
			w.Header().Set("ETag", tag)
			if r.Header.Get("If-None-Match") == tag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		}
		writeAnswer(w, rows, err)
	})
	return mux
}

func etagOf(rows []oleanderline.VM) string {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(rows)
	return fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 36))
}

// Handler serves the worker over the HTTP API that pkg/worker calls.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /start", handle(func(r *http.Request, req oleanderline.StartRequest) (struct{}, error) {
		return struct{}{}, w.Start(r.Context(), req)
	}))
	mux.HandleFunc("POST /renew", handle(func(r *http.Request, req oleanderline.RenewRequest) (oleanderline.Inventory, error) {
		return w.Renew(r.Context(), req)
	}))
	mux.HandleFunc("POST /stop", handle(func(r *http.Request, req oleanderline.StopRequest) (oleanderline.StopResult, error) {
		return w.Stop(r.Context(), req)
	}))
	mux.HandleFunc("POST /throttle", handle(func(r *http.Request, req oleanderline.ThrottleRequest) (struct{}, error) {
		return struct{}{}, w.Throttle(r.Context(), req)
	}))
	mux.HandleFunc("GET /inventory", func(out http.ResponseWriter, r *http.Request) {
		shard, err := strconv.Atoi(r.FormValue("shard"))
		if err != nil {
			http.Error(out, err.Error(), http.StatusBadRequest)
			return
		}
		inventory, err := w.Inventory(r.Context(), oleanderline.ShardID(shard))
		writeAnswer(out, inventory, err)
	})
	mux.HandleFunc("GET /usage", func(out http.ResponseWriter, r *http.Request) {
		usage, err := w.Usage(r.Context())
		writeAnswer(out, usage, err)
	})
	return mux
}

// handle returns a handler that decodes the JSON request, calls op and writes its answer.
func handle[Q, A any](op func(*http.Request, Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		value, err := op(r, request)
		writeAnswer(w, value, err)
	}
}

// writeAnswer writes the value or the error. For ErrUncertain it closes the connection without an answer.
func writeAnswer(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, oleanderline.ErrUncertain) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), platform.StatusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
