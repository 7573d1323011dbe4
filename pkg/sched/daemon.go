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

// Times of the daemon's loops.
const (
	tickInterval  = 20 * time.Millisecond
	quietTicks    = 5 // a shard in which nothing waits gets every fifth tick
	drainInterval = 250 * time.Millisecond
	leavePoll     = 20 * time.Millisecond
	// headerTimeout bounds how long a caller's connection may take to send the header of a request.
	headerTimeout = 10 * time.Second
)

// Daemon is the scheduler of one own VM.
type Daemon struct {
	common   *common.Common
	settings Settings
	log      oleanderline.LogService
	vms      oleanderline.VMList
	rules    *rules.Follower
	metrics  *shardMetrics
	shards   []*shardDuty
	roster   *roster
	workers  *workerList

	callers   *http.Server
	peers     *peer.Server
	operators *peer.Server

	ctx      context.Context
	cancel   context.CancelFunc
	loops    sync.WaitGroup
	stopping atomic.Bool
	ticks    int // used only by the loop of ticks

	drains map[oleanderline.WorkerID]string // used only by the loop of rules: the rule that drains a worker
}

// New returns a daemon that does nothing until Start.
func New(c *common.Common, settings Settings) (*Daemon, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	d := &Daemon{
		common:   c,
		settings: settings,
		log:      logservice.NewClient(settings.LogService, platform.WithByteCounter(c.PlatformBytes())),
		vms:      vmlist.NewClient(settings.VMList, platform.WithByteCounter(c.PlatformBytes())),
		metrics:  newShardMetrics(c.Metrics),
		workers:  &workerList{},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.roster = newRoster(d, member.Member{
		ID: settings.VMID(), Domain: oleanderline.DomainID(settings.Domain), Address: settings.PeerListen,
		Incarnation: c.Clock.Now().UnixNano(),
	})
	d.rules = rules.NewFollower(c, d.log, rules.WithPeers(d.roster.askRules),
		rules.WithKeep(settings.Retention/4, settings.ID))
	return d, nil
}

// Start opens the listeners and begins to work. It returns when the daemon serves.
func (d *Daemon) Start(ctx context.Context) error {
	for id := range d.settings.Shards {
		d.shards = append(d.shards, newShardDuty(d, oleanderline.ShardID(id)))
	}
	if err := d.serve(ctx); err != nil {
		d.Kill()
		return err
	}
	d.loop(d.settings.VMListPoll, d.pollVMs)
	d.loop(d.settings.Heartbeat, d.roster.heartbeat)
	d.loop(drainInterval, d.applyRules)
	d.loop(tickInterval, d.tick)
	d.loops.Go(func() { _ = d.rules.Run(d.ctx) })
	d.common.Event(common.EventStarted).WithField("listen", d.settings.Listen).Info("scheduler serves")
	return nil
}

func (d *Daemon) serve(ctx context.Context) error {
	d.peers = peer.NewServer(d.common, d.settings.Key)
	d.operators = peer.NewServer(d.common, d.settings.Key)
	view := &operatorView{daemon: d, started: d.common.Clock.Now()}
	calls := operator.NewHandler(d.common, view, d.rules, operator.WithExplainer(view))
	if err := errors.Join(
		d.peers.Register(serviceName, &peerService{daemon: d}),
		calls.Register(d.operators, operator.SchedService),
	); err != nil {
		return fmt.Errorf("register the calls of peers and operators: %w", err)
	}
	d.openPaths()
	d.callers = &http.Server{Handler: d.callerPaths(), ReadHeaderTimeout: headerTimeout}
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
			d.common.Event(common.EventSchedListenFail).WithError(err).WithField("flag", flag).Error("listener failed")
		}
	})
	return nil
}

// loop calls step at once and then with a pause of interval in between, until the daemon ends.
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

// Stop hands the shards over, finishes what callers have asked for and ends the daemon. It returns an error if other
// schedulers did not take over in time; the leases of the workers then decide.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	bound, cancel := context.WithTimeout(ctx, d.settings.StopBound)
	defer cancel()
	err := d.handOver(bound)
	if d.callers != nil {
		err = errors.Join(err, d.callers.Shutdown(bound))
	}
	d.Kill()
	d.common.Event(common.EventStopped).Info("scheduler stopped")
	return err
}

func (d *Daemon) handOver(ctx context.Context) error {
	d.roster.drain()
	for _, s := range d.shards {
		s.deliver(shard.Leave{})
	}
	for d.owned() > 0 && d.roster.others() {
		timer := d.common.Clock.NewTimer(leavePoll)
		select {
		case <-timer.C():
		case <-ctx.Done():
			d.common.Event(common.EventShardReleased).WithField("shards", d.owned()).Warn("shards were not handed over in time")
			return fmt.Errorf("%d shards were not handed over: %w", d.owned(), ctx.Err())
		}
	}
	return nil
}

// owned returns the number of shards that this process owns.
func (d *Daemon) owned() int {
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

// Kill ends the daemon at once, as a crash would.
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
	d.roster.close()
	d.loops.Wait()
}

func (d *Daemon) tick() {
	d.ticks++
	for i, s := range d.shards {
		if !s.quiet.Load() || (d.ticks+i)%quietTicks == 0 {
			s.main.Post(shard.Tick{})
		}
	}
}

func (d *Daemon) coreConfig(id oleanderline.ShardID) shard.Config {
	return shard.Config{
		Self:    d.settings.VMID(),
		Address: d.settings.PeerListen,
		Writer:  oleanderline.WriterID(fmt.Sprintf("%s/%x/%x", d.settings.ID, d.roster.self.Incarnation, rand.Uint32())),
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

func (d *Daemon) ready() bool { return !d.stopping.Load() && d.workers.known() }
