package shard_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/health"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

const (
	simShards     = 2
	simProcesses  = 3
	simWorkers    = 4
	streamFormat  = "shard-%d"
	callerTimeout = 2 * time.Second
	lateCall      = 4 * time.Second // latest effect of a call after its sender has timed out; below the margin
	lateAppend    = 40 * time.Second
	// heartbeatTimeout is that of the daemon: four missed heartbeats of 500 ms.
	heartbeatTimeout = 2 * time.Second
)

var workerSize = oleanderline.Size{CPU: 4000, Memory: 8000}

func simLimits() shard.Limits {
	limits := shard.DefaultLimits()
	limits.Lease, limits.Horizon = 9*time.Second, 40*time.Second
	limits.Retention, limits.JobRetention, limits.AnswerTimeout = 8*time.Minute, 15*time.Second, 5*time.Second
	if shortRetention {
		limits.Retention = 4 * time.Minute
	}
	return limits
}

// shortRetention halves the retention of the schedules, see KNOWN-RED.txt.
var shortRetention = os.Getenv("OLEANDER_SHORT_RETENTION") != ""

// simulation runs several processes, with a core for each shard, against stand-ins on a virtual clock. All random choices
// follow from one seed.
type simulation struct {
	seed            uint64
	rng             *rand.Rand
	clock           *common.VirtualClock
	log             *standin.Log // its entries are empty and their content is in groups, which saves most of the time of a schedule
	groups          [simShards]map[oleanderline.Offset]journal.Group
	vms             *standin.VMs
	processes       []*process
	workers         map[oleanderline.WorkerID]*host
	hosts           []*host // all hosts, including replaced ones with the runs there
	disabled        shard.Disabled
	guardDisabled   interference.Disabled
	forgetStops     bool // workers do not remember stops of unknown attempts
	acts            []scheduledAct
	faultFree       bool // inject no new faults
	checker         *checker
	replay          func(format string, args ...any) // logs the schedule if not nil
	logDownTo       time.Time
	lastToken       shard.Token
	transferReplies map[shard.Token]func(shard.Verdict)
	moves           int       // messages between shards
	lastNewKeyAt    time.Time // when the newest key was first used
	drains          map[oleanderline.WorkerID]string
	outages         map[oleanderline.WorkerID][]outage
}

// outage is a time in which some process could not reach a worker.
type outage struct {
	begin, end time.Time
	lost       bool // the worker lost its state
}

// scheduledAct is a function that is called later.
type scheduledAct struct {
	at          time.Time
	to          *process // nil for an effect outside the processes
	incarnation int      // incarnation of the process; the act is dropped if that or the host has ended
	host        *host
	act         func()
}

type process struct {
	id          oleanderline.VMID
	domain      oleanderline.DomainID
	incarnation int
	alive       bool
	killedAt    time.Time
	returnAt    time.Time
	pausedTo    time.Time
	logCutTo    time.Time
	ignored     map[oleanderline.VMID]bool // live members that it regards as failed
	ignoredTo   time.Time
	cutFrom     map[oleanderline.WorkerID]time.Time // until when it cannot reach each worker
	lastAnswer  map[oleanderline.WorkerID]time.Time // when each worker last answered it in time
	answered    map[oleanderline.WorkerID]uint64    // id of the newest completed call to each worker
	cores       []*shard.Core
	deferred    []func() // actions to execute after a pause
	nextUpdate  time.Time
}

// host is one incarnation of a worker VM.
type host struct {
	*standin.Worker

	vm       oleanderline.VM
	dead     bool
	returnAt time.Time
	frozenTo time.Time
	waiting  []func() // requests that arrived while it was frozen
}

