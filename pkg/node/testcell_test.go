package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/term"
)

const (
	processCount  = 3
	workerCount   = 6
	maxAttempts   = 3
	maxLease      = 6 * time.Second
	stopGrace     = 200 * time.Millisecond
	streamConfig  = oleanderline.Stream("op")
	streamWorkers = oleanderline.Stream("servers")
	streamStatus  = oleanderline.Stream("status")
)

// testCell is a simulated cell: its processes run in one test process on virtual time, with a fake log and fake workers whose
// faults depend on a seed, and a checker of the invariants.
type testCell struct {
	t               *testing.T
	faultRand       *rand.Rand       // for faults
	callerRand      *rand.Rand       // for callers
	commons         []*common.Common // created outside the synctest bubble
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	store           *cellfake.Store
	log             oleanderline.KeyedLog // how processes reach store; nil stands for store itself
	workers         []*cellfake.Worker
	checker         *cellfake.Checker
	limits          capacity.VM     // of each process
	ownAppends      bool            // whether each process appends for itself
	jobs            int             // number of jobs that callers submit in a schedule
	fleet           *cellfake.Fleet // nil in tests without maintenance
	window          oleanderline.MaintenanceWindow
	failRecordReads atomic.Bool // makes reads of the records fail
	// failConfigReads makes the reads of the operators' stream by a process fail; -1 for none.
	failConfigReads atomic.Int64
	// onClaim, if set, is called by a process that has stored a claim of leadership, before it leads.
	onClaim func(index int)
	// wrapRunner changes the client that a process uses for a worker. It is nil if there is nothing to change.
	wrapRunner func(process int, id oleanderline.WorkerID, runner oleanderline.Runner) oleanderline.Runner
	// wall returns the time of day of a process.
	wall   func(process int) time.Time
	starts *cellfake.Pace // bounds the starts a second; nil sets no bound

	mu        sync.Mutex
	seed      uint64
	pathCount uint64     // number of paths created; part of the seed of the next one
	processes []*process // nil while down
}

// process returns a process, or nil while it is down.
func (c *testCell) process(index int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[index]
}

func (c *testCell) setProcess(index int, p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[index] = p
}

// process is one process of the cell, with its network paths to the log, to its peers and to each worker.
type process struct {
	node  *Node
	store *cellfake.Path
	peers *cellfake.Path // to leaders and agents
	paths map[oleanderline.WorkerID]*cellfake.Path
}

// vmLimits makes the leader serve all workers itself, or need agents that serve one or two workers each.
var vmLimits = []capacity.VM{{Cores: 1}, {Cores: 0.0035}, {Cores: 0.0065}}

// newCommons creates the Common of each process, outside the synctest bubble.
func newCommons() []*common.Common {
	return newCommonsOn(systemClocks())
}

// systemClocks returns a clock for each process.
func systemClocks() []oleanderline.Clock {
	return slices.Repeat([]oleanderline.Clock{common.NewSystemClock()}, processCount)
}

// newCommonsOn creates the Common of one process for each clock. OLEANDER_LOG makes the processes log to stdout.
func newCommonsOn(clocks []oleanderline.Clock) []*common.Common {
	if os.Getenv("OLEANDER_LOG") != "" {
		return newLoggingCommons(os.Stdout, logrus.InfoLevel, clocks)
	}
	return newLoggingCommons(io.Discard, logrus.PanicLevel, clocks)
}

func newLoggingCommons(out io.Writer, level logrus.Level, clocks []oleanderline.Clock) []*common.Common {
	commons := make([]*common.Common, len(clocks))
	for i := range commons {
		logger := common.NewLogger(out, level)
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
		commons[i] = common.New(fmt.Sprintf("n%d", i), common.WithLogger(logger), common.WithClock(clocks[i]))
		commons[i].Actors()
	}
	return commons
}

// newTestCell starts a cell without faults. Options are applied before the processes start.
func newTestCell(t *testing.T, seed uint64, commons []*common.Common, options ...func(*testCell)) *testCell {
	ctx, cancel := context.WithCancel(context.Background())
	c := &testCell{
		t: t, faultRand: rand.New(rand.NewPCG(seed, 0)), callerRand: rand.New(rand.NewPCG(seed, 1)), commons: commons, ctx: ctx, cancel: cancel,
		seed: seed, store: cellfake.NewStore(), checker: cellfake.NewChecker(maxAttempts),
		limits: vmLimits[seed%uint64(len(vmLimits))], jobs: jobsPerRun,
		wall: func(int) time.Time { return time.Now() },
	}
	c.failConfigReads.Store(-1)
	for range workerCount {
		c.listWorker(c.addWorker())
	}
	c.appendRecord(streamConfig, "config", "1")
	for _, option := range options {
		option(c)
	}
	c.processes = make([]*process, len(commons))
	for i := range commons {
		c.restart(i)
	}
	return c
}

