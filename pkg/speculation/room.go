package speculation

import "github.com/oleanderline/oleanderline"

// maxRoomShare is the share of the capacity of a pool that second runs may take up. It bounds the work that is done twice if the estimates
// are wrong throughout; a cell of which more than this share is slow lacks capacity, which second runs do not add.
const maxRoomShare = 0.02

// Room is the capacity of a pool, and what second runs take up of it.
type Room struct{ Capacity, Taken oleanderline.Size }

// Take takes up the size of one more second run, or reports false if the share of second runs would become too large.
func (r *Room) Take(size oleanderline.Size) bool {
	taken := r.Taken.Add(size)
	limit := oleanderline.Size{
		CPU:          oleanderline.Millicores(maxRoomShare * float64(r.Capacity.CPU)),
		Memory:       oleanderline.Megabytes(maxRoomShare * float64(r.Capacity.Memory)),
		Accelerators: oleanderline.Accelerators(maxRoomShare * float64(r.Capacity.Accelerators)),
	}
	if !taken.Fits(limit) {
		return false
	}
	r.Taken = taken
	return true
}
