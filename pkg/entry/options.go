package entry

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

// Option changes a Daemon while it is built.
type Option func(*parts)

// parts are what a Daemon is assembled from.
type parts struct {
	vmList   oleanderline.VMList
	log      oleanderline.LogService
	caller   caller.Settings
	minion   minion.Settings
	core     dispatch.Settings
	switches switches
}

// WithVMList replaces the HTTP client of the VM list.
func WithVMList(list oleanderline.VMList) Option { return func(p *parts) { p.vmList = list } }

// WithLogService replaces the HTTP client of the log service.
func WithLogService(log oleanderline.LogService) Option { return func(p *parts) { p.log = log } }

// WithCallerSettings replaces the bounds on what callers send.
func WithCallerSettings(s caller.Settings) Option { return func(p *parts) { p.caller = s } }

// WithMinionSettings replaces the settings of the connections to minions.
func WithMinionSettings(s minion.Settings) Option { return func(p *parts) { p.minion = s } }

// WithCoreSettings replaces the settings of the decision core.
func WithCoreSettings(s dispatch.Settings) Option { return func(p *parts) { p.core = s } }
