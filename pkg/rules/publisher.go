package rules

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	// appendTimeout bounds one append, so that a lost answer leaves time to look for the entry.
	appendTimeout = 3 * time.Second
	// wholeEvery bounds the edits between two whole texts. At 10,000 rules a whole text has 0.8 MB, so that it costs less
	// than 0.2 KB/s at 4,300 changes a day, and 86 min of retention hold one; see docs/measurements/rules.md.
	wholeEvery = 256
	// smallText is the length in bytes below which a whole text is always written.
	smallText = 4096
	// publishRetry is the wait between attempts after a lost answer or a failed read.
	publishRetry = 200 * time.Millisecond
)

// Request is a file to publish.
type Request struct {
	ID   string // unique; the same id again finds the entry of an earlier attempt
	Base oleanderline.Revision
	By   string
	Text string
	// Begin publishes although no reader knows the newest revision; see Publisher.begin.
	Begin bool
}

// Receipt tells what became of a published file.
type Receipt struct {
	Revision oleanderline.Revision
	// Unchanged means that the rules in force already had this text, and nothing was appended.
	Unchanged bool
	// Found means that the entry of an earlier attempt was found.
	Found bool
}

// Publisher appends files of rules to the stream. It is for one Publish at a time.
type Publisher struct {
	common     *common.Common
	log        oleanderline.LogService
	follower   *Follower
	id         string
	verdict    *Receipt                         // of the entry with id, if it was accepted
	refused    bool                             // the entry with id was read and lost the race
	wholeEvery int                              // entries
	smallText  int                              // bytes
	texts      map[oleanderline.Revision]string // of the base, for the message about a lost race
	base       oleanderline.Revision
}

// NewPublisher returns a publisher. The options are for its follower, which finds the newest revision.
func NewPublisher(c *common.Common, log oleanderline.LogService, options ...FollowerOption) *Publisher {
	p := &Publisher{common: c, log: log, wholeEvery: wholeEvery, smallText: smallText, texts: map[oleanderline.Revision]string{}}
	p.follower = NewFollower(c, log, append(options, withObserver(p.observe))...)
	return p
}

// Follower returns the follower with which the publisher reads the stream.
func (p *Publisher) Follower() *Follower { return p.follower }

func (p *Publisher) observe(e Entry, offset oleanderline.Offset, accepted bool) {
	revision := oleanderline.Revision(offset)
	if accepted && revision == p.base {
		p.texts[revision] = e.Text
	}
	if p.id == "" || e.ID != p.id {
		return
	}
	if accepted {
		p.verdict = &Receipt{Revision: revision}
		return
	}
	p.refused = true
}

// Publish checks the text and appends it, unless its base is not the revision accepted last. After a lost answer it looks
// for the entry by its id before it appends again; a second copy cannot be accepted, because both have the same base. It
// returns a *RaceError or an error that matches one of the errors above, ErrInvalid, or oleanderline.ErrUnavailable.
func (p *Publisher) Publish(ctx context.Context, r Request) (Receipt, error) {
	if _, report := Parse(r.Text); !report.OK() {
		return Receipt{}, fmt.Errorf("%w: %s", ErrInvalid, report.Errors[0])
	}
	p.id, p.base = r.ID, r.Base
	p.verdict, p.refused = nil, false
	if err := p.catchUp(ctx); err != nil {
		return Receipt{}, fmt.Errorf("read the rules stream: %w", err)
	}
	if receipt, err := p.outcome(r); err == nil {
		receipt.Found = true
		return receipt, nil
	}
	if newest := p.follower.Snapshot(); r.Begin && !newest.Settled && newest.Revision == 0 {
		return p.begin(ctx, r)
	}
	for {
		p.refused = false
		base, done, err := p.decide(r)
		if err != nil || done != nil {
			return deref(done), err
		}
		receipt, err := p.appendUntilKnown(ctx, r, base)
		// An entry that only repeated the base may have won the race, so the newest revision decides again.
		if !errors.Is(err, errRefused) {
			return receipt, err
		}
	}
}

func deref(r *Receipt) Receipt {
	if r == nil {
		return Receipt{}
	}
	return *r
}

// decide compares the request with the newest revision: it returns the base to publish with, or a receipt if nothing
// is left to do. A base that was only repeated since, to protect it from retention, counts as the newest.
func (p *Publisher) decide(r Request) (oleanderline.Revision, *Receipt, error) {
	newest := p.follower.Snapshot()
	switch {
	case !newest.Settled:
		return 0, nil, ErrUnsettled
	case newest.Revision > 0 && newest.Text == r.Text:
		return 0, &Receipt{Revision: newest.Revision, Unchanged: true}, nil
	case r.Base >= newest.Origin && r.Base <= newest.Revision:
		return newest.Revision, nil, nil
	default:
		return 0, nil, p.race(r)
	}
}

