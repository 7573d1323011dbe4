package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// vmPoller reads the VM list periodically. If a read fails, the last list is kept.
type vmPoller struct {
	common         *common.Common
	list           oleanderline.VMList
	interval       time.Duration
	minions        *minions
	members        *members
	dispatcher     *dispatcher
	onUpdate       func()
	lastRead       atomic.Int64 // Unix time of the last successful read in nanoseconds; zero if none
	lastReadFailed atomic.Bool
}

func newVMPoller(c *common.Common, list oleanderline.VMList, interval time.Duration) *vmPoller {
	p := &vmPoller{common: c, list: list, interval: interval}
	c.Metrics.NewGauge("oleander_entry_vm_list_age_seconds", func() float64 { // time since the last successful read of the VM list; -1 if there was none
		read := p.lastRead.Load()
		if read == 0 {
			return -1
		}
		return c.Clock.Now().Sub(time.Unix(0, read)).Seconds()
	})
	return p
}

func (p *vmPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
		timer := p.common.Clock.NewTimer(p.interval)
		select {
		case <-ctx.Done():
		case <-timer.C():
		}
		timer.Stop()
	}
}

func (p *vmPoller) poll(ctx context.Context) {
	// A slow read is cancelled and retried, so that this entry learns in time that a minion is leaving when the VM list
	// responds again.
	callCtx, cancel := context.WithTimeout(ctx, max(p.interval, time.Second))
	defer cancel()
	rows, err := p.list.List(callCtx)
	if err != nil {
		if !p.lastReadFailed.Load() && ctx.Err() == nil {
			p.common.Event(common.EventVMListFailed).WithError(err).Warn("cannot read the VM list; keeping the last one")
		}
		p.lastReadFailed.Store(true)
		return
	}
	p.lastReadFailed.Store(false)
	p.lastRead.Store(p.common.Clock.Now().UnixNano())
	p.members.setListed(rows)
	if list := p.minions.setRows(rows); list != nil {
		p.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
			return core.SetMinions(list, now, actions)
		})
	}
	p.onUpdate()
}

// hasRead reports whether the VM list was read successfully at least once.
func (p *vmPoller) hasRead() bool { return p.lastRead.Load() != 0 }
