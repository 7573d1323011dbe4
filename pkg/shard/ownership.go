package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// ownership is the state of the claim to the shard, and of the other processes that may claim it.
type ownership struct {
	ranked         []Candidate
	preferred      oleanderline.VMID // first in rendezvous order
	preferredSince time.Time
	owning         bool
	term           oleanderline.Term // this process's term, while it owns the shard
	claimedAt      time.Time         // when this process's claim was read back
	claiming       bool
	claimAt        time.Time // when the claim was queued
	releasing      bool      // a release record is queued or was read back
	releasedTo     oleanderline.VMID
	releasedAt     time.Time
	leaving        bool
	staleSince     time.Time // if not zero, the state may be stale since then: the stream must be read to its end before the core acts
	lastStep       time.Time
	heartbeatAt    time.Time
}

// detectPause marks the state as stale if the process was paused: leases may have expired and another process may have
// claimed the shard.
func (c *Core) detectPause(now time.Time) {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > c.cfg.Limits.Lease/3 {
		c.markStale(now)
	}
	c.lastStep = now
}

func (c *Core) markStale(now time.Time) {
	c.staleSince = now
	c.readSoon = true
}

// mayAct reports whether the core may call workers.
func (c *Core) mayAct() bool {
	if c.cfg.Disabled.SelfFence {
		return c.owning
	}
	return c.owning && c.staleSince.IsZero() && c.now.Sub(c.readAt) < c.cfg.Limits.Horizon
}

// mayAppend reports whether the core may send records. Records of an owner that was replaced have no effect, because their
// term is outdated.
func (c *Core) mayAppend() bool {
	return (c.owning || c.claiming) && c.staleSince.IsZero()
}

// readsStream reports whether the core reads the stream: the owner and the processes that may take over from it do.
func (c *Core) readsStream() bool {
	return c.owning || c.claiming || c.rank() <= 1 || c.firstInOtherDomain()
}

func (c *Core) rank() int {
	for i, candidate := range c.ranked {
		if candidate.ID == c.cfg.Self {
			return i
		}
	}
	return len(c.ranked) + 2
}

// firstInOtherDomain reports whether this process is the first in rendezvous order that is in another failure domain than
// the first of all.
func (c *Core) firstInOtherDomain() bool {
	for _, candidate := range c.ranked {
		if candidate.Domain != c.ranked[0].Domain {
			return candidate.ID == c.cfg.Self
		}
	}
	return false
}

func (c *Core) setMembers(e Members) {
	c.ranked = e.Ranked
	preferred := oleanderline.VMID("")
	if len(e.Ranked) > 0 {
		preferred = e.Ranked[0].ID
	}
	if preferred != c.preferred {
		c.preferred, c.preferredSince = preferred, c.now
	}
	if !c.readsStream() && c.applied > 0 {
		c.resetState(1)
	}
}

func (c *Core) isMember(id oleanderline.VMID) bool {
	for _, candidate := range c.ranked {
		if candidate.ID == id {
			return true
		}
	}
	return false
}

// maintainOwnership claims the shard, hands it over or appends the owner's heartbeat, whichever is due.
func (c *Core) maintainOwnership() {
	switch {
	case c.owning:
		c.releaseIfDue()
		c.appendHeartbeat()
	case c.claiming:
		if c.now.Sub(c.claimAt) > ownerTimeout {
			c.abandonClaim()
		}
	case c.shouldClaim():
		c.claiming, c.claimAt = true, c.now
		c.record(true, journal.Record{Kind: journal.KindClaim, Owner: c.cfg.Self, Address: c.cfg.Address})
	}
}

func (c *Core) abandonClaim() {
	c.claiming = false
	c.writer.Reset()
}

// shouldClaim reports whether this process should claim the shard now. The view of the members is only advisory: if two
// processes claim at once, the first claim in the log counts and the other one has an outdated term, so the cost is one more
// take-over at most.
func (c *Core) shouldClaim() bool {
	recent := c.caughtUp && c.staleSince.IsZero() && c.now.Sub(c.readAt) <= 2*ownerPoll
	if !recent || c.leaving || c.readingTerms {
		return false
	}
	owner, _ := c.order.Owner()
	switch {
	case c.releasedTo != "":
		return c.releasedTo == c.cfg.Self || (c.preferred == c.cfg.Self && c.now.Sub(c.releasedAt) > handoverTimeout)
	case owner == c.cfg.Self:
		return true
	case owner == "" || !c.isMember(owner):
		return c.preferred == c.cfg.Self
	default:
		return c.isStandby(owner) && c.now.Sub(c.lastGroupAt) > ownerTimeout
	}
}