func newSimulation(seed uint64, disabled shard.Disabled, forgetStops bool) *simulation {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	s := &simulation{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), clock: common.NewVirtualClock(start), disabled: disabled, forgetStops: forgetStops,
		workers: map[oleanderline.WorkerID]*host{}, drains: map[oleanderline.WorkerID]string{},
		outages:   map[oleanderline.WorkerID][]outage{},
		lastToken: 1 << 32, transferReplies: map[shard.Token]func(shard.Verdict){},
	}
	s.log = standin.NewLog(s.clock, standin.WithKeepAge(simLimits().Retention))
	s.vms = standin.NewVMs(s.clock, 2*time.Second)
	s.checker = newChecker(s)
	for i := range s.groups {
		s.groups[i] = map[oleanderline.Offset]journal.Group{}
	}
	for i := range simWorkers {
		s.boot(oleanderline.VM{
			ID: oleanderline.VMID(fmt.Sprintf("w-%d", i)), Role: oleanderline.RoleWorker, Size: workerSize, Domain: "d-0",
			Address: fmt.Sprintf("10.0.0.%d:1", i), Rack: oleanderline.RackID(fmt.Sprintf("rack-%d", i)),
		})
	}
	for i := range simProcesses {
		p := &process{
			id: oleanderline.VMID(fmt.Sprintf("own-%d", i)), domain: oleanderline.DomainID(fmt.Sprintf("d-%d", i%2)),
			cutFrom: map[oleanderline.WorkerID]time.Time{},
		}
		s.processes = append(s.processes, p)
		s.launch(p)
	}
	return s
}

// logf logs one line of a replay.
func (s *simulation) logf(format string, args ...any) {
	if s.replay != nil {
		s.replay("%s "+format, append([]any{s.clock.Now().Format("04:05.000")}, args...)...)
	}
}

func (s *simulation) boot(vm oleanderline.VM) {
	h := &host{Worker: standin.NewWorker(oleanderline.WorkerID(vm.ID), vm.Size, s.clock), vm: vm}
	s.workers[oleanderline.WorkerID(vm.ID)] = h
	s.hosts = append(s.hosts, h)
	s.vms.Add(vm)
}

func (s *simulation) launch(p *process) {
	p.lastAnswer, p.answered = map[oleanderline.WorkerID]time.Time{}, map[oleanderline.WorkerID]uint64{}
	p.incarnation++
	p.alive, p.cores, p.deferred, p.nextUpdate = true, nil, nil, s.clock.Now().Add(s.upTo(time.Second))
	for id := range simShards {
		p.cores = append(p.cores, shard.New(shard.Config{
			Self: p.id, Address: string(p.id), Writer: oleanderline.WriterID(fmt.Sprintf("%s/%d", p.id, p.incarnation)),
			Shard: oleanderline.ShardID(id), Chooser: placement.BestFit{}, Limits: simLimits(), Queue: queue.DefaultSettings(), Health: health.DefaultSettings(), Guard: s.guardSettings(), Disabled: s.disabled,
		}))
	}
}

func (s *simulation) guardSettings() interference.Settings {
	settings := interference.DefaultSettings()
	settings.Disabled = s.guardDisabled
	return settings
}

// step advances the clock, runs what is due and passes a tick to every core.
func (s *simulation) step(d time.Duration) {
	before := s.clock.Now()
	s.clock.Advance(d)
	now := s.clock.Now()
	s.recordOutages(before, now)
	s.endDue(now)
	s.runDue(now)
	for _, p := range s.processes {
		if !s.isRunning(p) {
			continue
		}
		s.updateViews(p, now)
		for id := range p.cores {
			s.feed(p, id, shard.Tick{})
		}
	}
}

// endDue ends the pauses, freezes and restarts that are due.
func (s *simulation) endDue(now time.Time) {
	for _, p := range s.processes {
		switch {
		case !p.alive && !now.Before(p.returnAt):
			s.launch(p)
		case p.alive && len(p.deferred) > 0 && !now.Before(p.pausedTo):
			deferred := p.deferred
			p.deferred = nil
			for _, act := range deferred {
				act()
			}
		}
	}
	for _, h := range s.hosts {
		if !h.frozenTo.IsZero() && !now.Before(h.frozenTo) {
			s.unfreeze(h)
		}
		if h.dead && !h.returnAt.IsZero() && !now.Before(h.returnAt) {
			h.returnAt = time.Time{}
			s.boot(h.vm)
		}
	}
}

func (s *simulation) unfreeze(h *host) {
	h.frozenTo = time.Time{}
	h.SetPaused(false)
	waiting := h.waiting
	h.waiting = nil
	for _, act := range waiting {
		act()
	}
}

