package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline/pkg/admit"
	"github.com/oleanderline/oleanderline/pkg/balance"
	"github.com/oleanderline/oleanderline/pkg/eject"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Settings of a Core.
type Settings struct {
	Slots               slots.Settings
	Admit               admit.Settings
	Eject               eject.Settings
	Limit               admit.LimitSettings
	Choices             int           // random candidates that are compared for each choice of a minion
	Lending             bool          // lend idle slots to peers and borrow theirs
	LendingReserve      float64       // share of the usable slots that stays free when lending
	LoanRequestInterval time.Duration // minimum time between two loan requests to one peer
	RetryShare          float64       // retries allowed per request
	HedgeShare          float64       // hedges allowed per request
	BudgetBurst         float64       // maximum burst of retries or of hedges
	InitialRunTime      time.Duration // expected run time before any is measured
	DefaultSlots        int           // of a minion that does not declare its number of slots
	RetryTimeout        time.Duration // from ResultNotRun to the removal of a request without Retry or Cancel
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		Slots:               slots.DefaultSettings(),
		Admit:               admit.DefaultSettings(),
		Eject:               eject.DefaultSettings(),
		Limit:               admit.DefaultLimitSettings(),
		Choices:             balance.DefaultChoices,
		Lending:             true,
		LendingReserve:      0.05,
		LoanRequestInterval: 5 * time.Millisecond,
		RetryShare:          0.1,
		HedgeShare:          0.05,
		BudgetBurst:         10,
		InitialRunTime:      10 * time.Millisecond,
		DefaultSlots:        8,
		RetryTimeout:        10 * time.Second,
	}
}

// Option configures a Core in New.
type Option func(*Core)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option {
	return func(c *Core) { c.settings = settings }
}

// WithRand sets the random source. The default has a fixed seed, so every process makes the same choices.
func WithRand(random *rand.Rand) Option {
	return func(c *Core) { c.rand = random }
}
