package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// sweepInterval is the time between two removals of idle connections and expired keys.
const sweepInterval = 5 * time.Second

// probeMinion queues a probe of an ejected minion and reports the result to the core.
func (d *Daemon) probeMinion(id oleanderline.MinionID) {
	d.prober.enqueue(id, func(ok bool) {
		d.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
			return core.HandleProbeResult(id, ok, now, actions)
		})
	})
}

func (d *Daemon) followRules(ctx context.Context) { _ = d.follower.Run(ctx) }

func (d *Daemon) setRules(set *rules.Set) {
	d.classifier.setRules(set)
	d.counter.SetRules(set)
	d.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		core.SetRules(set, now)
		return actions
	})
}

// queryPeerRules returns the current rules of all alive peers that answer.
func (d *Daemon) queryPeerRules(ctx context.Context) []rules.Snapshot {
	var mu sync.Mutex
	var found []rules.Snapshot
	var calls sync.WaitGroup
	for id := range d.members.peerAddresses(d.common.Clock.Now()) {
		calls.Go(func() {
			var reply RulesReply
			if err := d.peers.call(ctx, id, "Rules", struct{}{}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, reply.Snapshot)
		})
	}
	calls.Wait()
	return found
}

// sweep periodically closes idle connections, removes expired keys, and probes the minions that reported that they are
// leaving, to learn whether they still are.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		timer := d.common.Clock.NewTimer(sweepInterval)
		select {
		case <-ctx.Done():
		case <-timer.C():
			d.minions.sweep()
			d.keys.sweep(d.common.Clock.Now())
			for _, id := range d.minions.reportedLeavingIDs() {
				d.prober.enqueue(id, func(bool) {})
			}
		}
		timer.Stop()
	}
}
