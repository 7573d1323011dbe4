package entry

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

// Option configures a Daemon.
type Option func(*config)

// config holds the replaceable dependencies and the settings of the components of a Daemon.
type config struct {
	vmList   oleanderline.VMList
	log      oleanderline.LogService
	caller   caller.Settings
	minion   minion.Settings
	core     dispatch.Settings
	disabled disabledMechanisms
}

// WithVMList replaces the HTTP client of the VM list.
func WithVMList(list oleanderline.VMList) Option { return func(c *config) { c.vmList = list } }

// WithLogService replaces the HTTP client of the log service.
func WithLogService(log oleanderline.LogService) Option { return func(c *config) { c.log = log } }

// WithCallerSettings replaces the limits on callers' requests.
func WithCallerSettings(s caller.Settings) Option { return func(c *config) { c.caller = s } }

// WithMinionSettings replaces the settings of the connections to minions.
func WithMinionSettings(s minion.Settings) Option { return func(c *config) { c.minion = s } }

// WithCoreSettings replaces the settings of the decision core.
func WithCoreSettings(s dispatch.Settings) Option { return func(c *config) { c.core = s } }
