package shard

// queue orders the waiting tasks: urgent ones first, otherwise by arrival.
type queue struct {
	urgent, normal []*task
	size           int
}

func (q *queue) len() int { return q.size }

func (q *queue) push(t *task) {
	if t.queued {
		return
	}
	t.queued = true
	q.size++
	if t.job.Urgent {
		q.urgent = append(q.urgent, t)
		return
	}
	q.normal = append(q.normal, t)
}

// pushFront returns a task that had its turn before.
func (q *queue) pushFront(t *task) {
	if t.queued {
		return
	}
	t.queued = true
	q.size++
	if t.job.Urgent {
		q.urgent = append([]*task{t}, q.urgent...)
		return
	}
	q.normal = append([]*task{t}, q.normal...)
}

// drop marks a task as gone. Its place is cleared when the queue is next walked.
func (q *queue) drop(t *task) {
	if t.queued {
		t.queued = false
		q.size--
	}
}

// each offers at most limit tasks in order. visit returns whether the task was placed, which removes it, and whether to
// go on.
func (q *queue) each(limit int, visit func(*task) (placed, more bool)) {
	more := true
	walk := func(list []*task) []*task {
		kept := list[:0]
		for i, t := range list {
			if !more || limit == 0 {
				return append(kept, list[i:]...)
			}
			if !t.queued {
				continue
			}
			limit--
			var placed bool
			if placed, more = visit(t); placed {
				t.queued = false
				q.size--
				continue
			}
			kept = append(kept, t)
		}
		return kept
	}
	q.urgent = walk(q.urgent)
	q.normal = walk(q.normal)
}
