package shard

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Bounds of work between shards.
const (
	moveAfter       = 2 * time.Second // a task waits that long at home first
	moveUrgentAfter = 300 * time.Millisecond
	maxMovesOnce    = 64 // tasks moved in one pass
	linkPause       = 200 * time.Millisecond
	linkTasks       = 200 // tasks in one message
)

// links is the traffic with the owners of other shards. A task moves by a move record here, an offer that is repeated
// until the other shard has an accept record, and a report that is repeated until the end is recorded here.
type links struct {
	rooms map[oleanderline.ShardID]Room
	// terms holds the newest term of each shard that is known. Offers of earlier owners are refused.
	terms map[oleanderline.ShardID]oleanderline.Term
	away  []*task // moved, in order
	// messages are put together, or on their way.
	messages map[linkKey]*link
	linkID   uint64
	talkAt   time.Time
	// accepting are the tasks of other shards whose accept record is not yet read back.
	accepting map[oleanderline.TaskID]bool
}

type linkKey struct {
	shard  oleanderline.ShardID
	report bool
}

// link is a message that is not yet answered.
type link struct {
	id        uint64
	tasks     []*task
	cancelled []bool // of each task, when it was offered
	ends      []End
}

// moveOut moves tasks that wait in vain to shards that have room and no waiting tasks of their own.
func (c *Core) moveOut() {
	if c.releasing || c.LogStalled() || len(c.rooms) == 0 || c.queue.Len() == 0 {
		return
	}
	moves := 0
	// The reserve for short work is this shard's own; it does not keep long work from going elsewhere.
	c.queue.Each(c.now, queue.Load{Capacity: math.MaxInt32}, func(t *task, _ bool) queue.Verdict {
		if moves == maxMovesOnce {
			return queue.Enough
		}
		if t.pending != "" || t.job.guest != nil || c.now.Sub(t.since) < t.patience() {
			return queue.Misfit
		}
		to, ok := c.shardWithRoom(t)
		if !ok {
			return queue.Misfit
		}
		moves++
		t.pending = journal.KindMove
		c.record(t.job.Urgent, journal.Record{Kind: journal.KindMove, Task: t.id, Attempt: t.attempt, To: to})
		return queue.Placed
	})
}

func (t *task) patience() time.Duration {
	if t.job.Urgent {
		return moveUrgentAfter
	}
	return moveAfter
}

// shardWithRoom returns the shard with the most free processors among those that can take the size at once, and reduces
// its room until the next news of it.
func (c *Core) shardWithRoom(t *task) (oleanderline.ShardID, bool) {
	size := t.size()
	best, found := oleanderline.ShardID(0), false
	for id, room := range c.rooms {
		if id == c.cfg.Shard || room.Waiting > 0 || !size.Fits(room.Largest) || !size.Fits(room.Free) || !c.quotas.Holds(t.job.Team, size, id) {
			continue
		}
		better := room.Free.CPU > c.rooms[best].Free.CPU || (room.Free.CPU == c.rooms[best].Free.CPU && id < best)
		if !found || better {
			best, found = id, true
		}
	}
	if found {
		room := c.rooms[best]
		room.Free = room.Free.Sub(size)
		c.rooms[best] = room
	}
	return best, found
}

func (c *Core) applyMove(record journal.Record, at Located) {
	t := c.find(record.Task)
	if t == nil || t.state != taskWaiting || record.Attempt != t.attempt {
		return
	}
	t.state, t.to, t.movedAt, t.since = taskMoved, record.To, at.Offset, at.Time
	t.pending = ""
	c.queue.Drop(t)
	if c.owning {
		c.away = append(c.away, t)
	}
}

// talkToShards offers tasks that are not yet taken, and reports ends that are not yet recorded at home.
func (c *Core) talkToShards() {
	if c.now.Before(c.talkAt) {
		return
	}
	c.talkAt = c.now.Add(linkPause)
	c.away = slices.DeleteFunc(c.away, func(t *task) bool { return t.job.tasks[t.index] != t })
	for _, t := range c.away {
		if !t.taken || (t.cancelled && !t.takenBack) {
			c.offer(t)
		}
	}
	for _, j := range c.jobOrder {
		if j.guest != nil && len(j.guest.ends) > 0 {
			c.report(j)
		}
	}
	c.sendLinks()
}