// addWorker starts a worker that is not in the directory yet.
func (c *testCell) addWorker() oleanderline.WorkerID {
	i := len(c.workers)
	rate := []float64{0.98, 1, 1.02}[i%3]
	id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
	worker := cellfake.NewWorker(id, oleanderline.Size{CPU: 4000, Memory: 4000}, maxLease, rate, c.checker)
	c.workers = append(c.workers, worker)
	c.checker.SetDomain(id, domainOf(id))
	c.wg.Go(func() { worker.Run(c.ctx) })
	return id
}

func (c *testCell) appendRecord(stream oleanderline.Stream, key, value string) {
	_, err := c.store.Append(c.ctx, stream, []oleanderline.KeyedRecord{{Key: key, Value: []byte(value)}}, oleanderline.AppendCondition{})
	require.NoError(c.t, err)
}

func (c *testCell) listWorker(id oleanderline.WorkerID) {
	c.appendRecord(streamWorkers, string(id), "ready")
}

func (c *testCell) unlistWorker(id oleanderline.WorkerID) {
	c.appendRecord(streamWorkers, string(id), "")
}

func (c *testCell) startProcess(index int) *process {
	p := &process{store: c.newPath(), peers: c.newPath(), paths: map[oleanderline.WorkerID]*cellfake.Path{}}
	byID := map[oleanderline.WorkerID]*cellfake.Worker{}
	for i, worker := range c.workers {
		id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
		p.paths[id], byID[id] = c.newPath(), worker
	}
	peers := &cellfake.PeerClient{Path: p.peers, Find: c.backend}
	p.node = New(c.commons[index], Settings{
		VM: oleanderline.VMID(fmt.Sprintf("n%d", index)), Limits: c.limits,
		MaxLease: maxLease, StopGrace: stopGrace, JobRetention: time.Hour, LogLimits: testLimits, PeerAddress: strconv.Itoa(index),
		OwnAppends: c.ownAppends,
	}, Ports{
		Agents: peers, Appenders: peers,
		Ports: term.Ports{
			Log: &failingLog{Log: &cellfake.Log{Store: c.reachedLog(), Path: p.store}, failRecordReads: &c.failRecordReads, failConfigReads: func() bool { return c.failConfigReads.Load() == int64(index) }, onClaim: func() { c.claimed(index) }}, Workers: streamWorkers, DecodeWorker: decodeTestWorker,
			Dial: func(id oleanderline.WorkerID, _ string) oleanderline.Runner {
				runner := &cellfake.Runner{Worker: byID[id], Path: p.paths[id], Starts: c.starts}
				if c.wrapRunner == nil {
					return runner
				}
				return c.wrapRunner(index, id, runner)
			},
			Wall: func() time.Time { return c.wall(index) },
		},
		Config: streamConfig, ConfigKey: "config",
		DecodeConfig: func([]byte) (*oleanderline.CellConfig, error) { return testConfig, nil },
		IsEvacuation: isTestEvacuation, DecodeEvacuation: decodeTestEvacuation,
	})
	p.node.ports.PeerEvacuations = func(ctx context.Context, maxAge time.Duration) (evacuation.Snapshot, time.Duration, error) {
		return c.peerEvacuations(ctx, index, p.peers, maxAge)
	}
	if c.fleet != nil {
		p.node.settings.Maintenance = term.Maintenance{Duration: 2 * time.Second, StartDelay: 3 * time.Second}
		p.node.ports.Fleet, p.node.ports.Status = c.fleet, streamStatus
		p.node.ports.IsWindow = func(key string) bool { return key == "window" }
		p.node.ports.DecodeWindow = func(oleanderline.KeyedRecord) (oleanderline.MaintenanceWindow, error) { return c.window, nil }
		p.node.ports.EncodeWindow = func(_ oleanderline.WindowID, complete bool) (oleanderline.KeyedRecord, error) {
			return oleanderline.KeyedRecord{Key: "window", Value: fmt.Append(nil, complete)}, nil
		}
	}
	p.node.Start()
	return p
}

// reachedLog returns the log that processes reach over their paths.
func (c *testCell) reachedLog() oleanderline.KeyedLog {
	if c.log != nil {
		return c.log
	}
	return c.store
}

func (c *testCell) claimed(index int) {
	if c.onClaim != nil {
		c.onClaim(index)
	}
}

