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

// handoverBatchSize limits the number of records in one message.
const handoverBatchSize = 256

// notReadyReason returns why a load balancer should send no requests to this entry, or "" if it is ready.
func (d *Daemon) notReadyReason() string {
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

// Stop shuts the daemon down without interrupting requests in flight. Readiness fails, requests are served for the drain
// delay, then new ones are refused as not run and those in flight are finished. If ctx ends first, Stop interrupts the
// requests in flight and returns an error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.members.updateSelf(func(self *member.Member, _ *bool) { self.Draining = true })
	d.membership.triggerRound()
	d.sleep(ctx, d.settings.DrainDelay)
	d.exchanger.refusing.Store(true)
	d.members.updateSelf(func(_ *member.Member, refusing *bool) { *refusing = true })
	d.membership.triggerRound()
	err := d.callerServer.Shutdown(ctx)
	if err != nil {
		_ = d.callerServer.Close()
		err = fmt.Errorf("requests in flight were interrupted: %w", err)
	}
	d.resultSender.close()
	return errors.Join(err, d.handOverKeys(), d.shutdown())
}

func (d *Daemon) sleep(ctx context.Context, delay time.Duration) {
	timer := d.common.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// handOverKeys sends the idempotency keys to their new homes and backups and tells the peers that this entry has left. If
// a send fails, the peers are not told and treat the stop like a crash.
func (d *Daemon) handOverKeys() error {
	now := d.common.Clock.Now()
	addresses := d.members.peerAddresses(now)
	if len(addresses) == 0 {
		return nil
	}
	byHolder := map[oleanderline.VMID][]idempotency.Record{}
	for _, record := range d.keys.seal() {
		// This process may have been the key's home or its backup, so both the new home and the new backup get the record.
		plan := d.members.keyPlan(record.Key, now)
		for _, id := range []oleanderline.VMID{plan.home, plan.backup} {
			if id != "" && id != d.keys.self.ID {
				byHolder[id] = append(byHolder[id], record)
			}
		}
	}
	for holder, records := range byHolder {
		if err := d.sendRecords(holder, records); err != nil {
			d.common.Event(common.EventKeyHandoverFailed).WithError(err).Warn("handover of idempotency keys failed; peers will treat the stop as a crash")
			return nil
		}
	}
	d.announceLeave(addresses)
	return nil
}

func (d *Daemon) sendRecords(holder oleanderline.VMID, records []idempotency.Record) error {
	for len(records) > 0 {
		n := min(handoverBatchSize, len(records))
		args := AdoptArgs{Records: records[:n]}
		if err := d.peers.call(context.Background(), holder, "Adopt", args, &struct{}{}); err != nil {
			return fmt.Errorf("hand over %d keys to %s: %w", n, holder, err)
		}
		records = records[n:]
	}
	return nil
}

func (d *Daemon) announceLeave(addresses map[oleanderline.VMID]string) {
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

// Kill ends the daemon at once, with the same effect on peers and callers as a crash.
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
	d.resultSender.close()
	err := errors.Join(d.peerServer.Close(), d.operatorServer.Close())
	d.background.Wait()
	d.prober.close()
	d.minions.close()
	d.peers.close()
	d.common.Event(common.EventStopped).Info("stopped")
	return err
}
