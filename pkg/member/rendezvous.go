// Package member keeps each process's view of the own VMs. The view is advisory: a wrong view costs latency, never safety.
package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/oleanderline/oleanderline"
)

// Rank orders members by rendezvous hashing for key: the first should own it, the second is next, and so on. A change
// of one member moves only the keys of that member. The argument is not changed.
func Rank(key string, members []oleanderline.VMID) []oleanderline.VMID {
	type scored struct {
		id    oleanderline.VMID
		score uint64
	}
	scores := make([]scored, len(members))
	for i, id := range members {
		scores[i] = scored{id: id, score: score(key, id)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	ranked := make([]oleanderline.VMID, len(scores))
	for i, s := range scores {
		ranked[i] = s.id
	}
	return ranked
}

// Home returns the first member in rendezvous order for key, or "" without members.
func Home(key string, members []oleanderline.VMID) oleanderline.VMID {
	var home oleanderline.VMID
	var best uint64
	for _, id := range members {
		s := score(key, id)
		if home == "" || s > best || (s == best && id < home) {
			home, best = id, s
		}
	}
	return home
}

// score mixes the FNV sum further, because FNV alone spreads keys that differ only in their last bytes poorly.
func score(key string, id oleanderline.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
