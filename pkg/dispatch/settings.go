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
	Slots        slots.Settings
	Admit        admit.Settings
	Eject        eject.Settings
	Limit        admit.LimitSettings
	Choices      int           // candidates that each choice compares
	Lending      bool          // lend idle slots to peers and borrow from them
	Kept         float64       // part of the own slots that is never lent while idle
	AskEvery     time.Duration // shortest time between two questions to one peer
	RetryShare   float64       // retries for each first attempt
	HedgeShare   float64       // hedges for each first attempt
	BudgetBurst  float64       // retries or hedges at once
	FirstRun     time.Duration // run time to expect before any is measured
	DefaultSlots int           // of a minion that declares none
	Forget       time.Duration // after ResultNotRun, until the request is forgotten without Retry or Cancel
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Slots:        slots.DefaultSettings(),
		Admit:        admit.DefaultSettings(),
		Eject:        eject.DefaultSettings(),
		Limit:        admit.DefaultLimitSettings(),
		Choices:      balance.DefaultChoices,
		Lending:      true,
		Kept:         0.05,
		AskEvery:     5 * time.Millisecond,
		RetryShare:   0.1,
		HedgeShare:   0.05,
		BudgetBurst:  10,
		FirstRun:     10 * time.Millisecond,
		DefaultSlots: 8,
		Forget:       10 * time.Second,
	}
}

// Option changes a Core while it is built.
type Option func(*Core)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option {
	return func(c *Core) { c.settings = settings }
}

// WithRand sets the source of random choices. Without it, the choices are the same in every process.
func WithRand(random *rand.Rand) Option {
	return func(c *Core) { c.rand = random }
}
