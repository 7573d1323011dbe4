package quota

import "github.com/oleanderline/oleanderline"

// Portion returns the portion of a quota for a shard, in proportion to the shard's capacity. Units that are left over after
// rounding down go to the shards with the largest remainders, so that the portions add up to the quota.
func Portion(quota oleanderline.Size, capacities []oleanderline.Size, shard int) oleanderline.Size {
	if len(capacities) == 0 {
		return quota
	}
	cpu, memory, accelerators := make([]int64, len(capacities)), make([]int64, len(capacities)), make([]int64, len(capacities))
	for i, size := range capacities {
		cpu[i], memory[i], accelerators[i] = int64(size.CPU), int64(size.Memory), int64(size.Accelerators)
	}
	return oleanderline.Size{
		CPU:          oleanderline.Millicores(apportion(int64(quota.CPU), cpu, shard)),
		Memory:       oleanderline.Megabytes(apportion(int64(quota.Memory), memory, shard)),
		Accelerators: oleanderline.Accelerators(apportion(int64(quota.Accelerators), accelerators, shard)),
	}
}

// apportion divides an amount in proportion to the weights by the largest remainder method, and returns the part at index.
func apportion(amount int64, weights []int64, index int) int64 {
	total := int64(0)
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return 0
	}
	leftover, ahead := amount, int64(0) // ahead is the number of shards that get a leftover unit before this one
	remainder := func(i int) int64 { return amount * weights[i] % total }
	for i, weight := range weights {
		leftover -= amount * weight / total
		if remainder(i) > remainder(index) || (remainder(i) == remainder(index) && i < index) {
			ahead++
		}
	}
	part := amount * weights[index] / total
	if ahead < leftover {
		part++
	}
	return part
}
