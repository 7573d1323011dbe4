package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// sweepInterval is how often idle connections and old keys are looked for.
const sweepInterval = 5 * time.Second

// probe carries out the core's decision to probe an ejected minion.
func (d *Daemon) probe(id oleanderline.MinionID) {
	d.prober.ask(id, func(ok bool) {
		d.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
			return core.ProbeResult(id, ok, now, actions)
		})
	})
}

func (d *Daemon) follow(ctx context.Context) { _ = d.follower.Run(ctx) }

func (d *Daemon) setRules(set *rules.Set) {
	d.classifier.set(set)
	d.counter.SetRules(set)
	d.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		core.SetRules(set, now)
		return actions
	})
}

// askRules asks all alive peers for the rules that they have in force.
func (d *Daemon) askRules(ctx context.Context) []rules.Snapshot {
	var mu sync.Mutex
	var found []rules.Snapshot
	var calls sync.WaitGroup
	for id := range d.members.addresses(d.common.Clock.Now()) {
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

// sweep closes idle connections, forgets old keys, and asks minions that have said that they leave whether they still do.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		timer := d.common.Clock.NewTimer(sweepInterval)
		select {
		case <-ctx.Done():
		case <-timer.C():
			d.minions.sweep()
			d.home.sweep(d.common.Clock.Now())
			for _, id := range d.minions.saidLeaving() {
				d.prober.ask(id, func(bool) {})
			}
		}
		timer.Stop()
	}
}
