package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// ownership is what a process knows about who owns the shard.
type ownership struct {
	ranked       []Candidate
	first        oleanderline.VMID // first in rendezvous order
	firstSince   time.Time
	owning       bool
	term         oleanderline.Term // own term, while owning
	claimedAt    time.Time         // when the own claim was read back
	claiming     bool
	claimAt      time.Time // when the claim was queued
	releasing    bool
	releasedTo   oleanderline.VMID
	releasedAt   time.Time
	leaving      bool
	suspectSince time.Time // not zero: something may have happened unnoticed, read to the end before acting
	lastStep     time.Time
	beatAt       time.Time
}

// noticePause finds that the process was paused: leases may have run out and another owner may exist.
func (c *Core) noticePause(now time.Time) {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > c.cfg.Limits.Lease/3 {
		c.suspect(now)
	}
	c.lastStep = now
}

func (c *Core) suspect(now time.Time) {
	c.suspectSince = now
	c.readSoon = true
}

// mayAct reports whether the core may call workers.
func (c *Core) mayAct() bool {
	if c.cfg.Without.SelfFence {
		return c.owning
	}
	return c.owning && c.suspectSince.IsZero() && c.now.Sub(c.readAt) < c.cfg.Limits.Horizon
}

// mayAppend reports whether the core may send records. Records of an owner that was replaced are void by their term.
func (c *Core) mayAppend() bool {
	return (c.owning || c.claiming) && c.suspectSince.IsZero()
}

// tails reports whether the core reads the stream.
func (c *Core) tails() bool {
	return c.owning || c.claiming || c.rank() <= 1 || c.followerRank()
}

func (c *Core) rank() int {
	for i, candidate := range c.ranked {
		if candidate.ID == c.cfg.Self {
			return i
		}
	}
	return len(c.ranked) + 2
}

// followerRank reports whether this process is the first in rendezvous order after the owner-to-be that is in another
// failure domain.
func (c *Core) followerRank() bool {
	for _, candidate := range c.ranked {
		if candidate.Domain != c.ranked[0].Domain {
			return candidate.ID == c.cfg.Self
		}
	}
	return false
}

func (c *Core) setMembers(e Members) {
	c.ranked = e.Ranked
	first := oleanderline.VMID("")
	if len(e.Ranked) > 0 {
		first = e.Ranked[0].ID
	}
	if first != c.first {
		c.first, c.firstSince = first, c.now
	}
	if !c.tails() && c.applied > 0 {
		c.forget(1)
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

// maintainOwnership claims, hands over and shows signs of life.
func (c *Core) maintainOwnership() {
	switch {
	case c.owning:
		c.considerRelease()
		c.showLife()
	case c.claiming:
		if c.now.Sub(c.claimAt) > ownerTimeout {
			c.dropClaim()
		}
	case c.shouldClaim():
		c.claiming, c.claimAt = true, c.now
		c.record(true, journal.Record{Kind: journal.KindClaim, Owner: c.cfg.Self, Address: c.cfg.Address})
	}
}

func (c *Core) dropClaim() {
	c.claiming = false
	c.writer.Reset()
}

// shouldClaim reports whether this process should own the shard now. The view of the members is advisory: two claims in
// a row cost a take-over and nothing else, because the first in the log counts and the others name an outdated term.
func (c *Core) shouldClaim() bool {
	recent := c.caughtUp && c.suspectSince.IsZero() && c.now.Sub(c.readAt) <= 2*ownerPoll
	if !recent || c.leaving || c.surveying {
		return false
	}
	owner, _ := c.order.Owner()
	switch {
	case c.releasedTo != "":
		return c.releasedTo == c.cfg.Self || (c.first == c.cfg.Self && c.now.Sub(c.releasedAt) > handover)
	case owner == c.cfg.Self:
		return true
	case owner == "" || !c.isMember(owner):
		return c.first == c.cfg.Self
	default:
		return c.standby(owner) && c.now.Sub(c.heardAt) > ownerTimeout
	}
}

// standby reports whether this process is the first in rendezvous order besides the owner.
func (c *Core) standby(owner oleanderline.VMID) bool {
	for _, candidate := range c.ranked {
		if candidate.ID != owner {
			return candidate.ID == c.cfg.Self
		}
	}
	return false
}

// considerRelease hands the shard over if another VM should own it for good, or if this process stops.
func (c *Core) considerRelease() {
	if c.releasing {
		if c.releasedTo != "" && c.now.Sub(c.releasedAt) > 2*handover {
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
	if c.first == c.cfg.Self || c.first == "" || c.now.Sub(c.firstSince) < settleTime {
		return ""
	}
	return c.first
}

func (c *Core) showLife() {
	if c.now.Sub(c.beatAt) < ownerHeartbeat {
		return
	}
	c.beatAt = c.now
	c.record(false, journal.Record{Kind: journal.KindKeep, Owner: c.cfg.Self, Address: c.cfg.Address})
}

// termChanged follows a claim that counts.
func (c *Core) termChanged(at Located) {
	c.releasedTo = ""
	if c.owning {
		c.lose()
	}
	owner, _ := c.order.Owner()
	own := owner == c.cfg.Self && at.Group.Writer == c.cfg.Writer && c.order.Term() == oleanderline.Term(at.Offset)
	if c.claiming && !own {
		c.dropClaim()
	}
	if own {
		c.win()
	}
}

// win begins the ownership. What earlier owners did at the workers is unknown until their inventories are in.
func (c *Core) win() {
	c.counters.Claims++
	c.owning, c.claiming, c.releasing = true, false, false
	c.term, c.claimedAt, c.beatAt = c.order.Term(), c.now, c.now
	c.resetOwned()
	for _, j := range c.jobOrder {
		for index := range j.Count {
			switch t := j.tasks[index]; {
			case t != nil && t.state == taskWaiting:
				c.enqueue(t)
			case t != nil && t.state == taskMoved:
				c.away = append(c.away, t)
			}
		}
	}
}

// lose ends the ownership. Nothing that is not in the stream outlives it.
func (c *Core) lose() {
	if !c.owning && !c.claiming {
		return
	}
	if c.owning {
		c.counters.Lost++
	}
	c.owning, c.claiming, c.releasing = false, false, false
	c.term = 0
	c.withdrawWaiters()
	c.writer.Reset()
	c.resetOwned()
}

func (c *Core) resetOwned() {
	c.queue = c.newQueue()
	c.preempted, c.clearing = nil, ""
	for _, j := range c.jobOrder {
		j.cancelPending, j.keptAt = false, time.Time{}
		j.guest.reset()
		for _, t := range j.tasks {
			t.owned = owned{}
		}
	}
	c.links = links{rooms: c.rooms, terms: c.terms, linkID: c.linkID}
	c.workers.resetOwned(c.cfg.Without.Inventory)
}

// Owning reports whether this process owns the shard, as far as it knows.
func (c *Core) Owning() bool { return c.owning }

// NewestTerm returns the newest term of the shard that this process has read.
func (c *Core) NewestTerm() oleanderline.Term { return c.order.Term() }

// Owner returns the owner of the shard and its peer address, as far as this process knows.
func (c *Core) Owner() (oleanderline.VMID, string) { return c.order.Owner() }
