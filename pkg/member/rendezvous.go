// Package member tracks which of the system's own VMs a process considers alive, and assigns keys to them by rendezvous
// hashing. The view is advisory: a wrong view costs latency, never safety.
package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/oleanderline/oleanderline"
)

// Rank orders members by rendezvous hashing for key: the first is the preferred owner, the second the next choice, and so
// on. Adding or removing a member moves only the keys of that member. The argument is not modified.
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

// Home returns the first member in the order of Rank, or "" if there are no members.
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

// score mixes the FNV hash further, because FNV alone distributes keys that differ only in their last bytes poorly.
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
