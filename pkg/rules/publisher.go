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
	// appendTimeout is the timeout of one append; it leaves time to look for the entry after a lost answer.
	appendTimeout = 3 * time.Second
	// fullTextEvery is the maximum number of entries from one full text to the next; the others hold edits. At 10,000 rules
	// a full text has 0.8 MB. At 4,300 changes a day the full texts cost less than 0.2 KB/s, and 86 min of retention
	// include one; see docs/measurements/rules.md.
	fullTextEvery = 256
	// minTextForEdits is the length of a text in bytes below which the full text is always written.
	minTextForEdits = 4096
	// publishRetry is the delay between attempts after a lost answer or a failed read.
	publishRetry = 200 * time.Millisecond
)

// Request is a rules file to publish.
type Request struct {
	ID   string // idempotency key: a request with the id of an earlier attempt finds its entry
	Base oleanderline.Revision
	By   string
	Text string
	// Bootstrap publishes even if no reader knows the newest revision; see Publisher.bootstrap.
	Bootstrap bool
}

// Receipt is the result of a successful Publish.
type Receipt struct {
	Revision oleanderline.Revision
	// Unchanged means that the rules in force already had this text, and nothing was appended.
	Unchanged bool
	// Found means that the entry of an earlier attempt was found.
	Found bool
}

// Publisher appends rules files to the stream. It is not safe for concurrent use.
type Publisher struct {
	common          *common.Common
	log             oleanderline.LogService
	follower        *Follower
	id              string
	receipt         *Receipt                         // for the entry with id, if it was accepted
	refused         bool                             // the entry with id was read and refused
	fullTextEvery   int                              // entries
	minTextForEdits int                              // bytes
	baseTexts       map[oleanderline.Revision]string // the text of the base, for the changes in a ConflictError
	base            oleanderline.Revision
}

// NewPublisher returns a publisher. The options are passed to its follower, which determines the newest revision.
func NewPublisher(c *common.Common, log oleanderline.LogService, options ...FollowerOption) *Publisher {
	p := &Publisher{
		common: c, log: log, fullTextEvery: fullTextEvery, minTextForEdits: minTextForEdits,
		baseTexts: map[oleanderline.Revision]string{},
	}
	p.follower = NewFollower(c, log, append(options, withObserver(p.observe))...)
	return p
}

// Follower returns the follower with which the publisher reads the stream.
func (p *Publisher) Follower() *Follower { return p.follower }

// observe records the text of the base and the outcome of the publisher's own entry while the follower reads the stream.
func (p *Publisher) observe(e Entry, offset oleanderline.Offset, accepted bool) {
	revision := oleanderline.Revision(offset)
	if accepted && revision == p.base {
		p.baseTexts[revision] = e.Text
	}
	if p.id == "" || e.ID != p.id {
		return
	}
	if accepted {
		p.receipt = &Receipt{Revision: revision}
		return
	}
	p.refused = true
}

