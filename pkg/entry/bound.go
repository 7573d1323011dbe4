package entry

const (
	// minionConnections is the number of connections that a minion accepts from all entries together.
	minionConnections = 64
	// reservedMembers are own VMs that may exist without being counted yet, each with one connection: while own VMs are
	// replaced, old and new ones run at the same time.
	reservedMembers = 2
)

// connectionBound returns how many connections an entry may hold to one minion when it counts members own VMs. An entry
// that its peers do not count yet holds one: with up to 62 members the sum stays within minionConnections, because
// n*floor(64/(n+2)) leaves at least two connections to newcomers.
func connectionBound(members int, known bool) int {
	if !known {
		return 1
	}
	return max(1, minionConnections/(members+reservedMembers))
}
