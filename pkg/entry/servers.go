package entry

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/caller"
)

const (
	// headerTimeout limits the time that a caller may take to send its header.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxCallerConnections limits the callers' connections; each takes about 10 KB even without a request.
	maxCallerConnections = 20_000
)

func newCallerServer(settings caller.Settings, handler http.Handler, logger *logrus.Entry) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// The handler refuses headers above its own limit and gives the reason. This higher limit stops the reading.
		MaxHeaderBytes: 2 * settings.MaxHeaderBytes,
		ErrorLog:       log.New(debugWriter{logger}, "", 0),
	}
}

// debugWriter logs net/http's own messages at debug level, because callers can cause any number of them.
type debugWriter struct{ log *logrus.Entry }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Debug(string(p))
	return len(p), nil
}

// callerMux serves the health paths, and passes all other requests to the handler of callers' requests.
func (d *Daemon) callerMux() http.Handler {
	health, ready := http.HandlerFunc(d.serveHealth), http.HandlerFunc(d.serveReady)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.Header[caller.HeaderService]) == 0 {
			switch r.URL.Path {
			case "/healthz":
				health.ServeHTTP(w, r)
				return
			case "/readyz":
				ready.ServeHTTP(w, r)
				return
			}
		}
		d.handler.ServeHTTP(w, r)
	})
}

func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.common.Metrics.WritePrometheus(w)
}

func listen(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s=%q: %w", flag, address, err)
	}
	return listener, nil
}
