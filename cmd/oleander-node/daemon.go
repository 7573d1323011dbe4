package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/logring"
	"github.com/oleanderline/oleanderline/pkg/node"
	"github.com/oleanderline/oleanderline/pkg/term"
	"github.com/oleanderline/oleanderline/platform"
)

const (
	// memoryShare is the share of the VM's memory that the Go memory limit allows. The rest is for stacks, kernel buffers and the
	// program itself.
	memoryShare   = 0.7
	megabyte      = 1 << 20
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	settingsPoll  = 2 * time.Second
	// drainShare is the share of the grace period in which requests on open connections are still answered.
	drainShare = 0.6
	// shutdownShare is the share of the grace period after which the shutdown is cut short.
	shutdownShare = 0.85
)

// newCommon returns the logger, clock and metrics of the process. Log lines beyond the limit per second are dropped, and the number
// of dropped lines is logged.
func newCommon(opts options) (*common.Common, error) {
	level, err := logrus.ParseLevel(opts.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	clock := common.NewBootClock()
	droppedNotice := func(n int64) []byte {
		return fmt.Appendf(nil, "{\"event\":%q,\"level\":\"warning\",\"msg\":\"%d log lines dropped\"}\n", common.EventLinesDropped, n)
	}
	out := logring.New(os.Stdout, clock, opts.LogLines, droppedNotice)
	return common.New("oleander-node", common.WithClock(clock), common.WithLogger(common.NewLogger(out, level))), nil
}

// daemon is a node with its HTTP servers.
type daemon struct {
	common   *common.Common
	opts     options
	settings platform.Settings // read at the start
	applied  platform.Settings // read last; used only by watchSettings once the process runs
	path     string            // of the settings file
	node     *node.Node
	clients  *clients
	servers  []*http.Server
	stopping atomic.Bool
	// gracePeriod is the time from the stop signal to the end of the process, in nanoseconds.
	gracePeriod atomic.Int64
}

// newDaemon connects a node to the platform, without starting it.
func newDaemon(c *common.Common, opts options, settings platform.Settings, path string) *daemon {
	runtime.GOMAXPROCS(1) // the platform runs one thread of a process at a time
	store := platform.NewStore(settings.StoreAddress)
	var adviser oleanderline.Adviser
	if settings.AdviserAddress != "" {
		adviser = platform.NewAdviser(settings.AdviserAddress)
	}
	var fleet oleanderline.Fleet
	if settings.FleetAddress != "" {
		fleet = platform.NewFleet(settings.FleetAddress)
	}
	n := node.New(c, node.Settings{
		VM: settings.VM, Limits: settings.Limits, MaxLease: settings.MaxLease,
		StopGrace: settings.StopGrace, JobRetention: settings.JobRetention, LogLimits: settings.LogLimits,
		Maintenance: term.Maintenance{Duration: settings.MaintenanceDuration, StartDelay: settings.HolderLease},
		IgnoreSpeed: opts.IgnoreSpeed, NoCopies: !opts.Copies,
		LargeJobs:   clientLimits(opts, &settings).HeldJobs,
		PeerAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		OwnAppends:  opts.OwnAppends,
	}, node.Ports{
		Ports: term.Ports{
			Log: store, Workers: platform.StreamWorkers, DecodeWorker: platform.DecodeWorker,
			Dial: func(id oleanderline.WorkerID, address string) oleanderline.Runner {
				return platform.NewMinion(id, address)
			},
			Adviser: adviser, Fleet: fleet, Status: platform.StreamStatus, EncodeWindow: platform.EncodeWindowState, Wall: time.Now,
		},
		Config: platform.StreamConfig, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		IsWindow: platform.IsWindow, DecodeWindow: platform.DecodeWindow,
		IsEvacuation: platform.IsEvacuation, DecodeEvacuation: platform.DecodeEvacuation,
	})
	d := &daemon{common: c, opts: opts, settings: settings, path: path, node: n, clients: newClients(c, opts, &settings)}
	d.apply(&settings)
	return d
}

// run serves until a stop signal arrives or a server fails.
func (d *daemon) run(ctx context.Context) error {
	stop, cancel := d.common.StopContext()
	defer cancel()
	handler := platform.NewHandler(d.node, d.clients.reader, d.clients.decoding)
	failed := make(chan error, 3)
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.ClientAddress, handler},
		{d.settings.ReadinessAddress, http.HandlerFunc(handler.ServeReady)},
		{net.JoinHostPort(d.settings.IP, strconv.Itoa(d.opts.Metrics)), http.HandlerFunc(d.metrics)},
	} {
		if err := d.serve(stop, s.address, s.handler, failed); err != nil {
			return err
		}
	}
	d.node.Start()
	d.common.Event(common.EventStarted).WithField("vm", d.settings.VM).WithField("front", d.settings.ClientAddress).Info("node started")
	watchCtx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	go d.watchSettings(watchCtx)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	d.stop(ctx)
	return nil
}

// serve serves handler on address in the background. A failure of the server is sent to failed.
func (d *daemon) serve(ctx context.Context, address string, handler http.Handler, failed chan<- error) error {
	listener, err := common.Listen(ctx, d.common.Clock, address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: d.closeOnStop(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if address == d.settings.ClientAddress {
		if listener, err = d.clients.listen(d.common, &d.settings, listener, server); err != nil {
			return err
		}
	}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", address, err)
		}
	}()
	return nil
}

// closeOnStop wraps handler. Once a stop has begun, each response closes its connection.
func (d *daemon) closeOnStop(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// stop resigns leadership at once and drains the servers: requests on open connections are still answered for drainShare of the
// grace period, and each response closes its connection.
func (d *daemon) stop(ctx context.Context) {
	grace := float64(d.gracePeriod.Load())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(grace*shutdownShare))
	defer cancel()
	d.stopping.Store(true)
	d.node.Drain(ctx)
	time.Sleep(time.Duration(grace * drainShare))
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.common.Log.WithError(err).Warn("HTTP server did not shut down in time")
		}
	}
	d.node.Stop()
	d.common.Event(common.EventStopped).Info("node stopped")
}

// metrics serves the metrics page.
func (d *daemon) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.common.Metrics.WritePrometheus(w)
}