// recordOutages extends or begins the outage of each worker that some process cannot reach now.
func (s *simulation) recordOutages(before, now time.Time) {
	for id, h := range s.workers {
		cut := slices.ContainsFunc(s.processes, func(p *process) bool { return now.Before(p.cutFrom[id]) })
		if !h.dead && h.frozenTo.IsZero() && !cut {
			continue
		}
		outages := s.outages[id]
		if n := len(outages); n > 0 && outages[n-1].end.Equal(before) && outages[n-1].lost == h.dead {
			outages[n-1].end = now
			continue
		}
		s.outages[id] = append(outages, outage{begin: before, end: now, lost: h.dead})
	}
}

// recordCall records an outage if a process gets no answer from a worker. An answer after the caller's timeout counts as
// none: in seed 520 an owner calls a worker for 16 s, each answer comes too late, and the owner frees the attempt.
func (s *simulation) recordCall(p *process, done shard.CallDone) {
	if !done.Sent || done.ID <= p.answered[done.Worker] {
		return
	}
	p.answered[done.Worker] = done.ID
	now := s.clock.Now()
	_, known := p.lastAnswer[done.Worker]
	if !known || done.Err == nil || errors.Is(done.Err, oleanderline.ErrFenced) {
		p.lastAnswer[done.Worker] = now
		return
	}
	s.outages[done.Worker] = append(s.outages[done.Worker], outage{begin: p.lastAnswer[done.Worker], end: now})
}

// outOfReach reports whether a worker was lost, or out of reach for at least the lease duration, between two times.
func (s *simulation) outOfReach(id oleanderline.WorkerID, from, to time.Time) bool {
	return slices.ContainsFunc(s.outages[id], func(o outage) bool {
		long := o.end.Sub(o.begin) >= simLimits().Lease
		return o.begin.Before(to) && o.end.After(from) && (o.lost || long)
	})
}

func (s *simulation) isRunning(p *process) bool { return p.alive && !s.clock.Now().Before(p.pausedTo) }

// runDue runs the acts that are due, in order. Acts that these schedule run in a later step.
func (s *simulation) runDue(now time.Time) {
	var due, rest []scheduledAct
	for _, next := range s.acts {
		if next.at.After(now) {
			rest = append(rest, next)
		} else {
			due = append(due, next)
		}
	}
	s.acts = rest
	slices.SortStableFunc(due, func(a, b scheduledAct) int { return a.at.Compare(b.at) })
	for _, next := range due {
		switch {
		case next.to != nil && next.to.incarnation != next.incarnation, next.to != nil && !next.to.alive, next.host != nil && next.host.dead:
		case next.to != nil && now.Before(next.to.pausedTo):
			s.acts = append(s.acts, next)
		default:
			next.act()
		}
	}
}

func (s *simulation) schedule(next scheduledAct, after time.Duration) {
	next.at = s.clock.Now().Add(after)
	if next.to != nil {
		next.incarnation = next.to.incarnation
	}
	s.acts = append(s.acts, next)
}

// updateViews passes the process its views of members and VMs, which may be wrong or stale.
func (s *simulation) updateViews(p *process, now time.Time) {
	if now.Before(p.nextUpdate) {
		return
	}
	p.nextUpdate = now.Add(2 * time.Second)
	var alive []oleanderline.VMID
	for _, other := range s.processes {
		if other == p || (s.seemsAlive(other) && (now.After(p.ignoredTo) || !p.ignored[other.id])) {
			alive = append(alive, other.id)
		}
	}
	rooms := s.rooms()
	vms, err := s.vms.List(context.Background())
	for id := range p.cores {
		ranked := member.Rank("shard/"+strconv.Itoa(id), alive)
		var members shard.Members
		for _, vm := range ranked {
			i := slices.IndexFunc(s.processes, func(other *process) bool { return other.id == vm })
			members.Ranked = append(members.Ranked, shard.Candidate{ID: vm, Domain: s.processes[i].domain})
		}
		s.feed(p, id, members)
		s.feed(p, id, shard.Drains{Workers: s.drains})
		s.feed(p, id, shard.Rooms{ByShard: rooms, Terms: p.terms()})
		if err == nil {
			s.feed(p, id, shard.VMs{Workers: workersOf(vms, id), RequestedAt: now, Largest: []oleanderline.Size{workerSize}})
		}
	}
}

