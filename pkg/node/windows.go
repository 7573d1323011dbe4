package node

import (
	"sync"

	"github.com/oleanderline/oleanderline"
)

// windows holds the maintenance windows that operators have requested. It is safe for concurrent use.
type windows struct {
	mu   sync.Mutex
	byID map[oleanderline.WindowID]oleanderline.MaintenanceWindow
}

func (w *windows) add(window oleanderline.MaintenanceWindow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[oleanderline.WindowID]oleanderline.MaintenanceWindow{}
	}
	w.byID[window.ID] = window
}

func (w *windows) each(visit func(oleanderline.MaintenanceWindow)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, window := range w.byID {
		visit(window)
	}
}
