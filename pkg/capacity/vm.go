// Package capacity decides how many workers one VM can serve.
package capacity

// What serving one worker with its share of the load takes.
const (
	coresPerWorker = 0.0011
	mbpsPerWorker  = 0.024
	filesPerWorker = 2
)

// The shares of a VM that serving workers may take. A leader also plans; an agent also answers callers as before.
const (
	leaderCores = 0.7
	leaderRest  = 0.4
	agentCores  = 0.35
	agentRest   = 0.3
)

// filesForOthers are the descriptors that a process needs beside those for workers and callers.
const filesForOthers = 300

// VM is what limits a process. A zero field is no limit.
type VM struct {
	Cores float64 `json:"cores"`
	Mbps  float64 `json:"mbps,omitempty"`  // of its network link
	Files int     `json:"files,omitempty"` // descriptors
}

// ForLeader returns how many workers a leader serves itself.
func (v VM) ForLeader() int { return v.workers(leaderCores, leaderRest) }

// ForAgent returns how many workers an agent serves.
func (v VM) ForAgent() int { return v.workers(agentCores, agentRest) }

func (v VM) workers(cores, rest float64) int {
	count := cores * v.Cores / coresPerWorker
	if v.Mbps > 0 {
		count = min(count, rest*v.Mbps/mbpsPerWorker)
	}
	if v.Files > 0 {
		count = min(count, rest*float64(v.Files-filesForOthers)/filesPerWorker)
	}
	return max(1, int(count))
}
