package common

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Sleep waits until d has passed on the clock or the context ends.
func Sleep(ctx context.Context, clock oleanderline.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}
