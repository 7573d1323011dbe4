// Package term runs one term of a leader: it keeps the planner, one link to each worker, the follower of the directory and
// the writer of records.
package term

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/duty"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/roster"
	"github.com/oleanderline/oleanderline/pkg/window"
)

// Session is one term of a leader.
type Session struct {
	common    *common.Common
	settings  Settings
	ports     Ports
	replica   *replica.Replica
	ctx       context.Context
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	planner   *plan.Planner // used only by the duty
	duty      *duty.Duty
	links     map[oleanderline.WorkerID]*linked // used only by the duty
	roster    *roster.Roster
	agents    *agentPool               // used only by the duty
	window    *window.Window           // used only by the duty
	windows   *maintenance.Coordinator // used only by the duty
	began     time.Time
	maintains atomic.Bool      // a maintenance window is open
	states    chan windowState // of maintenance windows, to be stored
	writer    *writer
	metrics   *termMetrics
	learned   time.Time    // when what was learned was stored last
	forgot    time.Time    // when finished jobs were dropped last
	renewed   atomic.Int64 // when the newest append that was answered had been sent
	ended     atomic.Bool
	// supported is until when most workers are known to accept the calls of this term.
	supported atomic.Int64
}

// Start begins a term. Earlier leaders have been fenced in the log, and the replica has been read up to the end that it had
// then. began is when the claim was sent.
func Start(c *common.Common, settings Settings, ports Ports, jobs *replica.Replica, config *oleanderline.CellConfig, began time.Time) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{
		common: c, settings: settings, ports: ports, replica: jobs, ctx: ctx, cancel: cancel,
		planner: plan.New(settings.Plan, settings.Leader.Claims, c.Clock.Now()),
		links:   map[oleanderline.WorkerID]*linked{},
		windows: maintenance.New(settings.Maintenance.Takes),
		began:   c.Clock.Now(),
		states:  make(chan windowState, windowStates),
	}
	s.renewed.Store(began.UnixNano())
	s.roster = roster.New(c.Clock, roster.Settings{
		Term: settings.Leader.Term, Lease: settings.Lease, AuthorityEnd: s.authorityEnd,
	}, s)
	s.agents = newAgentPool(s)
	s.window = window.New()
	s.writer = newWriter(s)
	s.metrics = newTermMetrics(c.Metrics)
	s.metrics.terms.Inc()
	s.planner.SetConfig(config)
	s.planner.Pairs().Restore(jobs.Pairs())
	wall := ports.Wall()
	jobs.Jobs(func(entry replica.Entry) { s.add(entry, wall) })
	inherited := jobs.Workers()
	for _, worker := range inherited {
		s.planner.InheritWorker(worker)
	}
	for id, progress := range jobs.Windows() {
		s.windows.Restore(id, progress)
	}
	s.duty = duty.New(c.Actors(), mailbox, s.handle)
	s.duties.Go(s.followDirectory)
	s.duties.Go(s.tick)
	if ports.Fleet != nil {
		s.duties.Go(s.followFleet)
		s.duties.Go(s.tellOperators)
	}
	s.duties.Go(s.writer.run)
	c.Event(common.EventTermBegins).WithField("term", settings.Leader.Term).WithField("claims", settings.Leader.Claims).
		WithField("workers", len(inherited)).Info("leadership begins")
	return s
}

// Ended reports whether another leader has taken over.
func (s *Session) Ended() bool { return s.ended.Load() }

// Authority reports whether orders may be given at a time.
func (s *Session) Authority(now time.Time) bool { return now.Before(s.authorityEnd(now)) }

// authorityEnd returns until when orders may be given, as far as is known now. A later leader relies on its bounds: it claims
// no sooner than Confirmed after the newest record that it has read, and most workers then refuse the calls of this term.
func (s *Session) authorityEnd(now time.Time) time.Time {
	if s.ended.Load() {
		return now
	}
	renewed, supported := time.Unix(0, s.renewed.Load()), time.Unix(0, s.supported.Load())
	confirmed, alone := renewed.Add(s.settings.Confirmed), renewed.Add(s.settings.Alone)
	if supported.After(alone) {
		supported = alone
	}
	if supported.After(confirmed) {
		return supported
	}
	return confirmed
}

// Stop ends the term. If resign is set, it stores that the leader has gone, so that another can take over at once.
func (s *Session) Stop(ctx context.Context, resign bool) {
	if resign && !s.ended.Load() {
		s.writer.resign(ctx)
	}
	s.end("stopped")
	s.duties.Wait()
	if err := s.duty.Stop(); err != nil {
		s.common.Log.WithError(err).Warn("the duty of the planner did not stop")
	}
}

func (s *Session) end(reason string) {
	if s.ended.Swap(true) {
		return
	}
	s.common.Event(common.EventTermEnds).WithField("term", s.settings.Leader.Term).WithField("reason", reason).
		Info("leadership ends")
	s.cancel()
}

// post hands a message to the duty, and waits while its mailbox is full.
func (s *Session) post(message any) {
	for !s.duty.Post(message) {
		if s.ctx.Err() != nil {
			return
		}
		time.Sleep(postPause)
	}
}

// AddJob takes over a job that was stored.
func (s *Session) AddJob(entry replica.Entry) { s.post(jobStored{entry}) }

// CancelJob takes over a cancellation that was stored.
func (s *Session) CancelJob(id oleanderline.JobID) { s.post(jobCancelled{id}) }

// SetConfig takes over a version of the configuration.
func (s *Session) SetConfig(config *oleanderline.CellConfig) { s.post(configChanged{config}) }

// AddWindow takes over a maintenance window that operators ask for.
func (s *Session) AddWindow(window oleanderline.MaintenanceWindow) {
	s.maintains.Store(true)
	s.post(windowAsked{window})
}

func (s *Session) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.duty.Post(ticked{})
		}
	}
}
