package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// vmPoller reads the VM list at an interval. When it cannot, the last list is kept.
type vmPoller struct {
	common     *common.Common
	list       oleanderline.VMList
	interval   time.Duration
	minions    *minions
	members    *members
	dispatcher *dispatcher
	applied    func()
	read       atomic.Int64 // time of the last read in nanoseconds; zero: none
	failed     atomic.Bool  // the last read failed
}

func newVMPoller(c *common.Common, list oleanderline.VMList, interval time.Duration) *vmPoller {
	p := &vmPoller{common: c, list: list, interval: interval}
	c.Metrics.NewGauge("oleander_entry_vm_list_age_seconds", func() float64 { // time since the VM list was read; -1 if it never was
		read := p.read.Load()
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
	// A read that takes longer is given up, so that a leaving minion is known in time when the list answers again.
	call, cancel := context.WithTimeout(ctx, max(p.interval, time.Second))
	defer cancel()
	rows, err := p.list.List(call)
	if err != nil {
		if !p.failed.Load() && ctx.Err() == nil {
			p.common.Event(common.EventVMListFailed).WithError(err).Warn("VM list cannot be read, the last one is kept")
		}
		p.failed.Store(true)
		return
	}
	p.failed.Store(false)
	p.read.Store(p.common.Clock.Now().UnixNano())
	p.members.setListed(rows)
	if list := p.minions.setRows(rows); list != nil {
		p.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
			return core.SetMinions(list, now, actions)
		})
	}
	p.applied()
}

// hasRead reports whether the VM list was read at least once.
func (p *vmPoller) hasRead() bool { return p.read.Load() != 0 }
