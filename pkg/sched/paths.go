package sched

import (
	"net/http"

	"github.com/oleanderline/oleanderline/pkg/submit"
)

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", d.healthz)
	mux.HandleFunc("/readyz", d.readyz)
	mux.Handle("/jobs", submit.NewHandler(d))
	mux.Handle("/jobs/", submit.NewHandler(d))
	return mux
}

func (d *Daemon) registerOpenPaths() {
	d.operators.HandlePublic("/healthz", http.HandlerFunc(d.healthz))
	d.operators.HandlePublic("/readyz", http.HandlerFunc(d.readyz))
	d.operators.HandlePublic("/metrics", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.common.Metrics.WritePrometheus(w)
	}))
}

func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		http.Error(w, "stopping, or the VM list is not yet known", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
