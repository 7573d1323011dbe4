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
	// defaultPoll uses 1 s of the 5 s within which a revision must be in force, and leaves the rest to the log service.
	defaultPoll = time.Second
	// minPeerInterval is the initial time between two queries of the peers; it doubles during an outage of the log
	// service, up to maxPeerInterval.
	minPeerInterval = 5 * time.Second
	maxPeerInterval = 10 * time.Minute
	// readTimeout is the timeout of one call of the log service and of one query of all peers.
	readTimeout = 2 * time.Second
	// readLimit is the maximum number of entries of one read; each may hold MaxBytes of text.
	readLimit = 8
)

// Follower reads the rules stream and puts the newest accepted revision in force. It implements Source.
type Follower struct {
	common            *common.Common
	log               oleanderline.LogService
	poll              time.Duration
	republishInterval time.Duration
	republishBy       string
	peers             func(context.Context) []Snapshot
	onChange          func(*Set)
	observe           func(entry Entry, offset oleanderline.Offset, accepted bool) // set by Publisher
	changed           chan struct{}
	current           atomic.Pointer[Set]
	metrics           *followerMetrics

	mu            sync.Mutex
	acceptor      Acceptor
	newest        Snapshot  // the newest accepted revision; Next and Settled are filled in by Snapshot
	lastConfirmed time.Time // time of the last read that reached the end of the stream
	republishAt   time.Time // when the revision in force is due to be republished
	nextPeerQuery time.Time // the peers are not queried before this time
	peerInterval  time.Duration
	logDown       bool
	fromPeer      bool
}

// NewFollower returns a follower whose set of rules is empty until Run has read the first revision.
func NewFollower(c *common.Common, log oleanderline.LogService, options ...FollowerOption) *Follower {
	f := &Follower{common: c, log: log, poll: defaultPoll, peerInterval: minPeerInterval, changed: make(chan struct{}, 1)}
	for _, option := range options {
		option(f)
	}
	f.metrics = newFollowerMetrics(c.Metrics, f)
	f.current.Store(&Set{})
	return f
}

// Current implements Source.
func (f *Follower) Current() *Set { return f.current.Load() }

// Changed returns a channel that receives a value after one or more new revisions have come into force. It has a buffer
// of one value and is meant for a single receiver.
func (f *Follower) Changed() <-chan struct{} { return f.changed }