// terms returns the newest terms that the process has read.
func (p *process) terms() map[oleanderline.ShardID]oleanderline.Term {
	terms := map[oleanderline.ShardID]oleanderline.Term{}
	for id, core := range p.cores {
		terms[oleanderline.ShardID(id)] = core.NewestTerm()
	}
	return terms
}

// rooms returns the room of each shard that has a running owner.
func (s *simulation) rooms() map[oleanderline.ShardID]shard.Room {
	rooms := map[oleanderline.ShardID]shard.Room{}
	for _, p := range s.processes {
		for id := range p.cores {
			if room, ok := p.cores[id].Room(); ok && s.isRunning(p) {
				rooms[oleanderline.ShardID(id)] = room
			}
		}
	}
	return rooms
}

// seemsAlive reports whether a process runs, or failed so recently that its peers have not missed enough heartbeats yet.
func (s *simulation) seemsAlive(p *process) bool {
	return s.isRunning(p) || (!p.alive && s.clock.Now().Before(p.killedAt.Add(heartbeatTimeout)))
}

// kill ends a process immediately.
func (s *simulation) kill(p *process, returnAt time.Time) {
	p.alive, p.killedAt, p.returnAt = false, s.clock.Now(), returnAt
}

func workersOf(vms []oleanderline.VM, id int) []oleanderline.VM {
	var own []oleanderline.VM
	for _, vm := range vms {
		if shard.ForWorker(vm, simShards) == oleanderline.ShardID(id) {
			own = append(own, vm)
		}
	}
	return own
}

// feed passes an event to a core and executes its actions, at once or after a pause that begins here.
func (s *simulation) feed(p *process, id int, event shard.Event) {
	if done, ok := event.(shard.CallDone); ok {
		s.recordCall(p, done)
	}
	actions := p.cores[id].Step(event, s.clock.Now())
	if len(actions) > 0 && !s.faultFree && s.rng.IntN(2000) == 0 {
		p.pausedTo = s.clock.Now().Add(s.upTo(70 * time.Second))
	}
	act := func() {
		for _, action := range actions {
			s.execute(p, id, action)
		}
	}
	if !s.isRunning(p) {
		p.deferred = append(p.deferred, act)
		return
	}
	act()
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d))) + 1
}

func (s *simulation) execute(p *process, id int, action shard.Action) {
	switch a := action.(type) {
	case shard.Append:
		s.append(p, id, a)
	case shard.Read:
		s.read(p, id, a)
	case shard.Call:
		s.call(p, id, a)
	case shard.SendOffer:
		s.sendToOwner(p, id, int(a.To), a.ID, func(token shard.Token) shard.Event {
			return shard.Offer{Token: token, From: a.From, Term: a.Term, Tasks: a.Tasks}
		})
	case shard.SendReport:
		s.sendToOwner(p, id, int(a.To), a.ID, func(token shard.Token) shard.Event { return shard.Report{Token: token, Ends: a.Ends} })
	case shard.Answer:
		if reply := s.transferReplies[a.Token]; reply != nil {
			reply(a.Verdict)
			return
		}
		s.checker.answered(a)
	}
}

func (s *simulation) reply(p *process, id int, after time.Duration, event shard.Event) {
	s.schedule(scheduledAct{to: p, act: func() { s.feed(p, id, event) }}, after)
}

// requestOutcome is the simulated outcome of one request.
type requestOutcome int

const (
	outcomeNormal requestOutcome = iota
	outcomeRefused
	outcomeLost            // no effect, no answer
	outcomeAnswerLost      // effect, no answer
	outcomeLate            // no answer, effect later
	outcomeTwice           // effect and answer, and the effect again later
	outcomeTwiceAnswerLost // effect, no answer, and the effect again later
)

func (s *simulation) drawOutcome() requestOutcome {
	if s.faultFree || s.rng.IntN(10) > 0 {
		return outcomeNormal
	}
	return requestOutcome(1 + s.rng.IntN(6))
}

