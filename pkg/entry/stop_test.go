package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a planned stop that interrupts a long upload or a streaming answer.
func TestStopInterruptsNothing(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		release, uploading := make(chan struct{}), make(chan struct{})
		c := newCluster(t)
		c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/upload":
				close(uploading)
				n, err := io.Copy(io.Discard, r.Body)
				if err != nil || n != 100<<10 {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, "whole")
			case "/stream":
				_, _ = io.WriteString(w, "first ")
				_ = http.NewResponseController(w).Flush()
				select {
				case <-release:
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "last")
			}
		})
		d := c.addEntries("own-1")[0]
		upload, writer := io.Pipe()
		uploaded := make(chan result, 1)
		go func() {
			uploaded <- send(d, http.MethodPost, "/upload", "", func(r *http.Request) { r.Body, r.ContentLength = upload, -1 })
		}()
		_, err := io.WriteString(writer, strings.Repeat("x", 90<<10))
		require.NoError(t, err)
		<-uploading // a request that has not reached a minion is not in flight, and a stop refuses it
		response, err := http.Get("http://" + d.CallerAddress() + "/s/" + testService + "/stream")
		require.NoError(t, err)
		beginning := make([]byte, len("first "))
		_, err = io.ReadFull(response.Body, beginning)
		require.NoError(t, err, "the beginning of a stream must be forwarded before its end")

		stopped := make(chan error, 1)
		go func() {
			if graceful {
				stopped <- d.Stop(context.Background())
				return
			}
			d.Kill()
			stopped <- nil
		}()
		require.Eventually(t, func() bool { return d.exchanger.refusing.Load() || !graceful }, waitTimeout, pollInterval)
		if !graceful {
			require.NoError(t, <-stopped)
		}
		close(release)
		go func() {
			_, _ = io.WriteString(writer, strings.Repeat("x", 10<<10))
			_ = writer.Close()
		}()
		rest, err := io.ReadAll(response.Body)
		if !graceful {
			require.Error(t, err, "after a kill, the caller must get an error instead of a complete answer")
			require.Error(t, (<-uploaded).err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "last", string(rest))
		requireOutcome(t, <-uploaded, http.StatusOK, oleanderline.ResultAnswered, "")
		require.NoError(t, <-stopped)
	}
}

// Guards against a stop that refuses requests before the load balancer has seen the failed readiness check, and against
// one that accepts new requests after the drain delay.
func TestStopServesDuringTheDrainDelay(t *testing.T) {
	c := newCluster(t)
	c.adjustSettings = func(s *Settings) { s.DrainDelay = time.Minute }
	c.addMinion("m-1", func(http.ResponseWriter, *http.Request) {})
	d := c.addEntries("own-1")[0]
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(ctx) }()
	require.Eventually(t, func() bool { return d.notReadyReason() == "stopping" }, waitTimeout, pollInterval)
	response, err := http.Get("http://" + d.CallerAddress() + "/readyz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	requireOutcome(t, send(d, http.MethodPost, "/", ""), http.StatusOK, oleanderline.ResultAnswered, "")
	d.exchanger.refusing.Store(true)
	r := send(d, http.MethodPost, "/", "")
	requireOutcome(t, r, http.StatusServiceUnavailable, oleanderline.ResultNotRun, "stopping")
	cancel()
	<-stopped
}
