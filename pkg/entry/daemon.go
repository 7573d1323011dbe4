// Package entry implements the entry daemon, which receives callers' requests by HTTP and forwards them to minions by
// HTTP. Entries run on own VMs, which are the VMs of the scheduler itself. They exchange heartbeats, lend each other slots
// and store idempotency keys for each other.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
	"github.com/oleanderline/oleanderline/pkg/logservice"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/minion"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/platform"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/vmlist"
)

// Daemon is one process of the entry daemon.
type Daemon struct {
	common   *common.Common
	settings Settings
	config   config

	dispatcher   *dispatcher
	minions      *minions
	prober       *prober
	members      *members
	membership   *membership
	peers        *peers
	loans        *loans
	poller       *vmPoller
	follower     *rules.Follower
	classifier   *classifier
	exchanger    *exchanger
	counter      *burn.Counter
	keys         *keyStore
	resultSender *resultSender
	keyed        *keyedExchanger
	handler      http.Handler

	callerServer   *http.Server
	peerServer     *peer.Server
	operatorServer *peer.Server
	listeners      [3]net.Listener

	started    time.Time
	draining   atomic.Bool
	failed     chan error
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	once       sync.Once
}

// New returns a daemon that is not started yet. The settings must be valid.
func New(c *common.Common, settings Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		common:   c,
		settings: settings,
		config:   config{caller: caller.DefaultSettings(), minion: minion.DefaultSettings(), core: dispatch.DefaultSettings()},
		failed:   make(chan error, 3),
		started:  c.Clock.Now(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(&d.config)
	}
	d.limitHeads()
	if d.config.vmList == nil {
		d.config.vmList = vmlist.NewClient(settings.VMList, platform.WithByteCounter(c.PlatformBytes()))
	}
	if d.config.log == nil {
		d.config.log = logservice.NewClient(settings.LogService, platform.WithByteCounter(c.PlatformBytes()))
	}
	d.assembleRequests()
	d.assembleMembers()
	d.assembleKeys()
	return d, d.assembleServers()
}

func (d *Daemon) assembleRequests() {
	c := d.common
	seed := uint64(d.started.UnixNano())
	core := dispatch.New(dispatch.WithSettings(d.config.core), dispatch.WithRand(rand.New(rand.NewPCG(seed, 0))))
	d.minions = newMinions(c, d.config.minion, connectionLimit(1, false))
	d.classifier = newClassifier()
	d.counter = burn.NewCounter()
	d.exchanger = &exchanger{
		common:     c,
		minions:    d.minions,
		classifier: d.classifier,
		disabled:   d.config.disabled,
	}
	d.prober = newProber(c, d.minions, d.exchanger.setLeaving)
	d.dispatcher = newDispatcher(c, core, d.probeMinion)
	d.exchanger.prober, d.exchanger.dispatcher = d.prober, d.dispatcher
	d.follower = rules.NewFollower(c, d.config.log, rules.WithOnChange(d.setRules), rules.WithPeers(d.queryPeerRules))
}

func (d *Daemon) assembleMembers() {
	s := d.settings
	self := member.Member{
		ID:          s.VMID(),
		Domain:      oleanderline.DomainID(s.Domain),
		Address:     s.PeerListen,
		Incarnation: d.started.UnixNano(),
	}
	d.members = newMembers(d.common, self, s.heartbeatTimeout(), s.KeyRetention)
	d.peers = newPeers(d.common, s.Key, s.heartbeatTimeout(), d.members)
	d.loans = newLoans(d.common, d.dispatcher, d.members, d.peers)
	d.membership = &membership{
		common:     d.common,
		members:    d.members,
		peers:      d.peers,
		dispatcher: d.dispatcher,
		minions:    d.minions,
		interval:   s.Heartbeat,
		port:       portOf(s.PeerListen),
		joinDelay:  d.config.core.Slots.Drain,
		disabled:   d.config.disabled,
		inFlight:   map[string]bool{},
		roundNow:   make(chan struct{}, 1),
		codec:      newHeartbeatCodec(self.ID),
		turns:      member.NewTurns(self.ID, s.Heartbeat, 2*s.heartbeatTimeout()+d.config.core.Slots.Drain),
	}
	d.poller = newVMPoller(d.common, d.config.vmList, s.VMListPoll)
	d.poller.minions, d.poller.members, d.poller.dispatcher = d.minions, d.members, d.dispatcher
	d.poller.onUpdate = d.membership.applyView
}

