package term

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// Messages handled by the session's event loop.
type (
	jobStored      struct{ entry replica.Entry }
	jobCancelled   struct{ id oleanderline.JobID }
	configChanged  struct{ config *oleanderline.CellConfig }
	directoryRead  struct{ entries []oleanderline.WorkerEntry }
	reportReceived struct {
		id     oleanderline.WorkerID
		report oleanderline.WorkerReport
		sent   time.Time
	}
	orderAnswered struct{ result plan.Result }
	callFailed    struct {
		id  oleanderline.WorkerID
		err error
	}
	replaced struct {
		id   oleanderline.WorkerID
		sent time.Time
	}
	leaseExpired struct {
		id     oleanderline.WorkerID
		expiry plan.Expiry
	}
	inviteAnswered struct {
		vm  oleanderline.VMID
		err error
	}
	ticked         struct{}
	adviceReceived struct {
		request plan.AdviceRequest
		advice  oleanderline.Advice
		err     error
		askedAt time.Time
	}
	windowRequested struct {
		window oleanderline.MaintenanceWindow
	}
	vmsListed           struct{ vms []oleanderline.FleetVM }
	maintenanceAnswered struct {
		order maintenance.Order
		err   error
	}
	flushRequested struct{ reply chan<- flush }
	handlerAwaited struct{ done chan<- struct{} }
	flushStored    struct {
		ends    plan.EndNumbers
		workers []oleanderline.WorkerID
		windows map[oleanderline.WindowID]maintenance.Progress
	}
)

// flush holds the records to store next, and the message to post once they are stored.
type flush struct {
	records    []oleanderline.KeyedRecord
	completion flushStored
}
