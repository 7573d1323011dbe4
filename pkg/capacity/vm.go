// Package capacity calculates how many workers the process on one VM can serve.
package capacity

// Resources of a VM that a process needs to serve one worker and its share of the load.
const (
	coresPerWorker = 0.0011
	mbpsPerWorker  = 0.024
	filesPerWorker = 2
)

// Shares of the resources of a VM that serving workers may use, for the cores and for the other resources. The leader needs the
// remainder for planning, and an agent for answering callers.
const (
	leaderCoreShare  = 0.7
	leaderOtherShare = 0.4
	agentCoreShare   = 0.35
	agentOtherShare  = 0.3
)

// reservedFiles is the number of file descriptors that a process needs besides those for workers and callers.
const reservedFiles = 300

// VM describes the resources of a VM. Mbps and Files are unlimited if they are 0.
type VM struct {
	Cores float64 `json:"cores"`
	Mbps  float64 `json:"mbps,omitempty"`  // bandwidth of the network link in Mbit/s
	Files int     `json:"files,omitempty"` // limit of open file descriptors
}

// MaxWorkersAsLeader returns how many workers the leader can serve itself, without agents.
func (v VM) MaxWorkersAsLeader() int { return v.workers(leaderCoreShare, leaderOtherShare) }

// MaxWorkersAsAgent returns how many workers an agent can serve.
func (v VM) MaxWorkersAsAgent() int { return v.workers(agentCoreShare, agentOtherShare) }

// minClientConnections is left to clients on a VM with fewer descriptors than a process needs.
const minClientConnections = 16

// MaxClientConnections returns how many connections of clients leave enough descriptors for the workers that a leader serves, for
// other processes and for the log. 0 means no limit.
func (v VM) MaxClientConnections() int {
	if v.Files <= 0 {
		return 0
	}
	return max(minClientConnections, v.Files-reservedFiles-filesPerWorker*v.MaxWorkersAsLeader())
}

func (v VM) workers(coreShare, otherShare float64) int {
	count := coreShare * v.Cores / coresPerWorker
	if v.Mbps > 0 {
		count = min(count, otherShare*v.Mbps/mbpsPerWorker)
	}
	if v.Files > 0 {
		count = min(count, otherShare*float64(v.Files-reservedFiles)/filesPerWorker)
	}
	return max(1, int(count))
}
