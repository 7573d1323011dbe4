package shard

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Limits for moving tasks between shards.
const (
	moveAfter        = 2 * time.Second // a task waits this long in its home shard first
	moveUrgentAfter  = 300 * time.Millisecond
	maxMovesPerPass  = 64 // tasks moved in one pass
	exchangeInterval = 200 * time.Millisecond
	maxMessageTasks  = 200 // most tasks or ends in one message
)

// transfers is the state of the messages exchanged with the owners of other shards. A task moves in three steps: a move
// record in this shard, an offer that is repeated until the other shard has an accept record, and a report from there that
// is repeated until the end is recorded here.
type transfers struct {
	rooms map[oleanderline.ShardID]Room
	// terms holds the newest known term of each shard. Offers of earlier owners are refused.
	terms      map[oleanderline.ShardID]oleanderline.Term
	movedTasks []*task // tasks that have moved to other shards, in order
	// messages holds the message that is being filled or is in flight for each shard and kind.
	messages       map[transferKey]*transferMessage
	lastMessageID  uint64
	nextExchangeAt time.Time
	// pendingAccepts holds the tasks of other shards whose accept record is not yet read back.
	pendingAccepts map[oleanderline.TaskID]bool
}

type transferKey struct {
	shard  oleanderline.ShardID
	report bool
}

// transferMessage is an offer or report that is not yet answered.
type transferMessage struct {
	id        uint64
	tasks     []*task
	cancelled []bool // for each task, whether it was cancelled when it was offered
	ends      []End
}

// moveTasks moves tasks that find no worker here to shards that have room and no waiting tasks of their own.
func (c *Core) moveTasks() {
	if c.releasing || c.LogStalled() || len(c.rooms) == 0 || c.queue.Len() == 0 {
		return
	}
	moves := 0
	// The capacity that is reserved for short tasks is that of this shard; it does not keep long tasks from moving to
	// another one.
	c.queue.Each(c.now, queue.Load{Capacity: math.MaxInt32}, func(t *task, _ bool) queue.Verdict {
		if moves == maxMovesPerPass {
			return queue.Stop
		}
		if t.pending != "" || t.job.guest != nil || c.now.Sub(t.since) < t.moveDelay() {
			return queue.NoRoom
		}
		to, ok := c.shardWithRoom(t)
		if !ok {
			return queue.NoRoom
		}
		moves++
		t.pending = journal.KindMove
		c.record(t.job.Urgent, journal.Record{Kind: journal.KindMove, Task: t.id, Attempt: t.attempt, To: to})
		return queue.Placed
	})
}

func (t *task) moveDelay() time.Duration {
	if t.job.Urgent {
		return moveUrgentAfter
	}
	return moveAfter
}

// shardWithRoom returns the shard with the most free CPU among those that can start the task at once, and subtracts the task
// from that shard's room until its owner reports again.
func (c *Core) shardWithRoom(t *task) (oleanderline.ShardID, bool) {
	size := t.size()
	best, found := oleanderline.ShardID(0), false
	for id, room := range c.rooms {
		if id == c.cfg.Shard || room.Waiting > 0 || !size.Fits(room.Largest) || !size.Fits(room.Free) || !c.quotas.FitsPortion(t.job.Team, size, id) {
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

func (c *Core) applyMove(record journal.Record, at LocatedGroup) {
	t := c.findTask(record.Task)
	if t == nil || t.state != taskWaiting || record.Attempt != t.attempt {
		return
	}
	t.state, t.to, t.movedAt, t.since = taskMoved, record.To, at.Offset, at.Time
	t.pending = ""
	c.queue.Drop(t)
	if c.owning {
		c.movedTasks = append(c.movedTasks, t)
	}
}

// exchangeWithShards offers tasks that the other shard has not accepted yet, and reports ends that the home shard has not
// recorded yet.
func (c *Core) exchangeWithShards() {
	if c.now.Before(c.nextExchangeAt) {
		return
	}
	c.nextExchangeAt = c.now.Add(exchangeInterval)
	c.movedTasks = slices.DeleteFunc(c.movedTasks, func(t *task) bool { return t.job.tasks[t.index] != t })
	for _, t := range c.movedTasks {
		if !t.accepted || (t.cancelled && !t.cancelAccepted) {
			c.offer(t)
		}
	}
	for _, j := range c.jobOrder {
		if j.guest != nil && len(j.guest.ends) > 0 {
			c.reportEnds(j)
		}
	}
	c.sendMessages()
}

// openMessage returns the message that is being filled for a shard, or nil if it is in flight or full.
func (c *Core) openMessage(key transferKey) *transferMessage {
	if c.transfers.messages == nil {
		c.transfers.messages = map[transferKey]*transferMessage{}
	}
	m := c.transfers.messages[key]
	if m == nil {
		m = &transferMessage{}
		c.transfers.messages[key] = m
	}
	if m.id != 0 || len(m.tasks)+len(m.ends) >= maxMessageTasks {
		return nil
	}
	return m
}

func (c *Core) offer(t *task) {
	if m := c.openMessage(transferKey{shard: t.to}); m != nil {
		m.tasks = append(m.tasks, t)
		m.cancelled = append(m.cancelled, t.cancelled)
	}
}

func (c *Core) sendMessages() {
	keys := make([]transferKey, 0, len(c.transfers.messages))
	for key := range c.transfers.messages {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b transferKey) int {
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
		if m := c.transfers.messages[key]; m.id == 0 {
			c.sendMessage(key, m)
		}
	}
}

func (c *Core) sendMessage(key transferKey, m *transferMessage) {
	c.lastMessageID++
	m.id = c.lastMessageID
	if key.report {
		c.emit(SendReport{ID: m.id, To: key.shard, Ends: m.ends})
		return
	}
	message := SendOffer{ID: m.id, To: key.shard, From: c.cfg.Shard, Term: c.term}
	for _, t := range m.tasks {
		kept := t.keptTask()
		kept.Moved, kept.To = false, 0
		message.Tasks = append(message.Tasks, MovedTask{Job: t.job.Job, Task: kept})
	}
	c.emit(message)
}

// sendDone marks what the other shard has recorded. The rest is sent again with the next exchange.
func (c *Core) sendDone(e SendDone) {
	for key, m := range c.transfers.messages {
		if m.id != e.ID {
			continue
		}
		delete(c.transfers.messages, key)
		if !e.Accepted {
			return
		}
		for i, t := range m.tasks {
			t.accepted, t.cancelAccepted = true, t.cancelAccepted || m.cancelled[i]
		}
		c.settle(m.ends)
		return
	}
}

// handleReport queues the records of the ends of tasks that moved to another shard.
func (c *Core) handleReport(e Report) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard")
		return
	}
	all := true
	for _, end := range e.Ends {
		if end.At >= c.next {
			// A newer owner, unknown to this one so far, may have moved the task.
			all = false
			continue
		}
		t := c.findTask(end.Task)
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
	c.answerTransfer(e.Token, all)
}

func (c *Core) answerTransfer(token Token, all bool) {
	if all {
		c.answer(token, Accepted, "")
		return
	}
	c.answer(token, NotRun, "not yet recorded, ask again")
}

// Room returns the room that is reported to other shards. It returns false unless this process owns the shard and accepts
// tasks.
func (c *Core) Room() (Room, bool) {
	if !c.mayAct() || c.releasing || c.LogStalled() {
		return Room{}, false
	}
	var room Room
	for _, w := range c.workers.order {
		if !c.workers.usable(w) {
			continue
		}
		free := w.freeCapacity().Sub(w.queuedSize())
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
