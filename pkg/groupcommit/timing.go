package groupcommit

import "time"

// Timing and thresholds.
const (
	// SlowAnswer is the answer time of appends from which on nodes hand their records to an appender: several times that of a call to
	// another node.
	SlowAnswer = 60 * time.Millisecond
	// SlowHold is how long the log counts as slow after the last sign of it. It is longer than the interval of the leader's records, which
	// tell nodes without own appends of the answer time.
	SlowHold = 2 * time.Second
	// slowRead is the same for a read whose answer needs no wait for records. slowReadHold is shorter than SlowHold, because a read can take
	// long for another reason: the records that were expected have not been appended.
	slowRead     = SlowAnswer
	slowReadHold = time.Second
	// busyRate is the number of submissions and cancellations of the cell a second from which on nodes hand over at a fast log as well. It
	// takes about 100 ms until all nodes know of a log that has become slow; more than a few appends in that time fill its queue. rateWindow
	// is the time over which they are counted.
	busyRate   = 40
	rateWindow = time.Second
	// servedHold is how long after an answered append the log is known to serve this node.
	servedHold = 3 * time.Second
	// maxCandidates bounds the nodes that append for others at the same time, as far as different nodes choose differently.
	maxCandidates = 3
	// answerValidity is how long an observed answer time says something about the next append.
	answerValidity = 5 * time.Second
	// minTimeout and maxTimeout limit how long an append waits for its answer. The lower one covers a connection that has to be opened
	// anew; callers do not wait for much longer than the upper one.
	minTimeout = 900 * time.Millisecond
	maxTimeout = 2200 * time.Millisecond
	// timeoutFactor, overdueFactor and waitFactor multiply the answer time: until an append counts as not answered, until the next append
	// does not wait for it any longer, and for how long an appender may take, which has an append ahead of the one with the record.
	timeoutFactor = 4
	overdueFactor = 2
	waitFactor    = 4
	// minOverdue and minWait are the lower bounds of the latter two.
	minOverdue = 250 * time.Millisecond
	minWait    = time.Second
	// minPenalty is how long an appender that has failed is not asked. It doubles with each further failure up to maxPenalty.
	minPenalty = time.Second
	maxPenalty = 8 * time.Second
	// ownShare is the share of the log's time that all nodes together take, while it is slow, with records that they append themselves
	// because no appender has stored them.
	ownShare = 0.25
	// unknownAnswer is taken for the answer time if that is not known.
	unknownAnswer = 100 * time.Millisecond
)
