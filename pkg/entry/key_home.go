package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// keyHome keeps the idempotency keys of this process: those of which it is the home, and those of the requests that it
// sends itself.
type keyHome struct {
	common   *common.Common
	self     idempotency.Executor
	members  *members
	peers    *peers
	switches switches
	refused  *metrics.Counter

	mu      sync.Mutex
	table   *idempotency.Table
	waiters map[string]chan struct{}
	closed  bool // the records were handed over
}

func newKeyHome(c *common.Common, self idempotency.Executor, s idempotency.Settings, m *members, p *peers) *keyHome {
	k := &keyHome{
		common:  c,
		self:    self,
		members: m,
		peers:   p,
		refused: c.Metrics.NewCounter("oleander_entry_keys_refused_total"), // keyed requests refused because no more keys can be kept
		table:   idempotency.NewTable(s),
		waiters: map[string]chan struct{}{},
	}
	c.Metrics.NewGauge("oleander_entry_keys", func() float64 { n, _ := k.size(); return float64(n) })       // idempotency keys kept
	c.Metrics.NewGauge("oleander_entry_keys_bytes", func() float64 { _, n := k.size(); return float64(n) }) // memory of the kept keys and answers
	return k
}

func (k *keyHome) size() (records int, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len(), k.table.Bytes()
}

// join decides about one attempt, and holds back "wait" for a while.
func (k *keyHome) join(ctx context.Context, args JoinArgs) JoinReply {
	reply, ended := k.decide(ctx, args)
	if joinVerdict(reply.Verdict) != joinWait || args.Wait <= 0 || ended == nil {
		return reply
	}
	timer := k.common.Clock.NewTimer(args.Wait)
	defer timer.Stop()
	select {
	case <-ended:
		reply, _ = k.decide(ctx, args)
	case <-timer.C():
	case <-ctx.Done():
	}
	return reply
}

// decide returns the reply and, with joinWait, a channel that is closed when the other attempt ends.
func (k *keyHome) decide(ctx context.Context, args JoinArgs) (JoinReply, <-chan struct{}) {
	now := k.common.Clock.Now()
	if args.Consent {
		return k.begin(args, nil)
	}
	if !k.members.keysReady(now) {
		return verdictOnly(joinAway), nil
	}
	plan := k.members.plan(args.Key, now)
	if plan.home != k.self.ID {
		return verdictOnly(joinNotTheHome), nil
	}
	if !k.has(args.Key) {
		if plan.homeLost && !k.switches.noLossCheck {
			return k.search(ctx, args), nil
		}
		for _, earlier := range plan.earlier {
			if reply, decided := k.consent(ctx, earlier, args); decided {
				return reply, nil
			}
		}
	}
	return k.begin(args, plan.earlier)
}

func verdictOnly(v joinVerdict) JoinReply { return JoinReply{Verdict: int(v)} }

func (k *keyHome) has(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Get(key, k.common.Clock.Now()) != nil
}

// begin decides by the table of this process alone.
func (k *keyHome) begin(args JoinArgs, earlier []oleanderline.VMID) (JoinReply, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return verdictOnly(joinAway), nil
	}
	now := k.common.Clock.Now()
	verdict, record := k.table.Begin(idempotency.Record{
		Key:      args.Key,
		Print:    args.Print,
		Executor: args.Executor,
		Token:    args.Token,
		Until:    now.Add(args.For),
	}, now)
	switch verdict {
	case idempotency.VerdictRun:
		return JoinReply{Verdict: int(joinRun), Holders: append([]oleanderline.VMID{k.self.ID}, earlier...)}, nil
	case idempotency.VerdictWait:
		return verdictOnly(joinWait), k.waiterLocked(args.Key)
	case idempotency.VerdictEnded:
		return JoinReply{Verdict: int(joinEnded), Record: *record}, nil
	case idempotency.VerdictMismatch:
		return verdictOnly(joinMismatch), nil
	default:
		k.refused.Inc()
		return verdictOnly(joinFull), nil
	}
}

func (k *keyHome) waiterLocked(key string) <-chan struct{} {
	waiter, ok := k.waiters[key]
	if !ok {
		waiter = make(chan struct{})
		k.waiters[key] = waiter
	}
	return waiter
}

// consent asks an earlier home that is alive. It returns decided unless the earlier home lets the attempt run.
func (k *keyHome) consent(ctx context.Context, earlier oleanderline.VMID, args JoinArgs) (JoinReply, bool) {
	args.Consent, args.Wait = true, 0
	var reply JoinReply
	if err := k.peers.call(ctx, earlier, "Join", args, &reply); err != nil {
		return verdictOnly(joinAway), true
	}
	if joinVerdict(reply.Verdict) == joinEnded {
		k.adopt([]idempotency.Record{reply.Record})
	}
	return reply, joinVerdict(reply.Verdict) != joinRun
}

// search asks all alive members for the record of a key whose home has died. Without one the request must not run.
func (k *keyHome) search(ctx context.Context, args JoinArgs) JoinReply {
	for id := range k.members.addresses(k.common.Clock.Now()) {
		var reply HeldReply
		if err := k.peers.call(ctx, id, "Held", HeldArgs{Key: args.Key}, &reply); err != nil || !reply.Found {
			continue
		}
		switch {
		case reply.Record.Print != args.Print:
			return verdictOnly(joinMismatch)
		case reply.Record.State == idempotency.StateRunning:
			return verdictOnly(joinWait)
		}
		k.adopt([]idempotency.Record{reply.Record})
		return JoinReply{Verdict: int(joinEnded), Record: reply.Record}
	}
	return verdictOnly(joinHomeLost)
}

// held returns this process's record of a key.
func (k *keyHome) held(key string) HeldReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	record := k.table.Get(key, k.common.Clock.Now())
	if record == nil {
		return HeldReply{}
	}
	return HeldReply{Found: true, Record: *record}
}

// settle records the result of an attempt and wakes those that wait for it.
func (k *keyHome) settle(args SettleArgs) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := args.Record
	if args.Release {
		k.table.Release(r.Key, r.Executor, r.Token)
	} else {
		k.table.Settle(r, k.common.Clock.Now())
	}
	k.wakeLocked(r.Key)
}

func (k *keyHome) wakeLocked(key string) {
	if waiter, ok := k.waiters[key]; ok {
		close(waiter)
		delete(k.waiters, key)
	}
}

func (k *keyHome) adopt(records []idempotency.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.common.Clock.Now()
	for _, record := range records {
		k.table.Adopt(record, now)
		k.wakeLocked(record.Key)
	}
}

// executorLost ends the running requests of an entry that has died.
func (k *keyHome) executorLost(executor idempotency.Executor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Lost(executor, k.common.Clock.Now())
	k.wakeAllLocked()
}

// sweep ends what is overdue.
func (k *keyHome) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Sweep(now)
	k.wakeAllLocked()
}

// wakeAllLocked lets all that wait ask again; it follows rare events only.
func (k *keyHome) wakeAllLocked() {
	for key := range k.waiters {
		k.wakeLocked(key)
	}
}

// seal stops decisions and returns the records, to be handed over.
func (k *keyHome) seal() []idempotency.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.wakeAllLocked()
	return k.table.Records()
}
