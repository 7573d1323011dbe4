package common

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Sleep waits for d by the clock, or until the context ends.
func Sleep(ctx context.Context, clock oleanderline.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}