// pendingLink returns the message that is being put together for a shard, or nil if one is on its way or full.
func (c *Core) pendingLink(key linkKey) *link {
	if c.links.messages == nil {
		c.links.messages = map[linkKey]*link{}
	}
	l := c.links.messages[key]
	if l == nil {
		l = &link{}
		c.links.messages[key] = l
	}
	if l.id != 0 || len(l.tasks)+len(l.ends) >= linkTasks {
		return nil
	}
	return l
}

func (c *Core) offer(t *task) {
	if l := c.pendingLink(linkKey{shard: t.to}); l != nil {
		l.tasks = append(l.tasks, t)
		l.cancelled = append(l.cancelled, t.cancelled)
	}
}

func (c *Core) sendLinks() {
	keys := make([]linkKey, 0, len(c.links.messages))
	for key := range c.links.messages {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b linkKey) int {
		if a.shard != b.shard {
			return int(a.shard - b.shard)
		}
		if a.report == b.report {
			return 0
		}
		if b.report {
			return -1
		}
		return 1
	})
	for _, key := range keys {
		if l := c.links.messages[key]; l.id == 0 {
			c.sendLink(key, l)
		}
	}
}

func (c *Core) sendLink(key linkKey, l *link) {
	c.linkID++
	l.id = c.linkID
	if key.report {
		c.emit(SendReport{ID: l.id, To: key.shard, Ends: l.ends})
		return
	}
	message := SendOffer{ID: l.id, To: key.shard, From: c.cfg.Shard, Term: c.term}
	for _, t := range l.tasks {
		kept := t.kept()
		kept.Moved, kept.To = false, 0
		message.Tasks = append(message.Tasks, MovedTask{Job: t.job.Job, Task: kept})
	}
	c.emit(message)
}

// linkDone takes note of what the other shard has recorded. What it has not is sent again with the next round.
func (c *Core) linkDone(e LinkDone) {
	for key, l := range c.links.messages {
		if l.id != e.ID {
			continue
		}
		delete(c.links.messages, key)
		if !e.Accepted {
			return
		}
		for i, t := range l.tasks {
			t.taken, t.takenBack = true, t.takenBack || l.cancelled[i]
		}
		c.settle(l.ends)
		return
	}
}

// reported takes the ends of tasks that moved away.
func (c *Core) reported(e Report) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard")
		return
	}
	all := true
	for _, end := range e.Ends {
		if end.At >= c.next {
			// A newer owner may have moved the task. This one does not know it yet.
			all = false
			continue
		}
		t := c.find(end.Task)
		if t == nil || t.state != taskMoved {
			continue
		}
		all = false
		if t.pending == "" {
			t.pending = end.Kind
			c.record(t.job.Urgent, journal.Record{
				Kind: end.Kind, Task: end.Task, Attempt: end.Attempt, Reason: end.Reason, Ran: end.Ran,
				Final: end.Kind == journal.KindFail,
			})
		}
	}
	c.answerLink(e.Token, all)
}

func (c *Core) answerLink(token Token, all bool) {
	if all {
		c.answer(token, Accepted, "")
		return
	}
	c.answer(token, NotRun, "not yet recorded, ask again")
}

// Room returns what other shards may know. It is zero unless this process owns the shard and takes work.
func (c *Core) Room() (Room, bool) {
	if !c.mayAct() || c.releasing || c.LogStalled() {
		return Room{}, false
	}
	var room Room
	for _, w := range c.workers.order {
		if !c.workers.usable(w) {
			continue
		}
		free := w.free().Sub(w.aheadSize())
		if free.CPU <= 0 || free.Memory <= 0 {
			continue
		}
		room.Free = room.Free.Add(free)
		if free.CPU > room.Largest.CPU {
			room.Largest = free
		}
	}
	room.Waiting = c.queue.Len()
	return room, true
}
