package sched

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/eventloop"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Mailbox sizes and timeouts of one shard's event loops.
const (
	shardMailboxSize  = 16_384 // requests of callers: room for a burst of 10,000 cancellations, beside the answers of workers and of the log service
	ioMailboxSize     = 4      // the core has at most one append, one read and one call to each worker outstanding
	sendMailboxSize   = 256    // the core has at most one offer and one report to each other shard outstanding
	callTimeout       = 2 * time.Second
	readTimeout       = 5 * time.Second
	postRetryInterval = 5 * time.Millisecond
)

var errBusy = errors.New("too many callers wait for this shard")

// shardRunner runs the core of one shard. One goroutine runs the core; others make the appends, the reads, the calls to
// other shards and the calls to each worker.
type shardRunner struct {
	common        *common.Common
	log           oleanderline.LogService
	stream        oleanderline.Stream
	id            oleanderline.ShardID
	metrics       *shardMetrics
	dial          func(address string) oleanderline.Worker
	callOwnerOnce func(ctx context.Context, call ownerCall, hint string) (shard.Answer, error)

	ctx        context.Context
	cancel     context.CancelFunc
	coreLoop   *eventloop.Loop
	appendLoop *eventloop.Loop
	readLoop   *eventloop.Loop
	sendLoop   *eventloop.Loop

	idle atomic.Bool // whether the core was idle after the last event

	// The fields below are used only by the core loop.
	core           *shard.Core
	workers        map[oleanderline.WorkerID]*workerCaller
	lastToken      shard.Token
	pending        map[shard.Token]chan shard.Answer
	lastCounters   shard.Counters
	logStalled     bool
	quarantined    int // workers
	slowdowns      int
	slowdownErrors float64
}

func newShardRunner(d *Daemon, id oleanderline.ShardID) *shardRunner {
	s := &shardRunner{
		common: d.common, log: d.log, id: id, metrics: d.metrics, dial: d.dialWorker, callOwnerOnce: d.callOwnerOnce,
		stream:  journal.StreamName(d.settings.region(), id),
		core:    shard.New(d.coreConfig(id)),
		workers: map[oleanderline.WorkerID]*workerCaller{},
		pending: map[shard.Token]chan shard.Answer{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.coreLoop = eventloop.New(d.common.Actors(), shardMailboxSize, s.handle)
	s.appendLoop = eventloop.New(d.common.Actors(), ioMailboxSize, s.append)
	s.readLoop = eventloop.New(d.common.Actors(), ioMailboxSize, s.read)
	s.sendLoop = eventloop.New(d.common.Actors(), sendMailboxSize, s.send)
	return s
}

// coreFunc is a function that the core loop runs with the core.
type coreFunc func(core *shard.Core)

// eventRequest is an event whose answer is sent to a caller.
type eventRequest struct {
	event func(token shard.Token) shard.Event
	reply chan shard.Answer
}

func (s *shardRunner) handle(message any) {
	if s.ctx.Err() != nil {
		return
	}
	event := message
	switch m := message.(type) {
	case coreFunc:
		m(s.core)
		return
	case eventRequest:
		s.lastToken++
		s.pending[s.lastToken] = m.reply
		event = m.event(s.lastToken)
	}
	for _, action := range s.core.Step(event, s.common.Clock.Now()) {
		s.execute(action)
	}
	s.idle.Store(s.core.Idle())
	s.observe()
}

func (s *shardRunner) execute(action shard.Action) {
	switch a := action.(type) {
	case shard.Append:
		s.appendLoop.Post(a)
	case shard.Read:
		s.readLoop.Post(a)
	case shard.SendOffer, shard.SendReport:
		s.sendLoop.Post(a)
	case shard.Call:
		s.workerCaller(a.Worker).loop.Post(a)
	case shard.Answer:
		if reply, ok := s.pending[a.Token]; ok {
			delete(s.pending, a.Token)
			reply <- a
		}
	}
}

func (s *shardRunner) workerCaller(id oleanderline.WorkerID) *workerCaller {
	w := s.workers[id]
	if w == nil {
		w = newWorkerCaller(s, id)
		s.workers[id] = w
	}
	return w
}

// deliver posts an event to the core loop. It retries while the mailbox is full, because the core waits for the results of
// its operations.
func (s *shardRunner) deliver(event shard.Event) {
	for s.ctx.Err() == nil && !s.coreLoop.Post(event) {
		timer := s.common.Clock.NewTimer(postRetryInterval)
		select {
		case <-timer.C():
		case <-s.ctx.Done():
		}
	}
}

// request posts an event to the core loop and waits for its answer.
func (s *shardRunner) request(ctx context.Context, event func(shard.Token) shard.Event) (shard.Answer, error) {
	reply := make(chan shard.Answer, 1)
	if !s.coreLoop.Post(eventRequest{event: event, reply: reply}) {
		return shard.Answer{}, errBusy
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return shard.Answer{}, ctx.Err()
	case <-s.ctx.Done():
		return shard.Answer{}, s.ctx.Err()
	}
}

// inspect runs f in the core loop and waits until it has returned. After an error, f does not run any more, so that it may write to
// variables of the caller.
func (s *shardRunner) inspect(ctx context.Context, f coreFunc) error {
	done := make(chan struct{})
	var mu sync.Mutex
	abandoned := false
	if !s.coreLoop.Post(coreFunc(func(core *shard.Core) {
		mu.Lock()
		defer mu.Unlock()
		if !abandoned {
			f(core)
		}
		close(done)
	})) {
		return errBusy
	}
	var err error
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.ctx.Done():
		err = s.ctx.Err()
	}
	mu.Lock()
	defer mu.Unlock()
	abandoned = true
	return err
}

func (s *shardRunner) append(message any) {
	a, ok := message.(shard.Append)
	if !ok || s.ctx.Err() != nil {
		return
	}
	data, err := a.Group.Encode()
	if err != nil {
		s.common.Log.WithError(err).Error("cannot encode a group of records; the append is dropped")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	offset, err := s.log.Append(ctx, s.stream, data)
	s.metrics.appends.Inc()
	s.metrics.appendBytes.Add(len(data))
	if err != nil {
		s.metrics.appendErrors.Inc()
	}
	s.deliver(shard.AppendDone{Seq: a.Group.Seq, Offset: offset, Err: err})
}

func (s *shardRunner) read(message any) {
	r, ok := message.(shard.Read)
	if !ok || s.ctx.Err() != nil {
		return
	}
	sentAt := s.common.Clock.Now()
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	batch, err := s.log.Read(ctx, s.stream, r.From, r.Limit)
	s.metrics.reads.Inc()
	done := shard.ReadDone{SentAt: sentAt, From: r.From, Oldest: batch.Oldest, Next: batch.Next, Err: err}
	for _, entry := range batch.Entries {
		// An entry that cannot be decoded counts as an empty group, so that all readers skip it in the same way.
		group, err := journal.Decode(entry.Data)
		if err != nil {
			s.common.Event(common.EventEntryMalformed).WithError(err).WithField("shard", s.id).Warn("cannot decode a log entry; it is skipped")
		}
		done.Groups = append(done.Groups, shard.LocatedGroup{Offset: entry.Offset, Time: entry.Time, Group: group})
	}
	s.deliver(done)
}

// stop ends all event loops of the shard without a handover.
func (s *shardRunner) stop() {
	s.cancel()
	_ = s.coreLoop.Stop()
	_ = s.appendLoop.Stop()
	_ = s.readLoop.Stop()
	_ = s.sendLoop.Stop()
	for _, w := range s.workers {
		_ = w.loop.Stop()
	}
}
