package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/operator"
)

// operatorView provides the status of the daemon to operators.
type operatorView struct {
	daemon *Daemon
}

// Status implements operator.Statuser.
func (o operatorView) Status() operator.Status {
	d := o.daemon
	now := d.common.Clock.Now()
	status := d.follower.Status()
	return operator.Status{
		Daemon:     "entry",
		ID:         d.settings.VMID(),
		Region:     oleanderline.RegionID(d.settings.Region),
		Domain:     oleanderline.DomainID(d.settings.Domain),
		Started:    d.started,
		Stopping:   d.draining.Load(),
		LogService: operator.ServiceState{Down: status.LogDown, Age: status.Age},
		VMList:     operator.ServiceState{Down: d.poller.lastReadFailed.Load(), Age: ageOf(now, d.poller.lastRead.Load())},
		Members:    operatorMembers(d.members.alive(now)),
		Requests:   d.requestStats(),
	}
}

func operatorMembers(alive []member.Member) []operator.Member {
	rows := make([]operator.Member, 0, len(alive))
	for _, m := range alive {
		rows = append(rows, operator.Member{
			ID: m.ID, Domain: m.Domain, Alive: true, Draining: m.Draining, Revision: m.Revision,
		})
	}
	return rows
}

func (d *Daemon) requestStats() operator.RequestCounts {
	var r operator.RequestCounts
	services := map[oleanderline.ServiceID]bool{}
	for _, m := range d.minions.list() {
		r.Minions++
		services[m.Service] = true
		if m.Leaving {
			r.Leaving++
		}
	}
	d.dispatcher.update(func(core *dispatch.Core, _ time.Time, actions []dispatch.Action) []dispatch.Action {
		r.Ejected = core.Ejected()
		for id := range services {
			r.InFlight += core.InFlight(id)
			r.Queued += core.Queued(id)
		}
		return actions
	})
	return r
}

// ageOf returns the time from a Unix time in nanoseconds to now, or a negative time if the Unix time is zero.
func ageOf(now time.Time, unixNano int64) time.Duration {
	if unixNano == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, unixNano))
}