// Publish validates the text and appends it if its base is the newest revision. After a lost answer it looks for the entry
// by its id before it appends again; a second copy cannot be accepted, because both have the same base. It returns a
// *ConflictError or an error that matches ErrOutcomeUnknown, ErrInvalid, ErrUnsettled or oleanderline.ErrUnavailable.
func (p *Publisher) Publish(ctx context.Context, r Request) (Receipt, error) {
	if _, report := Parse(r.Text); !report.OK() {
		return Receipt{}, fmt.Errorf("%w: %s", ErrInvalid, report.Errors[0])
	}
	p.id, p.base = r.ID, r.Base
	p.receipt, p.refused = nil, false
	if err := p.catchUp(ctx); err != nil {
		return Receipt{}, fmt.Errorf("read the rules stream: %w", err)
	}
	if receipt, err := p.outcome(r); err == nil {
		receipt.Found = true
		return receipt, nil
	}
	if newest := p.follower.Snapshot(); r.Bootstrap && !newest.Settled && newest.Revision == 0 {
		return p.bootstrap(ctx, r)
	}
	for {
		p.refused = false
		base, done, err := p.chooseBase(r)
		if err != nil || done != nil {
			return deref(done), err
		}
		receipt, err := p.appendUntilConfirmed(ctx, r, base)
		// The entry that was accepted instead may only have republished the base, so choose the base again.
		if !errors.Is(err, errEntryRefused) {
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

// chooseBase compares the request with the newest revision. It returns the base to publish with, or a receipt if the
// newest revision already has the same text. A base that has only been republished since, to protect it from retention,
// counts as the newest.
func (p *Publisher) chooseBase(r Request) (oleanderline.Revision, *Receipt, error) {
	newest := p.follower.Snapshot()
	switch {
	case !newest.Settled:
		return 0, nil, ErrUnsettled
	case newest.Revision > 0 && newest.Text == r.Text:
		return 0, &Receipt{Revision: newest.Revision, Unchanged: true}, nil
	case r.Base >= newest.Origin && r.Base <= newest.Revision:
		return newest.Revision, nil, nil
	default:
		return 0, nil, p.conflict(r)
	}
}

// conflict returns a ConflictError with the changes from the base to the newest revision.
func (p *Publisher) conflict(r Request) error {
	newest := p.follower.Snapshot()
	e := &ConflictError{Base: r.Base, Revision: newest.Revision, By: newest.By, Published: newest.Published}
	text, known := p.baseTexts[r.Base]
	if known || r.Base == 0 {
		e.BaseKnown = true
		e.Changes = Diff(text, newest.Text)
	}
	return e
}

// bootstrap publishes a new first revision for readers that no longer know the newest one. It appends two entries: the
// first serves only as the base of the second, which readers accept after a gap. Only one operator may use it at a time,
// and only if no daemon knows a revision: a daemon that knows one refuses both entries.
func (p *Publisher) bootstrap(ctx context.Context, r Request) (Receipt, error) {
	entry := Entry{ID: "begin-" + r.ID, By: r.By, Time: p.common.Clock.Now().UTC(), Text: r.Text}
	data, err := entry.Encode()
	if err != nil {
		return Receipt{}, err
	}
	offset, err := p.append(ctx, data)
	if err != nil {
		return Receipt{}, fmt.Errorf("append to the rules stream: %w", err)
	}
	return p.appendUntilConfirmed(ctx, r, oleanderline.Revision(offset))
}

// appendUntilConfirmed appends the entry, and repeats the append until the entry has been read back or the context ends.
func (p *Publisher) appendUntilConfirmed(ctx context.Context, r Request, base oleanderline.Revision) (Receipt, error) {
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
		done, err := p.findEntry(ctx, offset)
		if done || err != nil || !p.waitRetry(ctx) {
			return p.outcome(r)
		}
	}
}

// encode encodes the request as edits to its base if that takes at most half the bytes of the full text and the last full
// text is fewer than fullTextEvery entries back. Otherwise it encodes the full text.
func (p *Publisher) encode(r Request, base oleanderline.Revision) ([]byte, error) {
	entry := Entry{ID: r.ID, Base: base, By: r.By, Time: p.common.Clock.Now().UTC(), Text: r.Text}
	full, err := entry.Encode()
	newest := p.follower.Snapshot()
	if err != nil || newest.Revision != base || newest.Edits+1 >= p.fullTextEvery || len(r.Text) < p.minTextForEdits {
		return full, err
	}
	entry.Text, entry.Sum, entry.Edit = "", checksum(r.Text), makeEdits(newest.Text, r.Text)
	edits, err := entry.Encode()
	if err != nil || len(edits) > len(full)/2 {
		return full, err
	}
	return edits, nil
}

func (p *Publisher) append(ctx context.Context, data []byte) (oleanderline.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return p.log.Append(ctx, Stream, data)
}

// findEntry reads the stream to its end and reports whether the entry was read, so that it need not be appended again.
// It repeats failed reads until the context ends, because an append without a previous read only adds copies.
func (p *Publisher) findEntry(ctx context.Context, offset oleanderline.Offset) (done bool, err error) {
	for {
		err := p.catchUp(ctx)
		found := p.receipt != nil || p.refused
		if err == nil || found {
			return found || (offset > 0 && p.follower.Snapshot().Next > offset), nil
		}
		if !p.waitRetry(ctx) {
			return false, ErrOutcomeUnknown
		}
	}
}

// outcome returns the receipt of the request's entry if the entry was accepted. Otherwise its error says whether the entry
// was refused or has not been read.
func (p *Publisher) outcome(r Request) (Receipt, error) {
	newest := p.follower.Snapshot()
	switch {
	case p.receipt != nil:
		return *p.receipt, nil
	case newest.ID == r.ID:
		// The follower adopted the revision from a daemon on an own VM without reading the entry.
		return Receipt{Revision: newest.Revision}, nil
	case p.refused:
		return Receipt{}, errEntryRefused
	default:
		return Receipt{}, fmt.Errorf("%w; publish again with id %s to find out", ErrOutcomeUnknown, r.ID)
	}
}

// catchUp reads the stream to its end. Unlike Follower.Step it does not adopt a peer's snapshot before reading, so that it
// finds the entry of an earlier attempt and the text of the base.
func (p *Publisher) catchUp(ctx context.Context) error {
	err := p.follower.readToEnd(ctx)
	p.follower.recordRead(err)
	if err == nil && !p.follower.Snapshot().Settled {
		p.follower.queryPeers(ctx)
		return p.follower.readToEnd(ctx)
	}
	return err
}

// waitRetry waits before the next attempt. It returns false if the context ends first.
func (p *Publisher) waitRetry(ctx context.Context) bool {
	timer := p.common.Clock.NewTimer(publishRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}
