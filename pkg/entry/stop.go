package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// handoverBatch bounds the records in one message.
const handoverBatch = 256

// notReady returns why this entry should get no requests from a balancer, or "".
func (d *Daemon) notReady() string {
	switch {
	case d.draining.Load():
		return "stopping"
	case !d.poller.hasRead():
		return "VM list not read yet"
	case !d.members.hasJoined():
		return "not joined the other entries yet"
	default:
		return ""
	}
}

// Stop ends the daemon without interrupting a request in flight: readiness fails, requests are served for the drain
// delay, then new ones are refused as not run, and those in flight are finished. It returns an error if ctx ends first;
// requests in flight are broken off then.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.members.change(func(self *member.Member, _ *bool) { self.Draining = true })
	d.membership.hurry()
	d.pause(ctx, d.settings.DrainDelay)
	d.exchanger.refusing.Store(true)
	d.members.change(func(_ *member.Member, refusing *bool) { *refusing = true })
	d.membership.hurry()
	err := d.callerServer.Shutdown(ctx)
	if err != nil {
		_ = d.callerServer.Close()
		err = fmt.Errorf("requests in flight were broken off: %w", err)
	}
	d.settler.close()
	return errors.Join(err, d.handOver(), d.shutdown())
}

func (d *Daemon) pause(ctx context.Context, delay time.Duration) {
	timer := d.common.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// handOver sends the idempotency keys to their new homes and tells the peers that this entry has left. If that fails, the
// peers treat it like a crash.
func (d *Daemon) handOver() error {
	now := d.common.Clock.Now()
	addresses := d.members.addresses(now)
	if len(addresses) == 0 {
		return nil
	}
	byHome := map[oleanderline.VMID][]idempotency.Record{}
	for _, record := range d.home.seal() {
		// The record may be the backup's copy, so both get it.
		plan := d.members.plan(record.Key, now)
		for _, id := range []oleanderline.VMID{plan.home, plan.backup} {
			if id != "" && id != d.home.self.ID {
				byHome[id] = append(byHome[id], record)
			}
		}
	}
	for home, records := range byHome {
		if err := d.sendRecords(home, records); err != nil {
			d.common.Event(common.EventLeaveFailed).WithError(err).Warn("keys could not be handed over")
			return nil
		}
	}
	d.sayLeft(addresses)
	return nil
}

func (d *Daemon) sendRecords(home oleanderline.VMID, records []idempotency.Record) error {
	for len(records) > 0 {
		n := min(handoverBatch, len(records))
		args := AdoptArgs{Records: records[:n]}
		if err := d.peers.call(context.Background(), home, "Adopt", args, &struct{}{}); err != nil {
			return fmt.Errorf("hand %d keys to %s: %w", n, home, err)
		}
		records = records[n:]
	}
	return nil
}

func (d *Daemon) sayLeft(addresses map[oleanderline.VMID]string) {
	heartbeat := d.membership.heartbeat()
	heartbeat.Left = true
	var calls sync.WaitGroup
	for id := range addresses {
		calls.Go(func() {
			var reply Heartbeat
			_ = d.peers.call(context.Background(), id, "Heartbeat", heartbeat, &reply)
		})
	}
	calls.Wait()
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.shutdown()
}

func (d *Daemon) shutdown() error {
	var err error
	d.once.Do(func() { err = d.shutdownOnce() })
	return err
}

func (d *Daemon) shutdownOnce() error {
	d.dispatcher.update(func(core *dispatch.Core, _ time.Time, actions []dispatch.Action) []dispatch.Action {
		core.Stop()
		return actions
	})
	d.cancel()
	d.settler.close()
	err := errors.Join(d.peerServer.Close(), d.operatorServer.Close())
	d.background.Wait()
	d.prober.close()
	d.minions.close()
	d.peers.close()
	d.common.Event(common.EventStopped).Info("stopped")
	return err
}