// failingLog is a log whose reads of the records or of the operators' stream fail on demand, and which tells of claims.
type failingLog struct {
	*cellfake.Log
	failRecordReads *atomic.Bool
	failConfigReads func() bool
	onClaim         func()
}

// maxKey is the length of the longest key that the log accepts, in bytes.
const maxKey = 255

var testLimits = oleanderline.LogLimits{Record: 16 << 10, Append: 64 << 10}

// accepts reports whether the log accepts an append.
func accepts(records []oleanderline.KeyedRecord) bool {
	return len(testLimits.Split(records)) <= 1 && !slices.ContainsFunc(records, func(rec oleanderline.KeyedRecord) bool {
		return len(rec.Key) > maxKey || !rec.Fits(testLimits.Record)
	})
}

func (l *failingLog) Append(ctx context.Context, stream oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	if !accepts(records) {
		return 0, oleanderline.ErrUnavailable
	}
	offset, err := l.Log.Append(ctx, stream, records, condition)
	if stream == record.StreamClaims && err == nil {
		l.onClaim()
	}
	return offset, err
}

func (l *failingLog) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	batch, err := l.Log.Read(ctx, stream, from, wait)
	if stream == record.Stream && l.failRecordReads.Load() || stream == streamConfig && l.failConfigReads() {
		return oleanderline.KeyedBatch{}, oleanderline.ErrUnavailable
	}
	return batch, err
}

// backend returns the process at an address, or nil while it is down.
func (c *testCell) backend(address string) cellfake.Peer {
	index, err := strconv.Atoi(address)
	require.NoError(c.t, err)
	if p := c.process(index); p != nil {
		return p.node
	}
	return nil
}

func (c *testCell) newPath() *cellfake.Path {
	c.pathCount++
	return cellfake.NewPath(rand.New(rand.NewPCG(c.pathCount, c.seed)))
}

var (
	testQueue  = oleanderline.Queue{ID: "q", Pool: "pool", Prefix: "/", MaxAttempts: maxAttempts, Stretch: 2, Latency: time.Second}
	testConfig = &oleanderline.CellConfig{Version: 1, Queues: []oleanderline.Queue{testQueue}, Pools: []oleanderline.Pool{{ID: "pool", AdmissionCheck: true}}}
)

func decodeTestWorker(rec oleanderline.KeyedRecord) (oleanderline.WorkerEntry, error) {
	return oleanderline.WorkerEntry{
		ID: oleanderline.WorkerID(rec.Key), Address: rec.Key, Pool: "pool", Domain: domainOf(oleanderline.WorkerID(rec.Key)),
		Labels: []string{string(domainOf(oleanderline.WorkerID(rec.Key)))}, Capacity: oleanderline.Size{CPU: 4000, Memory: 4000},
	}, nil
}

// clearFaults restarts all processes and clears the faults of their paths.
func (c *testCell) clearFaults() {
	for i := range c.commons {
		c.restart(i)
		p := c.process(i)
		p.store.SetFault(cellfake.FaultNone)
		p.peers.SetFault(cellfake.FaultNone)
		for _, path := range p.paths {
			path.SetFault(cellfake.FaultNone)
		}
	}
}

// restart starts a process if it is down.
func (c *testCell) restart(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[index] == nil {
		c.processes[index] = c.startProcess(index)
	}
}

func (c *testCell) close() {
	for i := range c.commons {
		if p := c.process(i); p != nil {
			p.node.Stop()
			p.wait()
		}
	}
	c.cancel()
	c.wg.Wait()
}

// wait returns once all late calls of the process have been executed.
func (p *process) wait() {
	p.store.WaitLate()
	p.peers.WaitLate()
	for _, path := range p.paths {
		path.WaitLate()
	}
}

// submit sends a job to random processes with retries, as callers do, and reports whether it was accepted.
func (c *testCell) submit(job oleanderline.Job) bool {
	c.checker.Submitted(job)
	for attempt := range 6 {
		p := c.process(c.callerRand.IntN(len(c.commons)))
		if p != nil {
			ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
			err := p.node.Submit(ctx, job)
			cancel()
			if err == nil {
				c.checker.Accepted(job.ID)
				return true
			}
		}
		time.Sleep(time.Duration(attempt+1) * 300 * time.Millisecond)
	}
	return false
}

func (c *testCell) cancelJob(id oleanderline.JobID) {
	for range 20 {
		if p := c.process(c.callerRand.IntN(len(c.commons))); p != nil {
			ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
			err := p.node.Cancel(ctx, "q", id)
			cancel()
			if err == nil {
				c.checker.Cancelled(id)
				return
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}
