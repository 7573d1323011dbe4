package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agentrpc"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/term"
)

const (
	worldNodes   = 3
	worldWorkers = 6
	maxAttempts  = 3
	maxHold      = 6 * time.Second
	streamOp     = oleanderline.Stream("op")
	streamDir    = oleanderline.Stream("servers")
	streamStatus = oleanderline.Stream("status")
)

// world is a cell whose processes run in one process on virtual time, with a store and workers that fail as a seed says,
// and the checks of what must always hold.
type world struct {
	t       *testing.T
	random  *rand.Rand       // of the faults
	calls   *rand.Rand       // of the callers
	commons []*common.Common // made outside of the virtual time
	ctx     context.Context
	cancel  context.CancelFunc
	duties  sync.WaitGroup
	store   *cellfake.Store
	workers []*cellfake.Worker
	checks  *cellfake.Checker
	fleet   *cellfake.Fleet // nil without maintenance
	window  oleanderline.MaintenanceWindow
	blind   atomic.Bool // reads of the records fail

	mu    sync.Mutex
	seed  uint64
	paths uint64    // made so far
	nodes []*member // nil while killed
}

// member returns a process, or nil while it is killed.
func (w *world) member(index int) *member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[index]
}

func (w *world) setMember(index int, m *member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[index] = m
}

// member is one process, with its paths to the store and to each worker.
type member struct {
	node  *Node
	store *cellfake.Path
	peers *cellfake.Path // to leaders and agents
	paths map[oleanderline.WorkerID]*cellfake.Path
}

// limits of the VMs: without agents, or with one or two workers for each agent.
var worldLimits = []capacity.VM{{Cores: 1}, {Cores: 0.0035}, {Cores: 0.0065}}

func newCommons() []*common.Common {
	commons := make([]*common.Common, worldNodes)
	out := io.Discard
	level := logrus.PanicLevel
	if os.Getenv("OLEANDER_LOG") != "" {
		out, level = os.Stdout, logrus.InfoLevel
	}
	for i := range commons {
		logger := common.NewLogger(out, level)
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
		commons[i] = common.New(fmt.Sprintf("n%d", i), common.WithLogger(logger), common.WithClock(common.NewSystemClock()))
		commons[i].Actors()
	}
	return commons
}

func newWorld(t *testing.T, seed uint64, commons []*common.Common, options ...func(*world)) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), calls: rand.New(rand.NewPCG(seed, 1)), commons: commons, ctx: ctx, cancel: cancel,
		seed: seed, store: cellfake.NewStore(), checks: cellfake.NewChecker(maxAttempts),
	}
	for i := range worldWorkers {
		rate := []float64{0.98, 1, 1.02}[i%3]
		id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
		worker := cellfake.NewWorker(id, oleanderline.Size{CPU: 4000, Memory: 4000}, maxHold, rate, w.checks)
		w.workers = append(w.workers, worker)
		w.duties.Go(func() { worker.Run(ctx) })
		w.list(id)
	}
	w.put(streamOp, "config", "1")
	for _, option := range options {
		option(w)
	}
	w.nodes = make([]*member, worldNodes)
	for i := range worldNodes {
		w.revive(i)
	}
	return w
}

func (w *world) put(stream oleanderline.Stream, key, value string) {
	_, err := w.store.Append(w.ctx, stream, []oleanderline.KeyedRecord{{Key: key, Value: []byte(value)}}, oleanderline.AppendCondition{})
	require.NoError(w.t, err)
}

func (w *world) list(id oleanderline.WorkerID)   { w.put(streamDir, string(id), "ready") }
func (w *world) unlist(id oleanderline.WorkerID) { w.put(streamDir, string(id), "") }

