package rules

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	// defaultPoll leaves most of the 5 s in which a revision must be in force to the log service.
	defaultPoll = time.Second
	// peerInterval is the time between two questions to the peers at first, and maxPeerInterval after a long while.
	peerInterval    = 5 * time.Second
	maxPeerInterval = 10 * time.Minute
	// readTimeout bounds one read of the log service.
	readTimeout = 2 * time.Second
	// readLimit bounds the entries of one read, because each may hold MaxBytes of text.
	readLimit = 8
)

// Follower reads the rules stream and keeps the newest accepted revision in force. It is a Source.
type Follower struct {
	common    *common.Common
	log       oleanderline.LogService
	poll      time.Duration
	keepEvery time.Duration
	keepBy    string
	peers     func(context.Context) []Snapshot
	onChange  func(*Set)
	observe   func(entry Entry, offset oleanderline.Offset, accepted bool) // for Publisher
	changed   chan struct{}
	current   atomic.Pointer[Set]
	measures  *followerMetrics

	mu        sync.Mutex
	order     Order
	held      Snapshot  // the revision in force; Next and Settled are filled in by Snapshot
	confirmed time.Time // of the last read that reached the end of the stream
	keepAt    time.Time // when the revision in force is appended again
	askAt     time.Time // when the peers may be asked again
	askEvery  time.Duration
	logDown   bool
	fromPeer  bool
}

// NewFollower returns a follower that holds an empty set until Run has read the first revision.
func NewFollower(c *common.Common, log oleanderline.LogService, options ...FollowerOption) *Follower {
	f := &Follower{common: c, log: log, poll: defaultPoll, askEvery: peerInterval, changed: make(chan struct{}, 1)}
	for _, option := range options {
		option(f)
	}
	f.measures = newFollowerMetrics(c.Metrics, f)
	f.current.Store(&Set{})
	return f
}

// Current implements Source.
func (f *Follower) Current() *Set { return f.current.Load() }

// Changed returns a channel that receives a value after one or more new revisions are in force. It has room for one
// value and one receiver.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// Snapshot returns what peers take over from this process.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.held
	s.Next = f.order.Next()
	s.Settled = f.order.Settled()
	return s
}

// Status reports how current the rules are.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.Current()
	status := FollowerStatus{
		Revision:  set.Revision,
		By:        set.By,
		Published: set.Published,
		Age:       -1,
		LogDown:   f.logDown,
		Settled:   f.order.Settled(),
		FromPeer:  f.fromPeer,
		Ignored:   set.Unknown,
	}
	if !f.confirmed.IsZero() {
		status.Age = f.common.Clock.Now().Sub(f.confirmed)
	}
	return status
}

// Run follows the stream until the context ends, and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.Step(ctx)
		timer := f.common.Clock.NewTimer(f.poll)
		select {
		case <-ctx.Done():
		case <-timer.C():
		}
		timer.Stop()
	}
	return nil
}

// Step reads the stream to its end once, asks the peers if that does not settle the revision, and appends the revision
// in force again if that is due. Run calls it; tests and tools may call it instead of Run.
func (f *Follower) Step(ctx context.Context) {
	if f.Snapshot().Next == 1 {
		// A peer's rules spare a new process the whole stream.
		f.askPeers(ctx)
	}
	err := f.readToEnd(ctx)
	f.noteRead(err)
	if err != nil || !f.Snapshot().Settled {
		f.askPeers(ctx)
		return
	}
	f.keep(ctx)
}

// readToEnd puts only the last accepted revision in force, because parsing each of a day's 4,300 would delay a start.
func (f *Follower) readToEnd(ctx context.Context) error {
	defer f.apply()
	for {
		end, err := f.readOnce(ctx)
		if err != nil || end {
			return err
		}
	}
}

func (f *Follower) readOnce(ctx context.Context) (end bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.log.Read(ctx, Stream, f.Snapshot().Next, readLimit)
	if err != nil {
		return false, err
	}
	f.begin(batch.Oldest)
	for _, raw := range batch.Entries {
		f.offer(raw)
	}
	return len(batch.Entries) == 0 || f.Snapshot().Next >= batch.Next, nil
}

