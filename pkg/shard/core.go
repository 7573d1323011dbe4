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

// Intervals and timeouts that are not configurable.
const (
	ownerPoll    = time.Second            // interval between reads of an idle owner
	followerPoll = 500 * time.Millisecond // interval between reads of a follower
	readRetry    = 200 * time.Millisecond // pause after a failed read
	readLimit    = 500                    // most entries of one read
	// ownerHeartbeat is the interval at which an idle owner appends to its stream. If it has appended nothing for
	// ownerTimeout, the follower takes over even though the owner still answers heartbeats, because the owner may be cut off
	// from the log service.
	ownerHeartbeat = 10 * time.Second
	ownerTimeout   = 40 * time.Second
	// settleTime is how long another VM must have been first in rendezvous order before the owner hands the shard over to
	// it.
	settleTime = 20 * time.Second
	// handoverTimeout is how long a released shard is left to the chosen successor: after it, the first in rendezvous order
	// may claim the shard, too, and after twice as long the releasing owner continues.
	handoverTimeout = 5 * time.Second
)

// Core is the state of one shard in one process. It is not safe for concurrent use.
type Core struct {
	cfg Config
	now time.Time
	out []Action

	journalState
	stream
	ownership

	jobs           map[oleanderline.JobID]*job
	jobOrder       []*job
	workers        workerTable
	queue          *queue.Queue[*task]
	model          *interference.Model
	health         *health.Tracker
	quotas         *quota.Book
	classes        *queue.Classes
	rules          *rules.Set
	reservedWorker oleanderline.WorkerID // the worker reserved for a starved task, or ""
	preempted      []*task               // being stopped to make room for urgent ones
	waiters        waiters
	largest        []oleanderline.Size
	transfers
	callID      uint64
	refreshNext int       // index in jobOrder at which the next refresh begins
	cleanedAt   time.Time // when finished jobs were last looked for
	refreshedAt time.Time // when live records were last refreshed
	counters    Counters
}

// journalState is the writer of the stream and the rules by which all readers accept its groups.
type journalState struct {
	order  *journal.Order
	writer *journal.Writer
}

// Counters are totals since the process started.
type Counters struct {
	Starts, Done, Failed, Freed, Cancelled, Expired int
	Claims, Lost, Gaps, Rebuilt                     int
	Refused, Preempted, Throttled, Evicted          int
}

// New returns a core that has read nothing and owns no shard.
func New(cfg Config) *Core {
	cfg.Health.Disabled = cfg.Health.Disabled || cfg.Disabled.Quarantine
	c := &Core{cfg: cfg, rules: &rules.Set{}, quotas: quota.NewBook(cfg.Shard), model: interference.NewModel()}
	c.writer = journal.NewWriter(cfg.Writer)
	c.waiters = newWaiters()
	c.workers = newWorkerTable()
	c.resetState(1)
	return c
}

// Step handles one event and returns the actions to carry out. The clock must be monotonic.
func (c *Core) Step(event Event, now time.Time) []Action {
	c.detectPause(now)
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
		c.recordTerms(e.Terms)
	case Offer:
		c.handleOffer(e)
	case Report:
		c.handleReport(e)
	case SendDone:
		c.sendDone(e)
	}
	c.advance(event)
	out := c.out
	c.out = nil
	return out
}

// advance does everything that is due. After the answer of a worker, that is only the next call to this worker; the rest
// waits for the next tick, because a pass over all workers for each answer would take most of the processor time.
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
		c.moveTasks()
		c.exchangeWithShards()
		c.refreshLiveRecords()
	}
	c.expireWaiters()
	c.dropFinishedJobs()
}

func (c *Core) emit(action Action) { c.out = append(c.out, action) }

func (c *Core) record(urgent bool, records ...journal.Record) {
	c.writer.Add(c.now, urgent, records...)
}

func (c *Core) appendDone(e AppendDone) {
	c.writer.HandleResult(e.Seq, e.Err, c.now)
	if e.Err == nil {
		c.readSoon = true
	}
}

// resetState drops all state that was read from the stream, to read it again from an offset on.
func (c *Core) resetState(from oleanderline.Offset) {
	c.order = journal.NewOrder(c.cfg.Disabled.Journal)
	c.order.SetStart(from)
	c.jobs = map[oleanderline.JobID]*job{}
	c.jobOrder = nil
	c.classes = queue.NewClasses()
	c.health = health.New(c.cfg.Health)
	c.health.SetSize(c.workers.listed())
	c.queue = c.newQueue()
	c.transfers = transfers{rooms: c.rooms, terms: c.terms, lastMessageID: c.lastMessageID}
	c.workers.dropTasks()
	c.stream = stream{next: from, nextReadAt: c.nextReadAt, reading: c.reading}
}

// findTask returns an unfinished task, or nil.
func (c *Core) findTask(id oleanderline.TaskID) *task {
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
