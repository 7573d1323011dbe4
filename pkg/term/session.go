// Package term runs one term of a leader: the planner, a link to each worker, the follower of the directory of workers and the
// writer of records to the log.
package term

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/eventloop"
	"github.com/oleanderline/oleanderline/pkg/intake"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/roster"
	"github.com/oleanderline/oleanderline/pkg/startwindow"
)

// Session is one term of a leader.
type Session struct {
	common   *common.Common
	settings Settings
	ports    Ports
	replica  *replica.Replica
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	closing  atomic.Bool
	closed   chan struct{} // closed once all calls of the term have returned
	planner  *plan.Planner // used only by the event loop
	loop     *eventloop.Loop
	links    map[oleanderline.WorkerID]*connection // used only by the event loop
	// expiries holds, by worker, the expiry of leases that waits for an append (handleLeaseExpired). It is used only by the event loop.
	expiries        map[oleanderline.WorkerID]plan.Expiry
	roster          *roster.Roster
	agents          *agentPool               // used only by the event loop
	startWindow     *startwindow.Window      // used only by the event loop
	maintenance     *maintenance.Coordinator // used only by the event loop
	intake          *intake.Limiter          // used only by the event loop
	intakeAt        time.Time                // when the verdict on new jobs was last updated; used only by the event loop
	intakeVerdict   atomic.Pointer[record.Intake]
	startedAt       time.Time
	maintenanceOpen atomic.Bool      // whether a maintenance window is open
	windowStates    chan windowState // states of maintenance windows to publish
	writer          *writer
	metrics         *termMetrics
	pairsStoredAt   time.Time    // when learned interference was last stored
	jobsDroppedAt   time.Time    // when finished jobs were last dropped
	lastAppendSent  atomic.Int64 // when the newest confirmed append was sent, as Unix time in nanoseconds
	ended           atomic.Bool
	resigned        atomic.Bool  // the leader's resignation is stored
	openStarts      atomic.Int64 // starts without a result
	// tickPending is whether a tick waits in the event loop or is being handled. Passes that take longer than tickInterval would
	// otherwise fill the mailbox, and reports and flushes wait behind them.
	tickPending atomic.Bool
	endedAt     atomic.Int64 // as Unix time in nanoseconds
	// domainWaiting is the number of tasks that wait for failure domains out of service.
	domainWaiting atomic.Int64
	// majorityUntil is until when most workers are known to accept the calls of this term, as Unix time in nanoseconds.
	majorityUntil atomic.Int64
}

// Start begins a term. The caller has fenced earlier leaders in the log, and has then read the replica up to the end of the
// log. claimSentAt is when the claim of leadership was sent.
func Start(c *common.Common, settings Settings, ports Ports, jobs *replica.Replica, config *oleanderline.CellConfig, claimSentAt time.Time) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{
		common: c, settings: settings, ports: ports, replica: jobs, ctx: ctx, cancel: cancel,
		planner:      plan.New(settings.Plan, settings.Leader.ClaimCount, c.Clock.Now()),
		links:        map[oleanderline.WorkerID]*connection{},
		expiries:     map[oleanderline.WorkerID]plan.Expiry{},
		maintenance:  maintenance.New(settings.Maintenance.Duration),
		startedAt:    c.Clock.Now(),
		windowStates: make(chan windowState, windowStateQueueSize),
		closed:       make(chan struct{}),
	}
	s.lastAppendSent.Store(claimSentAt.UnixNano())
	s.roster = roster.New(c.Clock, roster.Settings{
		Term: settings.Leader.Term, Lease: settings.Lease, MaxLease: settings.MaxLease, AuthorityEnd: s.authorityEnd,
	}, s)
	s.agents = newAgentPool(s)
	s.startWindow = startwindow.New()
	inheritedIntake, _ := jobs.Intake(s.startedAt)
	s.intake = intake.New(inheritedIntake, s.startedAt)
	s.intakeVerdict.Store(&inheritedIntake)
	s.writer = newWriter(s)
	s.metrics = newTermMetrics(c.Metrics)
	s.metrics.terms.Inc()
	s.planner.SetConfig(config)
	s.planner.Pairs().Restore(jobs.Pairs())
	wallNow := ports.Wall()
	jobs.Jobs(func(entry replica.Entry) { s.loadJob(entry, wallNow) })
	inherited := jobs.Workers()
	listed := 0
	for _, worker := range inherited {
		s.planner.InheritWorker(worker)
		if worker.Unreachable {
			listed++
		}
	}
	for id, progress := range jobs.Windows() {
		s.maintenance.Restore(id, progress)
	}
	s.loop = eventloop.New(c.Actors(), mailboxSize, s.handle)
	s.wg.Go(s.followDirectory)
	s.wg.Go(s.tick)
	if ports.Fleet != nil {
		s.wg.Go(s.pollVMs)
		s.wg.Go(s.publishWindowStates)
	}
	s.wg.Go(s.writer.run)
	c.Event(common.EventTermBegins).WithField("term", settings.Leader.Term).WithField("claims", settings.Leader.ClaimCount).
		WithField("workers", len(inherited)).WithField("listed", listed).WithField("vm", settings.VM).WithField("address", settings.Address).
		WithField("claimed", seconds(c.Clock.Now().Sub(claimSentAt))).Info("leadership begins")
	return s
}

