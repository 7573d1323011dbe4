package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// stream is the core's position in the shard's stream and the state of its reads.
type stream struct {
	next       oleanderline.Offset
	reading    bool
	readSoon   bool
	nextReadAt time.Time // when the next read is due
	// readAt is when the last read that reached the end was sent. No newer claim existed at that time.
	readAt       time.Time
	caughtUp     bool
	readingTerms bool                // after a gap, the core first reads all kept entries for their terms only
	restartAt    oleanderline.Offset // offset at which reading restarts after that
	applied      int                 // groups read since the last restart
	lastGroupAt  time.Time           // when the last accepted group was read
}

// requestRead requests the next entries when a read is due. Only the owner and the processes that may take over read.
func (c *Core) requestRead() {
	if c.reading || !c.readsStream() {
		return
	}
	if c.now.Before(c.nextReadAt) && !c.readSoon {
		return
	}
	c.reading, c.readSoon = true, false
	c.emit(Read{From: c.next, Limit: readLimit})
}

func (c *Core) readDone(e ReadDone) {
	c.reading = false
	if e.Err != nil {
		c.nextReadAt = c.now.Add(readRetry)
		return
	}
	if e.From != c.next || !c.readsStream() {
		return
	}
	if e.Oldest > c.next && !c.skipGap(e.Oldest) {
		return
	}
	for _, located := range e.Groups {
		if located.Offset < c.next {
			continue
		}
		c.next = located.Offset + 1
		c.readGroup(located)
	}
	if c.next < e.Next {
		c.nextReadAt = c.now
		return
	}
	c.reachedEnd(e)
}

// skipGap handles entries that the log service no longer keeps. It reports whether this read can continue.
func (c *Core) skipGap(oldest oleanderline.Offset) bool {
	if c.readingTerms || (c.applied == 0 && c.restartAt > 0) {
		c.next, c.restartAt = oldest, max(c.restartAt, oldest)
		c.order.SetStart(oldest)
		return true
	}
	if c.applied > 0 {
		c.counters.Gaps++
	}
	c.counters.Rebuilt++
	c.endOwnership()
	c.resetState(oldest)
	c.readingTerms, c.restartAt = true, oldest
	c.nextReadAt = c.now
	return false
}

func (c *Core) readGroup(located LocatedGroup) {
	if c.readingTerms {
		c.order.RecordTerm(located.Group)
		return
	}
	c.applied++
	before := c.order.Term()
	accepted := c.order.Accept(located.Offset, located.Group)
	c.writer.HandleReadBack(located.Group.Writer, located.Group.Seq)
	if !accepted {
		return
	}
	c.lastGroupAt = c.now
	if c.order.Term() != before {
		c.termChanged(located)
	}
	for _, record := range located.Group.List {
		c.apply(record, located)
	}
}

func (c *Core) reachedEnd(e ReadDone) {
	c.order.Prune(e.Oldest)
	if c.readingTerms {
		c.readingTerms = false
		c.next = c.restartAt
		c.nextReadAt = c.now
		return
	}
	c.readAt = e.SentAt
	c.caughtUp = true
	if !c.staleSince.IsZero() && !e.SentAt.Before(c.staleSince) {
		c.staleSince = time.Time{}
	}
	c.nextReadAt = c.now.Add(followerPoll)
	if c.owning {
		c.nextReadAt = c.now.Add(ownerPoll)
	}
}

// apply changes the state by one record. A record that does not match the state is ignored, and so it is by every reader.
func (c *Core) apply(record journal.Record, at LocatedGroup) {
	switch record.Kind {
	case journal.KindRelease:
		c.releasedTo, c.releasedAt = record.Owner, c.now
	case journal.KindSubmit:
		c.applySubmit(record, at.Time)
	case journal.KindAssign:
		c.applyAssign(record, at.Time)
	case journal.KindFree, journal.KindFail:
		c.applyFree(record, at.Time)
	case journal.KindDone:
		c.applyDone(record, at.Time)
	case journal.KindCancel:
		c.applyCancel(record, at.Time)
	case journal.KindKeep:
		c.applyKeep(record, at.Time)
	case journal.KindMove:
		c.applyMove(record, at)
	case journal.KindAccept:
		c.applyAccept(record, at.Time)
	case journal.KindSettle:
		c.applySettle(record, at.Time)
	case journal.KindClaim:
	}
}
