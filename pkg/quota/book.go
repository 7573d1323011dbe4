// Package quota divides the quotas of teams over the shards of a region and counts what each team's batch tasks are
// committed to in one shard.
package quota

import (
	"fmt"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Book holds the quotas and the commitments of one shard. It is not safe for concurrent use.
type Book struct {
	shard  int
	shards []oleanderline.Size // capacity of each shard
	quotas map[oleanderline.TeamID]oleanderline.Size
	used   map[oleanderline.TeamID]oleanderline.Size
}

// NewBook returns the book of a shard, without quotas.
func NewBook(shard oleanderline.ShardID) *Book {
	return &Book{shard: int(shard), used: map[oleanderline.TeamID]oleanderline.Size{}}
}

// SetRules replaces the quotas. If a team has several, the last applies.
func (b *Book) SetRules(set *rules.Set) {
	b.quotas = map[oleanderline.TeamID]oleanderline.Size{}
	for _, quota := range set.Quotas {
		b.quotas[quota.Team] = quota.Size
	}
}

// SetShards replaces the capacities of the region's shards. While none are known, the whole quota counts.
func (b *Book) SetShards(shards []oleanderline.Size) { b.shards = shards }

// Active reports whether there are any quotas, so that commitments need counting.
func (b *Book) Active() bool { return len(b.quotas) > 0 }

// Clear forgets the commitments.
func (b *Book) Clear() { clear(b.used) }

// Commit counts a task of a team.
func (b *Book) Commit(team oleanderline.TeamID, size oleanderline.Size) {
	b.used[team] = b.used[team].Add(size)
}

// Allows reports whether a further task of a team stays within its portion in this shard.
func (b *Book) Allows(team oleanderline.TeamID, size oleanderline.Size) bool {
	return b.within(team, b.used[team].Add(size), b.shard)
}

// Holds reports whether the portion of a team in a shard could hold a task if nothing else ran.
func (b *Book) Holds(team oleanderline.TeamID, size oleanderline.Size, shard oleanderline.ShardID) bool {
	return b.within(team, size, int(shard))
}

// Refuse returns why a task of a team can never run, or "".
func (b *Book) Refuse(team oleanderline.TeamID, size oleanderline.Size) string {
	quota, ok := b.quotas[team]
	if !ok {
		return ""
	}
	if !fits(size, quota, quota) {
		return fmt.Sprintf("a task needs %s, and the quota of team %s is %s (0 means no bound)", size, team, quota)
	}
	for shard := range max(len(b.shards), 1) {
		if b.within(team, size, shard) {
			return ""
		}
	}
	return fmt.Sprintf("a task needs %s, and the quota %s of team %s is divided over %d shards, none of which has as much",
		size, quota, team, len(b.shards))
}

func (b *Book) within(team oleanderline.TeamID, amount oleanderline.Size, shard int) bool {
	quota, ok := b.quotas[team]
	return !ok || fits(amount, Portion(quota, b.shards, shard), quota)
}

// fits compares an amount with a portion in the resources that the quota bounds.
func fits(amount, portion, quota oleanderline.Size) bool {
	return (quota.CPU == 0 || amount.CPU <= portion.CPU) &&
		(quota.Memory == 0 || amount.Memory <= portion.Memory) &&
		(quota.Accelerators == 0 || amount.Accelerators <= portion.Accelerators)
}
