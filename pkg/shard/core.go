package shard

import (
	"maps"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/health"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/quota"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Times that are not worth a setting.
const (
	ownerPoll    = time.Second            // between two reads of an idle owner
	followerPoll = 500 * time.Millisecond // between two reads of a follower
	readRetry    = 200 * time.Millisecond // after a failed read
	readLimit    = 500                    // entries of one read
	// ownerHeartbeat is how often an owner writes to its stream even if nothing happens, and ownerTimeout is how long it may be quiet
	// before the follower takes over although the owner still answers heartbeats: it may be cut off from the log.
	ownerHeartbeat = 10 * time.Second
	ownerTimeout   = 40 * time.Second
	// settleTime is how long another VM must have been first in rendezvous order before the owner hands over to it.
	settleTime = 20 * time.Second
	// handover is how long an owner that has released its shard waits for the successor before it goes on.
	handover = 5 * time.Second
)

// Core is the state of one shard at one process. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	out []Action

	journalState
	stream
	ownership

	jobs      map[oleanderline.JobID]*job
	jobOrder  []*job
	workers   workerTable
	queue     *queue.Queue[*task]
	model     *interference.Model
	health    *health.Watch
	quotas    *quota.Book
	classes   *queue.Classes
	rules     *rules.Set
	clearing  oleanderline.WorkerID // kept for a task that has waited too long
	preempted []*task               // stopped to make room for urgent ones
	waiters   waiters
	largest   []oleanderline.Size
	links
	callID   uint64
	keepNext int
	sweptAt  time.Time // when finished jobs were last looked for
	sweepAt  time.Time // when live records were last looked for
	counters Counters
}

// journalState is the writer and the readers' order of the stream.
type journalState struct {
	order  *journal.Order
	writer *journal.Writer
}

// Counters are totals since the process started.
type Counters struct {
	Starts, Done, Failed, Freed, Cancelled, Lapsed int
	Claims, Lost, Gaps, Rebuilt                    int
	Refused, Preempted, Throttled, Evicted         int
}

// New returns a core that knows nothing and owns nothing.
func New(cfg Config) *Core {
	cfg.Health.Without = cfg.Health.Without || cfg.Without.Quarantine
	c := &Core{cfg: cfg, rules: &rules.Set{}, quotas: quota.NewBook(cfg.Shard), model: interference.NewModel()}
	c.writer = journal.NewWriter(cfg.Writer)
	c.waiters = newWaiters()
	c.workers = newWorkerTable()
	c.forget(1)
	return c
}

// Step handles one event and returns what the process must do. The clock must be monotonic.
func (c *Core) Step(event Event, now time.Time) []Action {
	c.noticePause(now)
	c.now = now
	switch e := event.(type) {
	case Members:
		c.setMembers(e)
	case VMs:
		c.setVMs(e)
	case Drains:
		c.workers.drains = e.Workers
	case Rules:
		c.rules = e.Set
		c.queue.SetRules(e.Set)
		c.quotas.SetRules(e.Set)
	case ReadDone:
		c.readDone(e)
	case AppendDone:
		c.appendDone(e)
	case CallDone:
		c.callDone(e)
	case Submit:
		c.submit(e)
	case Cancel:
		c.cancel(e)
	case Leave:
		c.leaving = true
	case Rooms:
		c.rooms = maps.Clone(e.ByShard)
		c.noteTerms(e.Terms)
	case Offer:
		c.offered(e)
	case Report:
		c.reported(e)
	case LinkDone:
		c.linkDone(e)
	}
	c.advance(event)
	out := c.out
	c.out = nil
	return out
}

// advance does everything that is due. After the answer of a worker that is the next call to it; the rest waits for the
// next tick, because a look at all workers for each answer would take most of the processor time.
func (c *Core) advance(event Event) {
	if answer, ok := event.(CallDone); ok {
		if w := c.workers.byID[answer.Worker]; w != nil && c.mayAct() {
			c.operateWorker(w)
		}
	} else {
		c.advanceAll()
	}
	if c.mayAppend() {
		if group, ok := c.writer.Next(c.order.Term(), c.next, c.now); ok {
			c.emit(Append{Group: group})
		}
	}
}

func (c *Core) advanceAll() {
	c.maintainOwnership()
	c.requestRead()
	if c.mayAct() {
		for _, w := range c.workers.order {
			c.operateWorker(w)
		}
		c.place()
		c.moveOut()
		c.talkToShards()
		c.keepLive()
	}
	c.expireWaiters()
	c.forgetFinished()
}

func (c *Core) emit(action Action) { c.out = append(c.out, action) }

func (c *Core) record(urgent bool, records ...journal.Record) {
	c.writer.Add(c.now, urgent, records...)
}

func (c *Core) appendDone(e AppendDone) {
	c.writer.Answered(e.Seq, e.Err, c.now)
	if e.Err == nil {
		c.readSoon = true
	}
}

// forget drops everything that the stream says, to read it again from an offset on.
func (c *Core) forget(from oleanderline.Offset) {
	c.order = journal.NewOrder(c.cfg.Without.Journal)
	c.order.Begin(from)
	c.jobs = map[oleanderline.JobID]*job{}
	c.jobOrder = nil
	c.classes = queue.NewClasses()
	c.health = health.New(c.cfg.Health)
	c.health.SetSize(c.workers.listed())
	c.queue = c.newQueue()
	c.links = links{rooms: c.rooms, terms: c.terms, linkID: c.linkID}
	c.workers.dropTasks()
	c.stream = stream{next: from, readTime: c.readTime, reading: c.reading}
}

// find returns an unfinished task.
func (c *Core) find(id oleanderline.TaskID) *task {
	name, index, err := splitTaskID(id)
	if err != nil {
		return nil
	}
	j := c.jobs[name]
	if j == nil {
		return nil
	}
	return j.tasks[index]
}

// Quarantined returns the number of workers in quarantine.
func (c *Core) Quarantined() int { return c.health.Quarantined() }

// Counters returns the totals so far.
func (c *Core) Counters() Counters { return c.counters }