func (p *Publisher) race(r Request) error {
	newest := p.follower.Snapshot()
	e := &RaceError{Base: r.Base, Revision: newest.Revision, By: newest.By, Published: newest.Published}
	text, known := p.texts[r.Base]
	if known || r.Base == 0 {
		e.BaseKnown = true
		e.Changes = Diff(text, newest.Text)
	}
	return e
}

// begin gives readers that lost the newest revision a new one. The first entry is only there to be the base of the second,
// which readers accept behind a gap. It must be used by one operator at a time, and only if no daemon knows a revision:
// a daemon that does refuses both entries.
func (p *Publisher) begin(ctx context.Context, r Request) (Receipt, error) {
	entry := Entry{ID: "begin-" + r.ID, By: r.By, Time: p.common.Clock.Now().UTC(), Text: r.Text}
	data, err := entry.Encode()
	if err != nil {
		return Receipt{}, err
	}
	offset, err := p.append(ctx, data)
	if err != nil {
		return Receipt{}, fmt.Errorf("append to the rules stream: %w", err)
	}
	return p.appendUntilKnown(ctx, r, oleanderline.Revision(offset))
}

// appendUntilKnown appends until the entry has been read back, or the context ends.
func (p *Publisher) appendUntilKnown(ctx context.Context, r Request, base oleanderline.Revision) (Receipt, error) {
	data, err := p.encode(r, base)
	if err != nil {
		return Receipt{}, err
	}
	uncertain := false
	for {
		offset, err := p.append(ctx, data)
		switch {
		case !errors.Is(err, oleanderline.ErrUnavailable):
			uncertain = true
		case !uncertain:
			return Receipt{}, fmt.Errorf("append to the rules stream: %w", err)
		}
		done, err := p.lookUp(ctx, offset)
		if done || err != nil || !p.pause(ctx) {
			return p.outcome(r)
		}
	}
}

// encode writes the request as edits of its base if that is much shorter and the last whole text is not far back.
func (p *Publisher) encode(r Request, base oleanderline.Revision) ([]byte, error) {
	entry := Entry{ID: r.ID, Base: base, By: r.By, Time: p.common.Clock.Now().UTC(), Text: r.Text}
	whole, err := entry.Encode()
	held := p.follower.Snapshot()
	if err != nil || held.Revision != base || held.Edits+1 >= p.wholeEvery || len(r.Text) < p.smallText {
		return whole, err
	}
	entry.Text, entry.Sum, entry.Edit = "", checksum(r.Text), makeEdits(held.Text, r.Text)
	edits, err := entry.Encode()
	if err != nil || len(edits) > len(whole)/2 {
		return whole, err
	}
	return edits, nil
}

func (p *Publisher) append(ctx context.Context, data []byte) (oleanderline.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return p.log.Append(ctx, Stream, data)
}

// lookUp reads the stream to its end, and reports whether the entry was read. It repeats failed reads until the context
// ends, because appending again without having looked only adds copies.
func (p *Publisher) lookUp(ctx context.Context, offset oleanderline.Offset) (done bool, err error) {
	for {
		err := p.catchUp(ctx)
		known := p.verdict != nil || p.refused
		if err == nil || known {
			return known || (offset > 0 && p.follower.Snapshot().Next > offset), nil
		}
		if !p.pause(ctx) {
			return false, ErrOutcomeUnknown
		}
	}
}

// outcome tells what was read about the entry of the request.
func (p *Publisher) outcome(r Request) (Receipt, error) {
	newest := p.follower.Snapshot()
	switch {
	case p.verdict != nil:
		return *p.verdict, nil
	case newest.ID == r.ID:
		// The follower took it over from an own VM without reading it.
		return Receipt{Revision: newest.Revision}, nil
	case p.refused:
		return Receipt{}, errRefused
	default:
		return Receipt{}, fmt.Errorf("%w; publish again with id %s to find out", ErrOutcomeUnknown, r.ID)
	}
}

// catchUp reads the stream to its end and returns why that failed. It reads all entries, unlike Follower.Step, so that it
// finds the entry of an earlier attempt and the text of the base.
func (p *Publisher) catchUp(ctx context.Context) error {
	err := p.follower.readToEnd(ctx)
	p.follower.noteRead(err)
	if err == nil && !p.follower.Snapshot().Settled {
		p.follower.askPeers(ctx)
		return p.follower.readToEnd(ctx)
	}
	return err
}

// pause waits before the next attempt, and reports whether there is time for one.
func (p *Publisher) pause(ctx context.Context) bool {
	timer := p.common.Clock.NewTimer(publishRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}
