package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
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
	// memoryShare leaves room beside the heap for stacks, buffers of the kernel and the program itself.
	memoryShare  = 0.7
	megabyte     = 1 << 20
	headerLimit  = 3 * time.Second
	idleLimit    = 60 * time.Second
	settingsPoll = 2 * time.Second
	// answerShare of a planned stop is for callers that still use open connections.
	answerShare = 0.6
	stopShare   = 0.85
)

func newCommon(args arguments) (*common.Common, error) {
	level, err := logrus.ParseLevel(args.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	clock := common.NewBootClock()
	notice := func(n int64) []byte {
		return fmt.Appendf(nil, "{\"event\":%q,\"level\":\"warning\",\"msg\":\"%d log lines dropped\"}\n", common.EventLinesDropped, n)
	}
	out := logring.New(os.Stdout, clock, args.LogLines, notice)
	return common.New("oleander-node", common.WithClock(clock), common.WithLogger(common.NewLogger(out, level))), nil
}

// program is the node with its listeners.
type program struct {
	common   *common.Common
	args     arguments
	settings platform.Settings
	path     string
	node     *node.Node
	servers  []*http.Server
	stopping atomic.Bool
}

func newProgram(c *common.Common, args arguments, settings platform.Settings, path string) *program {
	runtime.GOMAXPROCS(1) // the platform runs one thread at a time
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * megabyte))
	}
	store := platform.NewStore(settings.Store)
	var adviser oleanderline.Adviser
	if settings.Adviser != "" {
		adviser = platform.NewAdviser(settings.Adviser)
	}
	var fleet oleanderline.Fleet
	if settings.Fleet != "" {
		fleet = platform.NewFleet(settings.Fleet)
	}
	n := node.New(c, node.Settings{
		VM: settings.VM, Limits: settings.Limits, MaxLease: settings.MaxHold,
		KeepJob:     settings.KeepJobs,
		Maintenance: term.Maintenance{Takes: settings.Maintenance, Quiet: settings.HolderLease},
		PeerAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
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
	})
	return &program{common: c, args: args, settings: settings, path: path, node: n}
}

func (p *program) run(ctx context.Context) error {
	stop, cancel := p.common.StopContext()
	defer cancel()
	front := platform.NewFront(p.node)
	failed := make(chan error, 3)
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{p.settings.Front, front},
		{p.settings.ReadyCheck, http.HandlerFunc(front.ServeReady)},
		{net.JoinHostPort(p.settings.IP, strconv.Itoa(p.args.Metrics)), http.HandlerFunc(p.metrics)},
	} {
		if err := p.serve(stop, s.address, s.handler, failed); err != nil {
			return err
		}
	}
	p.node.Start()
	p.common.Event(common.EventStarted).WithField("vm", p.settings.VM).WithField("front", p.settings.Front).Info("node serves")
	watching, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	go p.watchSettings(watching)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	p.stop(ctx)
	return nil
}

func (p *program) serve(ctx context.Context, address string, handler http.Handler, failed chan<- error) error {
	listener, err := common.Listen(ctx, p.common.Clock, address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.closing(handler), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", address, err)
		}
	}()
	return nil
}

// closing ends each connection with its answer once a planned stop has begun.
func (p *program) closing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// stop hands over leadership at once and goes on answering callers that still use open connections, each answer closing
// its connection, until the planned stop's time is used.
func (p *program) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(p.settings.PlannedStop)*stopShare))
	defer cancel()
	p.stopping.Store(true)
	p.node.Drain(ctx)
	time.Sleep(time.Duration(float64(p.settings.PlannedStop) * answerShare))
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.common.Log.WithError(err).Warn("a listener did not finish in time")
		}
	}
	p.node.Stop()
	p.common.Event(common.EventStopped).Info("node stopped")
}

func (p *program) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.common.Metrics.WritePrometheus(w)
}
