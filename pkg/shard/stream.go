package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// stream is the position of the core in its stream.
type stream struct {
	next     oleanderline.Offset
	reading  bool
	readSoon bool
	readTime time.Time // when the next read is due
	// readAt is when the last read that reached the end was sent: until then, no newer claim existed.
	readAt    time.Time
	caughtUp  bool
	surveying bool
	restart   oleanderline.Offset // where to begin after the survey
	applied   int                 // groups read since the last restart
	heardAt   time.Time           // when the owner's last group was read
}

// requestRead asks for the next entries when that is due. Only the owner and the candidates read.
func (c *Core) requestRead() {
	if c.reading || !c.tails() {
		return
	}
	if c.now.Before(c.readTime) && !c.readSoon {
		return
	}
	c.reading, c.readSoon = true, false
	c.emit(Read{From: c.next, Limit: readLimit})
}

func (c *Core) readDone(e ReadDone) {
	c.reading = false
	if e.Err != nil {
		c.readTime = c.now.Add(readRetry)
		return
	}
	if e.From != c.next || !c.tails() {
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
		c.readTime = c.now
		return
	}
	c.reachedEnd(e)
}

// skipGap handles entries that the log service no longer keeps. It reports whether reading can go on.
func (c *Core) skipGap(oldest oleanderline.Offset) bool {
	if c.surveying || (c.applied == 0 && c.restart > 0) {
		c.next, c.restart = oldest, max(c.restart, oldest)
		c.order.Begin(oldest)
		return true
	}
	if c.applied > 0 {
		c.counters.Gaps++
	}
	c.counters.Rebuilt++
	c.lose()
	c.forget(oldest)
	c.surveying, c.restart = true, oldest
	c.readTime = c.now
	return false
}

func (c *Core) readGroup(located Located) {
	if c.surveying {
		c.order.Survey(located.Group)
		return
	}
	c.applied++
	before := c.order.Term()
	accepted := c.order.Accept(located.Offset, located.Group)
	c.writer.Seen(located.Group.Writer, located.Group.Seq)
	if !accepted {
		return
	}
	c.heardAt = c.now
	if c.order.Term() != before {
		c.termChanged(located)
	}
	for _, record := range located.Group.List {
		c.apply(record, located)
	}
}

func (c *Core) reachedEnd(e ReadDone) {
	c.order.Forget(e.Oldest)
	if c.surveying {
		c.surveying = false
		c.next = c.restart
		c.readTime = c.now
		return
	}
	c.readAt = e.Asked
	c.caughtUp = true
	if !c.suspectSince.IsZero() && !e.Asked.Before(c.suspectSince) {
		c.suspectSince = time.Time{}
	}
	c.readTime = c.now.Add(followerPoll)
	if c.owning {
		c.readTime = c.now.Add(ownerPoll)
	}
}

// apply changes the state by one record. Records that do not match the state are ignored: every reader ignores the same.
func (c *Core) apply(record journal.Record, at Located) {
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
