package sched

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/duty"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Bounds of one shard's duties.
const (
	shardMailbox = 16_384 // callers that wait, so that a burst of 10,000 cancellations is not refused; answers of workers and of the log service come on top of them
	ioMailbox    = 4      // the core has one append, one read and one call to each worker outstanding
	linkMailbox  = 256    // the core has one offer and one report to each other shard outstanding
	callTimeout  = 2 * time.Second
	readTimeout  = 5 * time.Second
	postRetry    = 5 * time.Millisecond
)

var errBusy = errors.New("too many callers wait for this shard")

// shardDuty runs the core of one shard: one goroutine for its decisions, one for appends, one for reads and one for the
// calls to each worker.
type shardDuty struct {
	common  *common.Common
	log     oleanderline.LogService
	stream  oleanderline.Stream
	id      oleanderline.ShardID
	metrics *shardMetrics
	dial    func(address string) oleanderline.Worker
	askOnce func(ctx context.Context, call ownerCall, hint string) (shard.Answer, error)

	ctx     context.Context
	cancel  context.CancelFunc
	main    *duty.Duty
	appends *duty.Duty
	reads   *duty.Duty
	links   *duty.Duty

	quiet atomic.Bool // after the last event

	// Used only by the main duty.
	core           *shard.Core
	calls          map[oleanderline.WorkerID]*workerDuty
	tokens         shard.Token
	callers        map[shard.Token]chan shard.Answer
	seen           shard.Counters
	slow           bool
	quarantined    int // workers
	slowdowns      int
	slowdownErrors float64
}

func newShardDuty(d *Daemon, id oleanderline.ShardID) *shardDuty {
	s := &shardDuty{
		common: d.common, log: d.log, id: id, metrics: d.metrics, dial: d.dialWorker, askOnce: d.askOnce,
		stream:  journal.StreamName(d.settings.region(), id),
		core:    shard.New(d.coreConfig(id)),
		calls:   map[oleanderline.WorkerID]*workerDuty{},
		callers: map[shard.Token]chan shard.Answer{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.main = duty.New(d.common.Actors(), shardMailbox, s.handle)
	s.appends = duty.New(d.common.Actors(), ioMailbox, s.append)
	s.reads = duty.New(d.common.Actors(), ioMailbox, s.read)
	s.links = duty.New(d.common.Actors(), linkMailbox, s.link)
	return s
}

// question is run by the main duty with the core.
type question func(core *shard.Core)

// request is an event whose answer goes to a caller.
type request struct {
	event func(token shard.Token) shard.Event
	reply chan shard.Answer
}

func (s *shardDuty) handle(message any) {
	if s.ctx.Err() != nil {
		return
	}
	event := message
	switch m := message.(type) {
	case question:
		m(s.core)
		return
	case request:
		s.tokens++
		s.callers[s.tokens] = m.reply
		event = m.event(s.tokens)
	}
	for _, action := range s.core.Step(event, s.common.Clock.Now()) {
		s.carryOut(action)
	}
	s.quiet.Store(s.core.Quiet())
	s.observe()
}

func (s *shardDuty) carryOut(action shard.Action) {
	switch a := action.(type) {
	case shard.Append:
		s.appends.Post(a)
	case shard.Read:
		s.reads.Post(a)
	case shard.SendOffer, shard.SendReport:
		s.links.Post(a)
	case shard.Call:
		s.worker(a.Worker).duty.Post(a)
	case shard.Answer:
		if reply, ok := s.callers[a.Token]; ok {
			delete(s.callers, a.Token)
			reply <- a
		}
	}
}

func (s *shardDuty) worker(id oleanderline.WorkerID) *workerDuty {
	w := s.calls[id]
	if w == nil {
		w = newWorkerDuty(s, id)
		s.calls[id] = w
	}
	return w
}

// deliver hands the result of an operation to the core. It waits while the mailbox is full, because the core counts on
// the result.
func (s *shardDuty) deliver(event shard.Event) {
	for s.ctx.Err() == nil && !s.main.Post(event) {
		timer := s.common.Clock.NewTimer(postRetry)
		select {
		case <-timer.C():
		case <-s.ctx.Done():
		}
	}
}

// ask passes an event to the core and waits for its answer.
func (s *shardDuty) ask(ctx context.Context, event func(shard.Token) shard.Event) (shard.Answer, error) {
	reply := make(chan shard.Answer, 1)
	if !s.main.Post(request{event: event, reply: reply}) {
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

// inspect runs look with the core and waits for it.
func (s *shardDuty) inspect(ctx context.Context, look question) error {
	done := make(chan struct{})
	if !s.main.Post(question(func(core *shard.Core) {
		look(core)
		close(done)
	})) {
		return errBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *shardDuty) append(message any) {
	a, ok := message.(shard.Append)
	if !ok || s.ctx.Err() != nil {
		return
	}
	data, err := a.Group.Encode()
	if err != nil {
		s.common.Log.WithError(err).Error("group cannot be encoded")
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

func (s *shardDuty) read(message any) {
	r, ok := message.(shard.Read)
	if !ok || s.ctx.Err() != nil {
		return
	}
	asked := s.common.Clock.Now()
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	batch, err := s.log.Read(ctx, s.stream, r.From, r.Limit)
	s.metrics.reads.Inc()
	done := shard.ReadDone{Asked: asked, From: r.From, Oldest: batch.Oldest, Next: batch.Next, Err: err}
	for _, entry := range batch.Entries {
		// An entry that cannot be read counts as an empty group, so that every reader skips it alike.
		group, err := journal.Decode(entry.Data)
		if err != nil {
			s.common.Event(common.EventEntryMalformed).WithError(err).WithField("shard", s.id).Warn("entry is skipped")
		}
		done.Groups = append(done.Groups, shard.Located{Offset: entry.Offset, Time: entry.Time, Group: group})
	}
	s.deliver(done)
}

// stop ends all duties of the shard without handing it over.
func (s *shardDuty) stop() {
	s.cancel()
	_ = s.main.Stop()
	_ = s.appends.Stop()
	_ = s.reads.Stop()
	_ = s.links.Stop()
	for _, w := range s.calls {
		_ = w.duty.Stop()
	}
}
