package shard

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Kinds of length of an assigned task, remembered when the task is first looked at.
const (
	lengthUnknown = iota
	lengthShort
	lengthLong
)

func (c *Core) newQueue() *queue.Queue[*task] {
	q := queue.New[*task](c.cfg.Queue, c.classes)
	q.SetRules(c.rules)
	return q
}

// enqueue lets a task wait for a worker.
func (c *Core) enqueue(t *task) {
	c.queue.Push(t, t.shape(), t.entered, t.notBefore, c.now)
}

// shape tells the queue which tasks are alike.
func (t *task) shape() queue.Shape {
	return queue.Shape{
		ClassKey: t.job.class(), Kind: t.job.Kind, Size: t.size(), Urgent: t.job.Urgent, Sunk: queue.LevelOf(t.ran),
		Guest: t.job.guest != nil, Failures: t.failures,
	}
}

func (j *job) class() queue.ClassKey { return queue.ClassKey{Team: j.Team, Class: j.Class} }

// load returns what the listed workers offer, and what of it is committed to long batch tasks. It also counts what the
// teams are committed to, including the tasks that wait at workers.
func (c *Core) load() queue.Load {
	var load queue.Load
	c.quotas.Clear()
	for _, w := range c.workers.order {
		if w.listed {
			load.Capacity += w.vm.Size.CPU
		}
		for _, t := range w.tasks {
			load.Long += c.longCPU(t)
			c.countQuota(t)
		}
		for _, t := range w.incoming {
			load.Long += c.longCPU(t)
			c.countQuota(t)
		}
	}
	return load
}

func (c *Core) countQuota(t *task) {
	if c.quotas.Active() && t.job.Kind == oleanderline.KindBatch {
		c.quotas.Commit(t.job.Team, t.size())
	}
}

// withinQuota reports whether a further task of a team stays within the team's portion.
func (c *Core) withinQuota(t *task) bool {
	return t.job.Kind != oleanderline.KindBatch || c.cfg.Without.Quotas || c.quotas.Allows(t.job.Team, t.size())
}

func (c *Core) longCPU(t *task) oleanderline.Millicores {
	if t.length == lengthUnknown {
		t.length = lengthLong
		if t.job.Kind != oleanderline.KindBatch || t.job.Urgent || c.queue.Short(t.shape()) {
			t.length = lengthShort
		}
	}
	if t.length == lengthShort {
		return 0
	}
	return t.size().CPU
}