// WaitingForDomains returns the number of tasks that wait because only workers in failure domains out of service can take them.
func (s *Session) WaitingForDomains() int { return int(s.domainWaiting.Load()) }

// Ended reports whether the term is over, because of a newer term or Stop.
func (s *Session) Ended() bool { return s.ended.Load() }

// Authority reports whether the leader may send orders at a given time.
func (s *Session) Authority(now time.Time) bool { return now.Before(s.authorityEnd(now)) }

// authorityEnd returns until when the leader may send orders, as far as is known now. It may lie after the claim of a successor, who
// relies on the following instead. No append of this term succeeds once the successor has begun its term, so authority ends at most
// MaxLogOutage later. Once most workers have accepted the successor's calls, they refuse those of this term, so authority ends at most
// Plan.Majority later: by then, no append counts any more (AppendValidity), and no answers of a majority do.
func (s *Session) authorityEnd(now time.Time) time.Time {
	if s.ended.Load() {
		return now
	}
	lastAppend, majorityEnd := time.Unix(0, s.lastAppendSent.Load()), time.Unix(0, s.majorityUntil.Load())
	appendEnd, outageEnd := lastAppend.Add(s.settings.AppendValidity), lastAppend.Add(s.settings.MaxLogOutage)
	if majorityEnd.After(outageEnd) {
		majorityEnd = outageEnd
	}
	return common.Later(appendEnd, majorityEnd)
}

// Stop ends the term. If resign is set, it first stores the leader's resignation, so that another process can take over at
// once.
func (s *Session) Stop(ctx context.Context, resign bool) {
	if resign && !s.ended.Load() {
		s.writer.resign(ctx)
	}
	s.end("stopped")
	if !s.closing.Swap(true) {
		s.close()
		close(s.closed)
	}
	<-s.closed
}

// post sends a message to the event loop. It blocks while the mailbox is full, and drops the message if the term ends meanwhile.
func (s *Session) post(message any) {
	for !s.loop.Post(message) {
		if s.ctx.Err() != nil {
			return
		}
		time.Sleep(postRetryDelay)
	}
}

// AddJob adds a job that was stored in the log.
func (s *Session) AddJob(entry replica.Entry) { s.post(jobStored{entry}) }

// CancelJob cancels a job whose cancellation was stored in the log.
func (s *Session) CancelJob(id oleanderline.JobID) { s.post(jobCancelled{id}) }

// SetConfig applies a version of the configuration.
func (s *Session) SetConfig(config *oleanderline.CellConfig) { s.post(configChanged{config}) }

// AddWindow adds a maintenance window requested by operators.
func (s *Session) AddWindow(window oleanderline.MaintenanceWindow) {
	s.maintenanceOpen.Store(true)
	s.post(windowRequested{window})
}

func (s *Session) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			if !s.tickPending.Swap(true) && !s.loop.Post(ticked{}) {
				s.tickPending.Store(false)
			}
		}
	}
}