// request simulates an operation with the given outcome: effect runs at the other side, and answer receives the delay and the
// error of the result.
func (s *simulation) request(h *host, outcome requestOutcome, effect func(), answer func(after time.Duration, err error)) {
	delay := s.upTo(50 * time.Millisecond)
	late := callerTimeout + s.upTo(lateCall-callerTimeout)
	if h == nil {
		late = callerTimeout + s.upTo(lateAppend)
	}
	run := func(after time.Duration) {
		s.schedule(scheduledAct{host: h, act: func() { s.arrive(h, effect) }}, after)
	}
	uncertain := func() { answer(callerTimeout, oleanderline.ErrUncertain) }
	switch outcome {
	case outcomeRefused:
		answer(delay, oleanderline.ErrUnavailable)
	case outcomeLost:
		uncertain()
	case outcomeAnswerLost:
		run(delay)
		uncertain()
	case outcomeLate:
		run(late)
		uncertain()
	case outcomeTwiceAnswerLost:
		run(delay)
		run(late)
		uncertain()
	case outcomeTwice:
		run(late)
		fallthrough
	default:
		s.schedule(scheduledAct{host: h, act: func() { s.arrive(h, func() { effect(); answer(delay, nil) }) }}, delay)
		if h != nil {
			answer(callerTimeout, errTimeout)
		}
	}
}

// errTimeout is the result of a call that was not answered in time. The core ignores it if an answer came before.
var errTimeout = fmt.Errorf("timeout: %w", oleanderline.ErrUncertain)

// arrive runs the effect of a request, or keeps it until the worker's VM is no longer frozen.
func (s *simulation) arrive(h *host, effect func()) {
	if h != nil && !h.frozenTo.IsZero() {
		h.waiting = append(h.waiting, effect)
		return
	}
	effect()
}

func (s *simulation) drawLogOutcome(p *process) requestOutcome {
	now := s.clock.Now()
	if now.Before(s.logDownTo) || now.Before(p.logCutTo) {
		return outcomeRefused
	}
	return s.drawOutcome()
}

func stream(id int) oleanderline.Stream { return oleanderline.Stream(fmt.Sprintf(streamFormat, id)) }

func (s *simulation) append(p *process, id int, a shard.Append) {
	var offset oleanderline.Offset
	effect := func() {
		offset, _ = s.log.Append(context.Background(), stream(id), nil)
		s.groups[id][offset] = a.Group
		s.checker.appended(id, offset, a.Group)
		if s.replay != nil {
			data, _ := a.Group.Encode()
			s.logf("%s appended to %d at %d: %s", p.id, id, offset, data)
		}
	}
	s.request(nil, s.drawLogOutcome(p), effect, func(after time.Duration, err error) {
		s.schedule(scheduledAct{to: p, act: func() {
			s.feed(p, id, shard.AppendDone{Seq: a.Group.Seq, Offset: offset, Err: err})
		}}, after)
	})
}

func (s *simulation) read(p *process, id int, r shard.Read) {
	sentAt := s.clock.Now()
	outcome := s.drawLogOutcome(p)
	if outcome != outcomeNormal && outcome != outcomeTwice {
		s.reply(p, id, callerTimeout, shard.ReadDone{SentAt: sentAt, From: r.From, Err: oleanderline.ErrUnavailable})
		return
	}
	batch, _ := s.log.Read(context.Background(), stream(id), r.From, r.Limit)
	done := shard.ReadDone{SentAt: sentAt, From: r.From, Oldest: batch.Oldest, Next: batch.Next}
	for _, entry := range batch.Entries {
		group := s.groups[id][entry.Offset]
		done.Groups = append(done.Groups, shard.LocatedGroup{Offset: entry.Offset, Time: entry.Time, Group: group})
	}
	s.reply(p, id, s.upTo(100*time.Millisecond), done)
}

