package quota

import "github.com/oleanderline/oleanderline"

// Portion returns the part of a quota that belongs to a shard, by its part of the region's capacity. Whole units that are
// left over go to the shards with the largest remainders, so that the portions add up to the quota.
func Portion(quota oleanderline.Size, shards []oleanderline.Size, shard int) oleanderline.Size {
	if len(shards) == 0 {
		return quota
	}
	cpu, memory, accelerators := make([]int64, len(shards)), make([]int64, len(shards)), make([]int64, len(shards))
	for i, size := range shards {
		cpu[i], memory[i], accelerators[i] = int64(size.CPU), int64(size.Memory), int64(size.Accelerators)
	}
	return oleanderline.Size{
		CPU:          oleanderline.Millicores(divide(int64(quota.CPU), cpu, shard)),
		Memory:       oleanderline.Megabytes(divide(int64(quota.Memory), memory, shard)),
		Accelerators: oleanderline.Accelerators(divide(int64(quota.Accelerators), accelerators, shard)),
	}
}

// divide returns the part of an amount for one of several weights, by the largest remainder.
func divide(amount int64, weights []int64, index int) int64 {
	total := int64(0)
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	left, ahead := amount, int64(0) // ahead: shards that get a left unit before this one
	remainder := func(i int) int64 { return amount * weights[i] % total }
	for i, weight := range weights {
		left -= amount * weight / total
		if remainder(i) > remainder(index) || (remainder(i) == remainder(index) && i < index) {
			ahead++
		}
	}
	part := amount * weights[index] / total
	if ahead < left {
		part++
	}
	return part
}
