package sched

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
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/health"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/logservice"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/platform"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/vmlist"
	"github.com/oleanderline/oleanderline/pkg/worker"
)

// Intervals and timeouts of the daemon.
const (
	tickInterval    = 20 * time.Millisecond
	idleTickDivisor = 5 // an idle shard receives only every fifth tick
	drainInterval   = 250 * time.Millisecond
	handoverPoll    = 20 * time.Millisecond
	// headerTimeout is the longest time that a caller may take to send the header of a request.
	headerTimeout = 10 * time.Second
)

// Daemon is the scheduler process of one own VM. It runs a shard.Core for every shard of the region and serves callers,
// peers and operators.
type Daemon struct {
	common     *common.Common
	settings   Settings
	log        oleanderline.LogService
	vmClient   oleanderline.VMList
	rules      *rules.Follower
	metrics    *shardMetrics
	shards     []*shardRunner
	membership *membership
	vmList     *vmList

	callers   *http.Server
	peers     *peer.Server
	operators *peer.Server

	ctx      context.Context
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	stopping atomic.Bool
	ticks    int // used only by the tick loop

	drains map[oleanderline.WorkerID]string // rule that drains each worker; used only by the rules loop
}

// New returns a daemon that is idle until Start is called.
func New(c *common.Common, settings Settings) (*Daemon, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	d := &Daemon{
		common:   c,
		settings: settings,
		log:      logservice.NewClient(settings.LogService, platform.WithByteCounter(c.PlatformBytes())),
		vmClient: vmlist.NewClient(settings.VMList, platform.WithByteCounter(c.PlatformBytes())),
		metrics:  newShardMetrics(c.Metrics),
		vmList:   &vmList{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.membership = newMembership(d, member.Member{
		ID: settings.VMID(), Domain: oleanderline.DomainID(settings.Domain), Address: settings.PeerListen,
		Incarnation: c.Clock.Now().UnixNano(),
	})
	d.rules = rules.NewFollower(c, d.log, rules.WithPeers(d.membership.fetchRules),
		rules.WithRepublish(settings.Retention/4, settings.ID))
	return d, nil
}

// Start opens the listeners and starts the loops. It returns when the daemon accepts requests.
func (d *Daemon) Start(ctx context.Context) error {
	for id := range d.settings.Shards {
		d.shards = append(d.shards, newShardRunner(d, oleanderline.ShardID(id)))
	}
	if err := d.serve(ctx); err != nil {
		d.Kill()
		return err
	}
	d.loop(d.settings.VMListPoll, d.pollVMs)
	d.loop(d.settings.Heartbeat, d.membership.sendHeartbeats)
	d.loop(drainInterval, d.applyRules)
	d.loop(tickInterval, d.tick)
	d.loops.Go(func() { _ = d.rules.Run(d.ctx) })
	d.common.Event(common.EventStarted).WithField("listen", d.settings.Listen).Info("scheduler started and listening")
	return nil
}

func (d *Daemon) serve(ctx context.Context) error {
	d.peers = peer.NewServer(d.common, d.settings.Key)
	d.operators = peer.NewServer(d.common, d.settings.Key)
	view := &operatorView{daemon: d, started: d.common.Clock.Now()}
	handler := operator.NewHandler(d.common, view, d.rules, operator.WithExplainer(view))
	if err := errors.Join(
		d.peers.Register(serviceName, &peerService{daemon: d}),
		handler.Register(d.operators, operator.SchedService),
	); err != nil {
		return fmt.Errorf("register the net/rpc services for peers and operators: %w", err)
	}
	d.registerOpenPaths()
	d.callers = &http.Server{Handler: d.callerHandler(), ReadHeaderTimeout: headerTimeout}
	return errors.Join(
		d.listen(ctx, "--listen", d.settings.Listen, d.callers.Serve),
		d.listen(ctx, "--peer-listen", d.settings.PeerListen, d.peers.Serve),
		d.listen(ctx, "--operator-listen", d.settings.OperatorListen, d.operators.Serve),
	)
}

func (d *Daemon) listen(ctx context.Context, flag, address string, serve func(net.Listener) error) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%s=%q: %w", flag, address, err)
	}
	d.loops.Go(func() {
		if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && d.ctx.Err() == nil {
			d.common.Event(common.EventSchedListenerFailed).WithError(err).WithField("flag", flag).Error("listener failed; the daemon no longer serves on it")
		}
	})
	return nil
}