// Snapshot returns the state that peers can adopt from this process.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.newest
	s.Next = f.acceptor.Next()
	s.Settled = f.acceptor.Settled()
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
		Settled:   f.acceptor.Settled(),
		FromPeer:  f.fromPeer,
		Ignored:   set.Unknown,
	}
	if !f.lastConfirmed.IsZero() {
		status.Age = f.common.Clock.Now().Sub(f.lastConfirmed)
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

// Step reads the stream to its end once, queries the peers if the read fails or leaves the newest revision unknown, and
// republishes the revision in force if that is due. Run calls it; tests and tools may call it instead of Run.
func (f *Follower) Step(ctx context.Context) {
	if f.Snapshot().Next == 1 {
		// With a peer's snapshot a new process does not need to read the whole stream.
		f.queryPeers(ctx)
	}
	err := f.readToEnd(ctx)
	f.recordRead(err)
	if err != nil || !f.Snapshot().Settled {
		f.queryPeers(ctx)
		return
	}
	f.republish(ctx)
}

// readToEnd reads the stream to its end and then puts only the last accepted revision in force: a day has 4,300
// revisions, and parsing each of them would delay the start of a process.
func (f *Follower) readToEnd(ctx context.Context) error {
	defer f.apply()
	for {
		atEnd, err := f.readBatch(ctx)
		if err != nil || atEnd {
			return err
		}
	}
}

// readBatch reads and processes one batch of entries. atEnd reports whether it reached the end of the stream.
func (f *Follower) readBatch(ctx context.Context) (atEnd bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.log.Read(ctx, Stream, f.Snapshot().Next, readLimit)
	if err != nil {
		return false, err
	}
	f.checkGap(batch.Oldest)
	for _, logEntry := range batch.Entries {
		f.handleEntry(logEntry)
	}
	return len(batch.Entries) == 0 || f.Snapshot().Next >= batch.Next, nil
}

// checkGap passes the oldest kept offset to the acceptor and records a gap.
func (f *Follower) checkGap(oldest oleanderline.Offset) {
	f.mu.Lock()
	expected := f.acceptor.Next()
	lost := f.acceptor.SetOldest(oldest)
	f.mu.Unlock()
	if lost {
		f.metrics.gaps.Inc()
		f.common.Event(common.EventRulesGap).WithField("expected", expected).WithField("oldest", oldest).
			Warn("retention removed entries of the rules stream before they were read")
	}
}

// handleEntry decodes an entry, passes it to the acceptor, and records the result.
func (f *Follower) handleEntry(logEntry oleanderline.Entry) {
	entry, err := DecodeEntry(logEntry.Data)
	accepted := false
	f.mu.Lock()
	if err == nil {
		accepted, err = f.acceptEntry(&entry, logEntry.Offset)
	}
	if err != nil {
		f.acceptor.Skip(logEntry.Offset)
	}
	newest := f.newest
	f.mu.Unlock()
	if err != nil {
		f.metrics.malformed.Inc()
		f.common.Event(common.EventRulesMalformed).WithError(err).WithField("offset", logEntry.Offset).
			Warn("malformed rules entry ignored")
		return
	}
	if f.observe != nil {
		f.observe(entry, logEntry.Offset, accepted)
	}
	if !accepted {
		f.metrics.refused.Inc()
		f.common.Event(common.EventRulesRefused).WithField("offset", logEntry.Offset).WithField("base", entry.Base).
			WithField("by", entry.By).WithField("revision", newest.Revision).
			Info("rules entry refused: its base is not the newest revision")
		return
	}
	f.metrics.accepted.Inc()
}

// acceptEntry passes a decoded entry to the acceptor and stores it as the newest revision if it is accepted. The caller
// holds f.mu. Edits that do not match their base are an error at every reader, because all readers have the same text for
// the same revision.
func (f *Follower) acceptEntry(entry *Entry, offset oleanderline.Offset) (accepted bool, err error) {
	if entry.Base == f.newest.Revision {
		if entry.Text, err = entry.resolve(f.newest.Text); err != nil {
			return false, err
		}
	}
	if !f.acceptor.Accept(offset, entry.Base, entry.HasFullText()) {
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
	if !entry.HasFullText() {
		s.Edits = f.newest.Edits + 1
	}
	f.setNewest(s, false)
	return true, nil
}

// origin returns the revision that the entry republishes, or its own revision if it is new. The caller holds f.mu.
func (f *Follower) origin(entry Entry, revision oleanderline.Revision) oleanderline.Revision {
	if entry.IsRepublished() && entry.Base == f.newest.Revision {
		return f.newest.Origin
	}
	return revision
}

// setNewest stores the newest accepted revision. The caller holds f.mu and has held it since it changed the acceptor:
// a snapshot that pairs an old revision with a new offset would make a peer miss revisions.
func (f *Follower) setNewest(s Snapshot, fromPeer bool) {
	f.newest = s
	f.fromPeer = fromPeer
	f.republishAt = f.republishTime(s)
}

// apply parses the newest accepted revision and puts it in force.
func (f *Follower) apply() {
	s := f.Snapshot()
	if s.Revision == f.Current().Revision {
		return
	}
	set := s.Set()
	f.current.Store(set)
	f.common.Event(common.EventRulesAccepted).WithField("revision", s.Revision).WithField("by", s.By).
		WithField("id", s.ID).Info("new revision of the rules in force")
	if len(set.Unknown) > 0 {
		f.common.Event(common.EventRulesIgnored).WithField("revision", s.Revision).
			WithField("lines", len(set.Unknown)).WithField("first", set.Unknown[0].Line).
			Warn("lines of the rules ignored: this version does not know them")
	}
	if f.onChange != nil {
		f.onChange(set)
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// recordRead records whether a read of the stream failed, and logs the start and the end of an outage.
func (f *Follower) recordRead(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	wasDown := f.logDown
	f.logDown = err != nil
	if err == nil {
		f.lastConfirmed = f.common.Clock.Now()
		f.peerInterval = minPeerInterval
	}
	f.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		f.common.Event(common.EventRulesLogDown).WithError(err).Warn("cannot read the rules stream; the current rules stay in force")
	case err == nil && wasDown:
		f.common.Event(common.EventRulesLogUp).Info("rules stream can be read again")
	}
}
