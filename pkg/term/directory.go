package term

import (
	"errors"
	"maps"
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// followDirectory reads the directory of workers and passes each change of its content on.
func (s *Session) followDirectory() {
	entries := map[oleanderline.WorkerID]oleanderline.WorkerEntry{}
	var next oleanderline.Offset
	loaded := false
	for s.ctx.Err() == nil {
		var batch oleanderline.KeyedBatch
		var err error
		if loaded {
			batch, err = s.ports.Log.Read(s.ctx, s.ports.Workers, next, directoryWait)
		} else {
			batch, err = s.ports.Log.Newest(s.ctx, s.ports.Workers)
			clear(entries)
		}
		if err != nil {
			loaded = loaded && !errors.Is(err, oleanderline.ErrTrimmed)
			s.sleep(directoryPause)
			continue
		}
		changed := !loaded
		loaded, next = true, batch.Next
		for _, rec := range batch.Records {
			changed = s.applyEntry(entries, rec) || changed
		}
		if changed {
			s.post(directoryRead{slices.Collect(maps.Values(entries))})
		}
		s.sleep(directoryPause)
	}
}

// applyEntry reports whether a record changes what is known. A malformed entry names no worker to use.
func (s *Session) applyEntry(entries map[oleanderline.WorkerID]oleanderline.WorkerEntry, rec oleanderline.KeyedRecord) bool {
	id := oleanderline.WorkerID(rec.Key)
	old, known := entries[id]
	if len(rec.Value) == 0 {
		delete(entries, id)
		return known
	}
	entry, err := s.ports.Decode(rec)
	if err != nil {
		s.common.Event(common.EventWorkerMalformed).WithError(err).Warn("entry of the directory skipped")
		delete(entries, id)
		return known
	}
	entries[id] = entry
	return !known || entryChanged(old, entry)
}

func entryChanged(a, b oleanderline.WorkerEntry) bool {
	return a.Address != b.Address || a.Pool != b.Pool || a.Draining != b.Draining || a.Capacity != b.Capacity ||
		a.Life != b.Life || !slices.Equal(a.Labels, b.Labels)
}