func (f *Follower) begin(oldest oleanderline.Offset) {
	f.mu.Lock()
	expected := f.order.Next()
	lost := f.order.Begin(oldest)
	f.mu.Unlock()
	if lost {
		f.measures.gaps.Inc()
		f.common.Event(common.EventRulesGap).WithField("expected", expected).WithField("oldest", oldest).
			Warn("entries of the rules stream were lost to retention")
	}
}

func (f *Follower) offer(raw oleanderline.Entry) {
	entry, err := DecodeEntry(raw.Data)
	accepted := false
	f.mu.Lock()
	if err == nil {
		accepted, err = f.judge(&entry, raw.Offset)
	}
	if err != nil {
		f.order.Skip(raw.Offset)
	}
	held := f.held
	f.mu.Unlock()
	if err != nil {
		f.measures.malformed.Inc()
		f.common.Event(common.EventRulesMalformed).WithError(err).WithField("offset", raw.Offset).
			Warn("entry of the rules stream ignored")
		return
	}
	if f.observe != nil {
		f.observe(entry, raw.Offset, accepted)
	}
	if !accepted {
		f.measures.refused.Inc()
		f.common.Event(common.EventRulesRefused).WithField("offset", raw.Offset).WithField("base", entry.Base).
			WithField("by", entry.By).WithField("revision", held.Revision).Info("rules entry lost a race")
		return
	}
	f.measures.accepted.Inc()
}

// judge offers a decoded entry to the order, and holds it if it is accepted. It must be called with the lock. Edits that
// do not fit their base are an error at every reader, because all have the same text for the same revision.
func (f *Follower) judge(entry *Entry, offset oleanderline.Offset) (accepted bool, err error) {
	if entry.Base == f.held.Revision {
		if entry.Text, err = entry.resolve(f.held.Text); err != nil {
			return false, err
		}
	}
	if !f.order.Offer(offset, entry.Base, entry.Whole()) {
		return false, nil
	}
	s := Snapshot{
		Revision:  oleanderline.Revision(offset),
		ID:        entry.ID,
		By:        entry.By,
		Published: entry.Time,
		Text:      entry.Text,
	}
	s.Origin = f.origin(*entry, s.Revision)
	if !entry.Whole() {
		s.Edits = f.held.Edits + 1
	}
	f.hold(s, false)
	return true, nil
}

// origin must be called with the lock.
func (f *Follower) origin(entry Entry, revision oleanderline.Revision) oleanderline.Revision {
	if entry.Kept() && entry.Base == f.held.Revision {
		return f.held.Origin
	}
	return revision
}

// hold must be called with the lock that also covers the change of the order, because a snapshot that pairs an old
// revision with a new position would lead a peer astray.
func (f *Follower) hold(s Snapshot, fromPeer bool) {
	f.held = s
	f.fromPeer = fromPeer
	f.keepAt = f.keepTime(s)
}

// apply puts the revision in force that the order has accepted last.
func (f *Follower) apply() {
	s := f.Snapshot()
	if s.Revision == f.Current().Revision {
		return
	}
	set := s.Set()
	f.current.Store(set)
	f.common.Event(common.EventRulesAccepted).WithField("revision", s.Revision).WithField("by", s.By).
		WithField("id", s.ID).Info("rules in force")
	if len(set.Unknown) > 0 {
		f.common.Event(common.EventRulesIgnored).WithField("revision", s.Revision).
			WithField("lines", len(set.Unknown)).WithField("first", set.Unknown[0].Line).
			Warn("lines of the rules are unknown to this version and ignored")
	}
	if f.onChange != nil {
		f.onChange(set)
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *Follower) noteRead(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	was := f.logDown
	f.logDown = err != nil
	if err == nil {
		f.confirmed = f.common.Clock.Now()
		f.askEvery = peerInterval
	}
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.common.Event(common.EventRulesLogDown).WithError(err).Warn("rules stream cannot be read, keeping the rules in force")
	case err == nil && was:
		f.common.Event(common.EventRulesLogUp).Info("rules stream can be read again")
	}
}