// isStandby reports whether this process is the first in rendezvous order after the owner.
func (c *Core) isStandby(owner oleanderline.VMID) bool {
	for _, candidate := range c.ranked {
		if candidate.ID != owner {
			return candidate.ID == c.cfg.Self
		}
	}
	return false
}

// releaseIfDue hands the shard over if another VM should own it for good, or if this process stops.
func (c *Core) releaseIfDue() {
	if c.releasing {
		if c.releasedTo != "" && c.now.Sub(c.releasedAt) > 2*handoverTimeout {
			c.releasing, c.releasedTo = false, ""
		}
		return
	}
	successor := c.successor()
	if successor == "" || !c.mayAct() || c.writer.Stalled(c.now) > time.Second {
		return
	}
	c.releasing = true
	c.record(true, journal.Record{Kind: journal.KindRelease, Owner: successor})
}

func (c *Core) successor() oleanderline.VMID {
	if c.leaving {
		for _, candidate := range c.ranked {
			if candidate.ID != c.cfg.Self {
				return candidate.ID
			}
		}
		return ""
	}
	if c.preferred == c.cfg.Self || c.preferred == "" || c.now.Sub(c.preferredSince) < settleTime {
		return ""
	}
	return c.preferred
}

func (c *Core) appendHeartbeat() {
	if c.now.Sub(c.heartbeatAt) < ownerHeartbeat {
		return
	}
	c.heartbeatAt = c.now
	c.record(false, journal.Record{Kind: journal.KindKeep, Owner: c.cfg.Self, Address: c.cfg.Address})
}

// termChanged handles a claim that has begun a new term.
func (c *Core) termChanged(at LocatedGroup) {
	c.releasedTo = ""
	if c.owning {
		c.endOwnership()
	}
	owner, _ := c.order.Owner()
	own := owner == c.cfg.Self && at.Group.Writer == c.cfg.Writer && c.order.Term() == oleanderline.Term(at.Offset)
	if c.claiming && !own {
		c.abandonClaim()
	}
	if own {
		c.beginOwnership()
	}
}

// beginOwnership starts the ownership. The attempts that earlier owners started at the workers are unknown until the
// inventories have been read.
func (c *Core) beginOwnership() {
	c.counters.Claims++
	c.owning, c.claiming, c.releasing = true, false, false
	c.term, c.claimedAt, c.heartbeatAt = c.order.Term(), c.now, c.now
	c.resetOwnerState()
	for _, j := range c.jobOrder {
		for index := range j.Count {
			switch t := j.tasks[index]; {
			case t != nil && t.state == taskWaiting:
				c.enqueue(t)
			case t != nil && t.state == taskMoved:
				c.movedTasks = append(c.movedTasks, t)
			}
		}
	}
}

// endOwnership ends the ownership. State that is not in the stream is dropped.
func (c *Core) endOwnership() {
	if !c.owning && !c.claiming {
		return
	}
	if c.owning {
		c.counters.Lost++
	}
	c.owning, c.claiming, c.releasing = false, false, false
	c.term = 0
	c.failWaiters()
	c.writer.Reset()
	c.resetOwnerState()
}

func (c *Core) resetOwnerState() {
	c.queue = c.newQueue()
	c.preempted, c.reservedWorker = nil, ""
	for _, j := range c.jobOrder {
		j.cancelPending, j.keepQueuedAt = false, time.Time{}
		j.guest.reset()
		for _, t := range j.tasks {
			t.ownerState = ownerState{}
		}
	}
	c.transfers = transfers{rooms: c.rooms, terms: c.terms, lastMessageID: c.lastMessageID}
	c.workers.resetOwnerState(c.cfg.Disabled.Inventory)
}

// Owning reports whether this process owns the shard according to the entries that it has read.
func (c *Core) Owning() bool { return c.owning }

// NewestTerm returns the newest term of the shard that this process has read.
func (c *Core) NewestTerm() oleanderline.Term { return c.order.Term() }

// Owner returns the owner of the shard and its peer address according to the entries that this process has read.
func (c *Core) Owner() (oleanderline.VMID, string) { return c.order.Owner() }