func (w *world) start(index int) *member {
	m := &member{store: w.path(), peers: w.path(), paths: map[oleanderline.WorkerID]*cellfake.Path{}}
	byID := map[oleanderline.WorkerID]*cellfake.Worker{}
	for i, worker := range w.workers {
		id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
		m.paths[id], byID[id] = w.path(), worker
	}
	m.node = New(w.commons[index], Settings{
		VM: oleanderline.VMID(fmt.Sprintf("n%d", index)), Limits: worldLimits[w.seed%uint64(len(worldLimits))],
		MaxLease: maxHold, KeepJob: time.Hour, PeerAddress: strconv.Itoa(index),
	}, Ports{
		Agents: &cellfake.Agents{Path: m.peers, Find: w.backend},
		Ports: term.Ports{
			Log: &recordless{Log: &cellfake.Log{Store: w.store, Path: m.store}, blind: &w.blind}, Workers: streamDir, DecodeWorker: decodeWorldWorker,
			Dial: func(id oleanderline.WorkerID, _ string) oleanderline.Runner {
				return &cellfake.Runner{Worker: byID[id], Path: m.paths[id]}
			},
			Wall: time.Now,
		},
		Config: streamOp, ConfigKey: "config",
		DecodeConfig: func([]byte) (*oleanderline.CellConfig, error) { return worldConfig, nil },
	})
	if w.fleet != nil {
		m.node.settings.Maintenance = term.Maintenance{Takes: 2 * time.Second, Quiet: 3 * time.Second}
		m.node.ports.Fleet, m.node.ports.Status = w.fleet, streamStatus
		m.node.ports.IsWindow = func(key string) bool { return key == "window" }
		m.node.ports.DecodeWindow = func(oleanderline.KeyedRecord) (oleanderline.MaintenanceWindow, error) { return w.window, nil }
		m.node.ports.EncodeWindow = func(_ oleanderline.WindowID, complete bool) (oleanderline.KeyedRecord, error) {
			return oleanderline.KeyedRecord{Key: "window", Value: fmt.Append(nil, complete)}, nil
		}
	}
	m.node.Start()
	return m
}

// recordless is a log whose reads of the records can be made to fail.
type recordless struct {
	*cellfake.Log
	blind *atomic.Bool
}

func (l *recordless) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	batch, err := l.Log.Read(ctx, stream, from, wait)
	if stream == record.Stream && l.blind.Load() {
		return oleanderline.KeyedBatch{}, oleanderline.ErrUnavailable
	}
	return batch, err
}

// backend returns the process at an address, or nil while it is killed.
func (w *world) backend(address string) agentrpc.Backend {
	index, err := strconv.Atoi(address)
	require.NoError(w.t, err)
	if m := w.member(index); m != nil {
		return m.node
	}
	return nil
}

func (w *world) path() *cellfake.Path {
	w.paths++
	return cellfake.NewPath(rand.New(rand.NewPCG(w.paths, w.seed)))
}

var (
	worldQueue  = oleanderline.Queue{ID: "q", Pool: "pool", Prefix: "/", MaxAttempts: maxAttempts, Stretch: 2, Latency: time.Second}
	worldConfig = &oleanderline.CellConfig{Version: 1, Queues: []oleanderline.Queue{worldQueue}, Pools: []oleanderline.Pool{{ID: "pool", Guarded: true}}}
)

func decodeWorldWorker(rec oleanderline.KeyedRecord) (oleanderline.WorkerEntry, error) {
	return oleanderline.WorkerEntry{
		ID: oleanderline.WorkerID(rec.Key), Address: rec.Key, Pool: "pool", Capacity: oleanderline.Size{CPU: 4000, Memory: 4000},
	}, nil
}

// heal ends all faults.
func (w *world) heal() {
	for i := range worldNodes {
		w.revive(i)
		m := w.member(i)
		m.store.Set(cellfake.FaultNone)
		m.peers.Set(cellfake.FaultNone)
		for _, path := range m.paths {
			path.Set(cellfake.FaultNone)
		}
	}
}

// revive starts a process again that was killed.
func (w *world) revive(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nodes[index] == nil {
		w.nodes[index] = w.start(index)
	}
}

func (w *world) close() {
	for i := range worldNodes {
		if m := w.member(i); m != nil {
			m.node.Stop()
			m.wait()
		}
	}
	w.cancel()
	w.duties.Wait()
}

func (m *member) wait() {
	m.store.Wait()
	m.peers.Wait()
	for _, path := range m.paths {
		path.Wait()
	}
}

// submit hands a job in at processes in turn, as callers do, and reports whether it was accepted.
func (w *world) submit(job oleanderline.Job) bool {
	w.checks.Sent(job)
	for try := range 6 {
		m := w.member(w.calls.IntN(worldNodes))
		if m != nil {
			ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
			err := m.node.Submit(ctx, job)
			cancel()
			if err == nil {
				w.checks.Accepted(job.ID)
				return true
			}
		}
		time.Sleep(time.Duration(try+1) * 300 * time.Millisecond)
	}
	return false
}

func (w *world) cancelJob(id oleanderline.JobID) {
	for range 20 {
		if m := w.member(w.calls.IntN(worldNodes)); m != nil {
			ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
			err := m.node.Cancel(ctx, "q", id)
			cancel()
			if err == nil {
				w.checks.Cancelled(id)
				return
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}
