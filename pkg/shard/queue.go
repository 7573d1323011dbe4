package shard

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Length classes of an assigned task. The class is set when load first counts the task.
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

// enqueue adds a task to the queue of tasks that wait for a worker.
func (c *Core) enqueue(t *task) {
	c.queue.Push(t, t.shape(), t.entered, t.notBefore, c.now)
}

// shape returns the properties by which the queue groups tasks that can be placed alike.
func (t *task) shape() queue.Shape {
	return queue.Shape{
		ClassKey: t.job.class(), Kind: t.job.Kind, Size: t.size(), Urgent: t.job.Urgent, MinLevel: queue.LevelOf(t.ran),
		Guest: t.job.guest != nil, Failures: t.failures,
	}
}

func (j *job) class() queue.ClassKey { return queue.ClassKey{Team: j.Team, Class: j.Class} }

// load returns the CPU capacity of the listed workers, and how much of it is committed to long batch tasks. It also counts
// what each team has committed, including tasks that wait at workers.
func (c *Core) load() queue.Load {
	var load queue.Load
	c.quotas.Reset()
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

// withinQuota reports whether one more task of its size stays within the team's portion of its quota.
func (c *Core) withinQuota(t *task) bool {
	return t.job.Kind != oleanderline.KindBatch || c.cfg.Disabled.Quotas || c.quotas.Allows(t.job.Team, t.size())
}

func (c *Core) longCPU(t *task) oleanderline.Millicores {
	if t.lengthClass == lengthUnknown {
		t.lengthClass = lengthLong
		if t.job.Kind != oleanderline.KindBatch || t.job.Urgent || c.queue.Short(t.shape()) {
			t.lengthClass = lengthShort
		}
	}
	if t.lengthClass == lengthShort {
		return 0
	}
	return t.size().CPU
}
