package plan

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Mark names the ends that the records of a flush cover.
type Mark map[oleanderline.WorkerID]Acked

// Acked is the highest recorded end of one life of a worker.
type Acked struct {
	Life   oleanderline.WorkerLife
	Number int64
}

// Flush returns the records of all progress since the last flush. Once they are stored, Flushed takes the mark.
func (p *Planner) Flush() ([]oleanderline.KeyedRecord, Mark, error) {
	records := make([]oleanderline.KeyedRecord, 0, len(p.dirty))
	for j := range p.dirty {
		rec, err := record.ForProgress(j.spec.ID, &j.progress)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, rec)
	}
	clear(p.dirty)
	mark := Mark{}
	for id, w := range p.workers {
		if w.seen > w.acked {
			mark[id] = Acked{Life: w.life, Number: w.seen}
		}
	}
	return records, mark, nil
}

// Flushed tells that the records of a flush are stored. It returns the ends that may be acknowledged.
func (p *Planner) Flushed(mark Mark) Mark {
	acked := Mark{}
	for id, a := range mark {
		if w := p.workers[id]; w != nil && w.life == a.Life {
			w.acked = max(w.acked, a.Number)
			acked[id] = Acked{Life: w.life, Number: w.acked}
		}
	}
	return acked
}