// sendToOwner sends a message to the owner of another shard. If a message arrives twice, only the first answer counts.
func (s *simulation) sendToOwner(p *process, id, to int, messageID uint64, event func(shard.Token) shard.Event) {
	s.lastToken++
	token := s.lastToken
	outcome := s.drawOutcome()
	answered := false
	done := func(accepted bool) {
		if !answered {
			answered = true
			s.reply(p, id, s.upTo(50*time.Millisecond), shard.SendDone{ID: messageID, Accepted: accepted})
		}
	}
	effect := func() {
		for _, target := range s.processes {
			if s.isRunning(target) && target.cores[to].Owning() {
				s.moves++
				s.logf("%s %d sends %d to %s %d: %+v", p.id, id, messageID, target.id, to, event(token))
				s.feed(target, to, event(token))
				return
			}
		}
	}
	if outcome != outcomeRefused && outcome != outcomeLost && outcome != outcomeLate {
		s.schedule(scheduledAct{act: effect}, s.upTo(50*time.Millisecond))
	}
	if outcome == outcomeLate || outcome == outcomeTwice || outcome == outcomeTwiceAnswerLost {
		s.schedule(scheduledAct{act: effect}, callerTimeout+s.upTo(lateCall-callerTimeout))
	}
	if outcome == outcomeNormal || outcome == outcomeTwice {
		s.transferReplies[token] = func(verdict shard.Verdict) { done(verdict == shard.Accepted) }
	}
	s.schedule(scheduledAct{act: func() { done(false) }}, callerTimeout)
}

func (s *simulation) call(p *process, id int, call shard.Call) {
	now := s.clock.Now()
	done := shard.CallDone{Worker: call.Worker, ID: call.ID}
	if call.Kind == shard.CallStart {
		s.checker.checkStart(id, call.Start)
	}
	if now.After(call.Before) {
		s.reply(p, id, 0, done)
		return
	}
	done.Sent = true
	h := s.workers[call.Worker]
	outcome := s.drawOutcome()
	s.logf("%s calls %s: kind %d, outcome %d, frozen %t, %+v %+v", p.id, call.Worker, call.Kind, outcome, !h.frozenTo.IsZero(), call.Start, call.Stop)
	if now.Before(p.cutFrom[call.Worker]) || h.dead {
		outcome = outcomeRefused
	}
	effect := func() { s.executeCall(h, id, call, &done) }
	s.request(h, outcome, effect, func(after time.Duration, err error) {
		// Without an error, the effect has run before this call.
		copied := done
		if err != nil {
			copied.Err = err
		}
		s.reply(p, id, after, copied)
	})
}

func (s *simulation) executeCall(h *host, id int, call shard.Call, done *shard.CallDone) {
	ctx := context.Background()
	defer func() { s.logf("%s answers kind %d: %+v", call.Worker, call.Kind, *done) }()
	switch call.Kind {
	case shard.CallStart:
		done.Err = h.Start(ctx, call.Start)
	case shard.CallRenew:
		done.Inventory, done.Err = h.Renew(ctx, call.Renew)
	case shard.CallStop:
		if s.forgetStops && !s.hasAttempt(h, id, call.Stop) {
			done.Stop = oleanderline.StopResult{Stopped: true}
			return
		}
		done.Stop, done.Err = h.Stop(ctx, call.Stop)
	case shard.CallInventory:
		done.Inventory, done.Err = h.Inventory(ctx, oleanderline.ShardID(id))
	case shard.CallUsage:
		done.Usage, done.Err = h.Usage(ctx)
	case shard.CallThrottle:
		done.Err = h.Throttle(ctx, call.Throttle)
	}
}

// hasAttempt reports whether the worker knows an attempt, or cannot answer.
func (s *simulation) hasAttempt(h *host, id int, stop oleanderline.StopRequest) bool {
	inventory, err := h.Inventory(context.Background(), oleanderline.ShardID(id))
	key := oleanderline.AttemptKey{Task: stop.Task, Attempt: stop.Attempt}
	return errors.Is(err, oleanderline.ErrUnavailable) ||
		slices.ContainsFunc(inventory.Leases, func(l oleanderline.Lease) bool { return l.AttemptKey == key }) ||
		slices.ContainsFunc(inventory.Outcomes, func(o oleanderline.Outcome) bool { return o.AttemptKey == key })
}