func (d *Daemon) assembleKeys() {
	keySettings := idempotency.DefaultSettings()
	keySettings.Retention = d.settings.KeyRetention
	self := idempotency.Executor{ID: d.settings.VMID(), Incarnation: d.started.UnixNano()}
	d.keys = newKeyStore(d.common, self, keySettings, d.members, d.peers)
	d.keys.disabled = d.config.disabled
	d.membership.keys = d.keys
	d.resultSender = newResultSender(d.common, d.keys)
	d.keyed = &keyedExchanger{
		common: d.common,
		inner: &burnExchanger{
			common: d.common, inner: d.exchanger, counter: d.counter, classifier: d.classifier, minions: d.minions,
		},
		keys:             d.keys,
		resultSender:     d.resultSender,
		settings:         keySettings,
		undecidedTimeout: 2 * d.settings.heartbeatTimeout(),
		daemonCtx:        d.ctx,
		disabled:         d.config.disabled,
	}
	d.common.Metrics.NewGauge("oleander_entry_keys_waiting", func() float64 { return float64(d.keyed.waiting.Load()) }) // requests that wait for another attempt with the same idempotency key
	d.handler = caller.NewHandler(d.common, d.config.caller, d.keyed)
}

func (d *Daemon) assembleServers() error {
	d.callerServer = newCallerServer(d.config.caller, d.callerMux(), d.common.Log)
	d.peerServer = peer.NewServer(d.common, d.settings.Key)
	if err := d.peerServer.Register("Entry", &peerService{daemon: d}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	d.operatorServer = peer.NewServer(d.common, d.settings.Key)
	d.operatorServer.HandlePublic("/healthz", http.HandlerFunc(d.serveHealth))
	d.operatorServer.HandlePublic("/readyz", http.HandlerFunc(d.serveReady))
	d.operatorServer.HandlePublic("/metrics", http.HandlerFunc(d.serveMetrics))
	return operator.NewHandler(d.common, operatorView{d}, d.follower, operator.WithCounter(d.counter)).
		Register(d.operatorServer, operator.EntryService)
}

// OperatorServer returns the server for operators. Services may be added to it before Start.
func (d *Daemon) OperatorServer() *peer.Server { return d.operatorServer }

// Rules returns the source of the current rules.
func (d *Daemon) Rules() rules.Source { return d.follower }

// CallerAddress returns the address of the listener for callers. It is valid after Start.
func (d *Daemon) CallerAddress() string { return d.listeners[0].Addr().String() }

// OperatorAddress returns the address of the listener for operators. It is valid after Start.
func (d *Daemon) OperatorAddress() string { return d.listeners[2].Addr().String() }

// Failed returns a channel that receives an error when a listener ends unexpectedly.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Start opens the listeners and starts to serve.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		return err
	}
	ctx := d.ctx
	d.prober.start()
	d.resultSender.start()
	d.poller.poll(ctx)
	for _, run := range []func(context.Context){d.poller.run, d.membership.run, d.loans.run, d.followRules, d.sweep} {
		d.background.Go(func() { run(ctx) })
	}
	callers, err := d.listenForCallers()
	if err != nil {
		return err
	}
	d.serve("callers", func() error { return d.callerServer.Serve(callers) })
	d.serve("peers", func() error { return d.peerServer.Serve(d.listeners[1]) })
	d.serve("operators", func() error { return d.operatorServer.Serve(d.listeners[2]) })
	d.common.Event(common.EventStarted).WithField("listen", d.CallerAddress()).Info("serving")
	return nil
}

func (d *Daemon) listen() (err error) {
	addresses := []struct{ flag, address string }{
		{"--listen", d.settings.Listen},
		{"--peer-listen", d.settings.PeerListen},
		{"--operator-listen", d.settings.OperatorListen},
	}
	for i, a := range addresses {
		if d.listeners[i], err = listen(a.flag, a.address); err != nil {
			for _, opened := range d.listeners[:i] {
				_ = opened.Close()
			}
			return err
		}
	}
	return nil
}

func (d *Daemon) serve(name string, serve func() error) {
	d.background.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.common.Event(common.EventListenerFailed).WithField("listener", name).WithError(err).Error("listener ended unexpectedly; the daemon stops")
			d.failed <- fmt.Errorf("listener for %s: %w", name, err)
		}
	})
}