// loop runs step immediately and then again interval after each run has ended, until the daemon is stopped.
func (d *Daemon) loop(interval time.Duration, step func()) {
	d.loops.Go(func() {
		for d.ctx.Err() == nil {
			step()
			timer := d.common.Clock.NewTimer(interval)
			select {
			case <-timer.C():
			case <-d.ctx.Done():
				timer.Stop()
			}
		}
	})
}

// Stop hands the shards over to other schedulers, completes the requests of callers that are in progress and ends the
// daemon. It returns an error if the other schedulers did not take over within the stop bound. The tasks of such a shard
// keep running while their leases at the workers are valid.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	stopCtx, cancel := context.WithTimeout(ctx, d.settings.StopTimeout)
	defer cancel()
	err := d.handOver(stopCtx)
	if d.callers != nil {
		err = errors.Join(err, d.callers.Shutdown(stopCtx))
	}
	d.Kill()
	d.common.Event(common.EventStopped).Info("scheduler stopped")
	return err
}

func (d *Daemon) handOver(ctx context.Context) error {
	d.membership.setDraining()
	for _, s := range d.shards {
		s.deliver(shard.Leave{})
	}
	for d.ownedShards() > 0 && d.membership.hasOthers() {
		timer := d.common.Clock.NewTimer(handoverPoll)
		select {
		case <-timer.C():
		case <-ctx.Done():
			d.common.Event(common.EventShardHandoverFailed).WithField("shards", d.ownedShards()).Warn("shards were not handed over before the stop deadline; their tasks run until their leases expire unless a new owner renews them")
			return fmt.Errorf("%d shards were not handed over before the stop deadline: %w", d.ownedShards(), ctx.Err())
		}
	}
	return nil
}

// ownedShards returns the number of shards that this process owns.
func (d *Daemon) ownedShards() int {
	n := 0
	for _, s := range d.shards {
		_ = s.inspect(d.ctx, func(core *shard.Core) {
			if core.Owning() {
				n++
			}
		})
	}
	return n
}

// Kill ends the daemon immediately, without a handover, as a crash would.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cancel()
	if d.callers != nil {
		_ = d.callers.Close()
		_ = d.peers.Close()
		_ = d.operators.Close()
	}
	for _, s := range d.shards {
		s.stop()
	}
	d.membership.close()
	d.loops.Wait()
}

func (d *Daemon) tick() {
	d.ticks++
	for i, s := range d.shards {
		if !s.idle.Load() || (d.ticks+i)%idleTickDivisor == 0 {
			s.coreLoop.Post(shard.Tick{})
		}
	}
}

func (d *Daemon) coreConfig(id oleanderline.ShardID) shard.Config {
	return shard.Config{
		Self:    d.settings.VMID(),
		Address: d.settings.PeerListen,
		Writer:  oleanderline.WriterID(fmt.Sprintf("%s/%x/%x", d.settings.ID, d.membership.self.Incarnation, rand.Uint32())),
		Shard:   id,
		Chooser: placement.BestFit{},
		Queue:   queue.DefaultSettings(),
		Health:  health.DefaultSettings(),
		Guard:   interference.DefaultSettings(),
		Limits:  d.settings.limits(),
	}
}

func (d *Daemon) dialWorker(address string) oleanderline.Worker {
	return worker.NewClient("http://"+address, platform.WithByteCounter(d.common.PlatformBytes()))
}

func (d *Daemon) ready() bool { return !d.stopping.Load() && d.vmList.known() }
