package entry

const (
	// maxMinionConnections is the number of connections that a minion accepts from all entries together.
	maxMinionConnections = 64
	// reservedMembers is the number of own VMs that may run without being counted by their peers, each with one
	// connection: while VMs are replaced, old and new ones run at the same time.
	reservedMembers = 2
)

// connectionLimit returns how many connections an entry that counts members own VMs may hold to one minion. An entry
// that is not yet counted by all peers gets one. With up to 62 members the total stays within maxMinionConnections,
// because n*floor(64/(n+2)) leaves at least two connections for new entries.
func connectionLimit(members int, countedByAll bool) int {
	if !countedByAll {
		return 1
	}
	return max(1, maxMinionConnections/(members+reservedMembers))
}
