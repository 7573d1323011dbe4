// Package quota divides the quotas of teams among the shards of a region, and counts the resources that are committed to
// each team's batch tasks in one shard.
package quota

import (
	"fmt"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Book holds the quotas and the commitments of one shard. It is not safe for concurrent use.
type Book struct {
	shard           int
	shardCapacities []oleanderline.Size // indexed by shard
	quotas          map[oleanderline.TeamID]oleanderline.Size
	committed       map[oleanderline.TeamID]oleanderline.Size
}

// NewBook returns the book of a shard, without quotas and commitments.
func NewBook(shard oleanderline.ShardID) *Book {
	return &Book{shard: int(shard), committed: map[oleanderline.TeamID]oleanderline.Size{}}
}

// SetRules replaces the quotas. If the rules have several for a team, the last one applies.
func (b *Book) SetRules(set *rules.Set) {
	b.quotas = map[oleanderline.TeamID]oleanderline.Size{}
	for _, quota := range set.Quotas {
		b.quotas[quota.Team] = quota.Size
	}
}

// SetShards replaces the capacities of the region's shards. Until they are set, the shard's portion is the whole quota.
func (b *Book) SetShards(capacities []oleanderline.Size) { b.shardCapacities = capacities }

// Active reports whether there are any quotas. Without quotas, commitments need not be counted.
func (b *Book) Active() bool { return len(b.quotas) > 0 }

// Reset resets the commitments to zero.
func (b *Book) Reset() { clear(b.committed) }

// Commit adds the size of a task to the commitments of a team.
func (b *Book) Commit(team oleanderline.TeamID, size oleanderline.Size) {
	b.committed[team] = b.committed[team].Add(size)
}

// Allows reports whether the commitments of a team, including a further task, fit its portion in this shard.
func (b *Book) Allows(team oleanderline.TeamID, size oleanderline.Size) bool {
	return b.fitsPortion(team, b.committed[team].Add(size), b.shard)
}

// FitsPortion reports whether a task fits the portion of a team in a shard, regardless of the team's commitments.
func (b *Book) FitsPortion(team oleanderline.TeamID, size oleanderline.Size, shard oleanderline.ShardID) bool {
	return b.fitsPortion(team, size, int(shard))
}

// RefusalReason returns the reason why a task of a team can never run because of its quota, or "" if it can.
func (b *Book) RefusalReason(team oleanderline.TeamID, size oleanderline.Size) string {
	quota, ok := b.quotas[team]
	if !ok {
		return ""
	}
	if !fits(size, quota, quota) {
		return fmt.Sprintf("a task needs %s, and the quota of team %s is %s (0 means no bound)", size, team, quota)
	}
	for shard := range max(len(b.shardCapacities), 1) {
		if b.fitsPortion(team, size, shard) {
			return ""
		}
	}
	return fmt.Sprintf("a task needs %s, and the quota %s of team %s is divided over %d shards, none of which has as much",
		size, quota, team, len(b.shardCapacities))
}

func (b *Book) fitsPortion(team oleanderline.TeamID, amount oleanderline.Size, shard int) bool {
	quota, ok := b.quotas[team]
	return !ok || fits(amount, Portion(quota, b.shardCapacities, shard), quota)
}

// fits reports whether an amount fits a portion. Resources that are 0 in the quota are unlimited.
func fits(amount, portion, quota oleanderline.Size) bool {
	return (quota.CPU == 0 || amount.CPU <= portion.CPU) &&
		(quota.Memory == 0 || amount.Memory <= portion.Memory) &&
		(quota.Accelerators == 0 || amount.Accelerators <= portion.Accelerators)
}
