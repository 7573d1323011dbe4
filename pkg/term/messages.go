package term

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// Messages of the duty that owns the planner.
type (
	jobStored     struct{ entry replica.Entry }
	jobCancelled  struct{ id oleanderline.JobID }
	configChanged struct{ config *oleanderline.CellConfig }
	directoryRead struct{ entries []oleanderline.WorkerEntry }
	reported      struct {
		id     oleanderline.WorkerID
		report oleanderline.WorkerReport
		sent   time.Time
	}
	answered   struct{ result plan.Result }
	fellSilent struct {
		id  oleanderline.WorkerID
		err error
	}
	lapsed  struct{ id oleanderline.WorkerID }
	invited struct {
		vm  oleanderline.VMID
		err error
	}
	ticked  struct{}
	advised struct {
		question plan.Question
		advice   oleanderline.Advice
		err      error
		asked    time.Time
	}
	windowAsked struct {
		window oleanderline.MaintenanceWindow
	}
	fleetRead  struct{ vms []oleanderline.FleetVM }
	maintained struct {
		order maintenance.Order
		err   error
	}
	flushWant struct{ reply chan<- flush }
	flushed   struct {
		mark    plan.Mark
		workers []oleanderline.WorkerID
		windows map[oleanderline.WindowID]maintenance.Progress
	}
)

// flush is what the writer stores next.
type flush struct {
	records []oleanderline.KeyedRecord
	done    flushed
}
