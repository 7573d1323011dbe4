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

// keyStore stores idempotency keys and decides whether a request with a key may run. Each key has a home, the entry that
// rendezvous hashing selects to decide about it. This process stores the keys of which it is the home or a backup, and
// those of the requests that it sends itself.
type keyStore struct {
	common   *common.Common
	self     idempotency.Executor
	members  *members
	peers    *peers
	disabled disabledMechanisms
	refused  *metrics.Counter

	mu      sync.Mutex
	table   *idempotency.Table
	waiters map[string]chan struct{}
	sealed  bool // the records were exported for handover; no more decisions are made
}

func newKeyStore(c *common.Common, self idempotency.Executor, s idempotency.Settings, m *members, p *peers) *keyStore {
	k := &keyStore{
		common:  c,
		self:    self,
		members: m,
		peers:   p,
		refused: c.Metrics.NewCounter("oleander_entry_keys_refused_total"), // keyed requests refused because the key table is full
		table:   idempotency.NewTable(s),
		waiters: map[string]chan struct{}{},
	}
	c.Metrics.NewGauge("oleander_entry_keys", func() float64 { n, _ := k.size(); return float64(n) })       // idempotency keys stored
	c.Metrics.NewGauge("oleander_entry_keys_bytes", func() float64 { _, n := k.size(); return float64(n) }) // memory used by stored keys and answers
	return k
}

func (k *keyStore) size() (records int, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len(), k.table.Bytes()
}

// join decides about one attempt. If another attempt is running, it waits for its end, at most for args.Wait.
func (k *keyStore) join(ctx context.Context, args JoinArgs) JoinReply {
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
func (k *keyStore) decide(ctx context.Context, args JoinArgs) (JoinReply, <-chan struct{}) {
	now := k.common.Clock.Now()
	if args.Consent {
		return k.handleConsent(args, now)
	}
	if !k.members.keysReady(now) {
		return verdictOnly(joinUnavailable), nil
	}
	plan := k.members.keyPlan(args.Key, now)
	if plan.home != k.self.ID {
		return verdictOnly(joinNotHome), nil
	}
	if k.hasRecord(args.Key) {
		reply, ended := k.begin(args, nil)
		if joinVerdict(reply.Verdict) != joinRun {
			return reply, ended
		}
		// The record may have been stored here for another home, which did not get the consent of all holders.
	}
	return k.decideNewKey(ctx, args, plan)
}

func verdictOnly(v joinVerdict) JoinReply { return JoinReply{Verdict: int(v)} }

func (k *keyStore) hasRecord(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Get(key, k.common.Clock.Now()) != nil
}

// begin decides by the table of this process alone. otherHolders are the members that store the record already.
func (k *keyStore) begin(args JoinArgs, otherHolders []oleanderline.VMID) (JoinReply, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sealed {
		return verdictOnly(joinUnavailable), nil
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
		return JoinReply{Verdict: int(joinRun), Holders: append([]oleanderline.VMID{k.self.ID}, otherHolders...)}, nil
	case idempotency.VerdictWait:
		return verdictOnly(joinWait), k.waiterLocked(args.Key)
	case idempotency.VerdictEnded:
		return JoinReply{Verdict: int(joinEnded), Record: *record}, nil
	case idempotency.VerdictMismatch:
		return verdictOnly(joinMismatch), nil
	default:
		k.refused.Inc()
		return verdictOnly(joinTableFull), nil
	}
}

func (k *keyStore) waiterLocked(key string) <-chan struct{} {
	waiter, ok := k.waiters[key]
	if !ok {
		waiter = make(chan struct{})
		k.waiters[key] = waiter
	}
	return waiter
}

// searchPeers asks all alive peers for the record of a key whose home has failed. If none has it, the request must not
// run.
func (k *keyStore) searchPeers(ctx context.Context, args JoinArgs) JoinReply {
	for id := range k.members.peerAddresses(k.common.Clock.Now()) {
		var reply HeldReply
		if err := k.peers.call(ctx, id, "Held", HeldArgs{Key: args.Key}, &reply); err != nil || !reply.Found {
			continue
		}
		switch {
		case reply.Record.Executor == args.Executor && reply.Record.Token == args.Token:
			continue
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

// lookup returns this process's record of a key.
func (k *keyStore) lookup(key string) HeldReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	record := k.table.Get(key, k.common.Clock.Now())
	if record == nil {
		return HeldReply{}
	}
	return HeldReply{Found: true, Record: *record}
}

// settle records the result of an attempt and wakes the requests that wait for it.
func (k *keyStore) settle(args SettleArgs) {
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

func (k *keyStore) wakeLocked(key string) {
	if waiter, ok := k.waiters[key]; ok {
		close(waiter)
		delete(k.waiters, key)
	}
}

func (k *keyStore) adopt(records []idempotency.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.common.Clock.Now()
	for _, record := range records {
		k.table.Adopt(record, now)
		k.wakeLocked(record.Key)
	}
}

// handleExecutorLost ends the running requests of an entry that has failed.
func (k *keyStore) handleExecutorLost(executor idempotency.Executor) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.EndLost(executor, k.common.Clock.Now())
	// The failed entry may have been the backup of requests that are still running.
	k.members.recordUnbackedUntil(k.table.RunningUntil())
	k.wakeAllLocked()
}

// sweep ends the running requests whose result is overdue and removes expired keys.
func (k *keyStore) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Sweep(now)
	k.wakeAllLocked()
}

// wakeAllLocked wakes all waiting requests, which then ask again. It is only for rare events, because all of them ask at
// once.
func (k *keyStore) wakeAllLocked() {
	for key := range k.waiters {
		k.wakeLocked(key)
	}
}

// seal ends all decisions of this process and returns its records for handover.
func (k *keyStore) seal() []idempotency.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sealed = true
	k.wakeAllLocked()
	return k.table.Records()
}
