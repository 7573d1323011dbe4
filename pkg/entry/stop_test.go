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

// Guards against a planned stop that breaks off a long upload or a streaming answer, or that accepts new work.
func TestStopInterruptsNothing(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		step, uploading := make(chan struct{}), make(chan struct{})
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
				case <-step:
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
		<-uploading // a request that no minion has yet is refused by a stop, and is not in flight
		response, err := http.Get("http://" + d.CallerAddress() + "/s/" + testService + "/stream")
		require.NoError(t, err)
		beginning := make([]byte, len("first "))
		_, err = io.ReadFull(response.Body, beginning)
		require.NoError(t, err, "the beginning of a stream is passed on before its end")

		stopped := make(chan error, 1)
		go func() {
			if graceful {
				stopped <- d.Stop(context.Background())
				return
			}
			d.Kill()
			stopped <- nil
		}()
		require.Eventually(t, func() bool { return d.exchanger.refusing.Load() || !graceful }, waitLimit, waitStep)
		if !graceful {
			require.NoError(t, <-stopped)
		}
		close(step)
		go func() {
			_, _ = io.WriteString(writer, strings.Repeat("x", 10<<10))
			_ = writer.Close()
		}()
		rest, err := io.ReadAll(response.Body)
		if !graceful {
			require.Error(t, err, "a kill must be seen as a broken answer")
			require.Error(t, (<-uploaded).err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "last", string(rest))
		requireOutcome(t, <-uploaded, http.StatusOK, oleanderline.ResultAnswered, "")
		require.NoError(t, <-stopped)
	}
}

// Guards against a stop that refuses work before the balancer has seen the failed readiness check.
func TestStopServesDuringTheDrainDelay(t *testing.T) {
	c := newCluster(t)
	c.adjust = func(s *Settings) { s.DrainDelay = time.Minute }
	c.addMinion("m-1", func(http.ResponseWriter, *http.Request) {})
	d := c.addEntries("own-1")[0]
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(ctx) }()
	require.Eventually(t, func() bool { return d.notReady() == "stopping" }, waitLimit, waitStep)
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
