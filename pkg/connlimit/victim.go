package connlimit

import "time"

// phase is what a connection is used for.
type phase int32

const (
	phaseWaiting   phase = iota // for the first byte of a request
	phaseHeader                 // a header is being received
	phaseWorking                // a request is being answered; the connection is not closed
	phaseReceiving              // a body is being received
	phaseSending                // the client has not yet taken an answer
	phaseClosing                // closed for writing; the client may read the last answer
)

// youth is the age up to which an unfinished request does not give way to a new connection as long as others do. Clients send a request
// within milliseconds.
const youth = time.Second

// candidate is a connection that may be closed in favor of a new one.
type candidate struct {
	phase phase
	used  bool          // whether a request has been answered on it
	age   time.Duration // since the phase began; since the first byte of the request if one is being received
}

// Ranks in the order in which connections are closed.
const (
	rankNever  = iota
	rankYoung  // a request that has just begun
	rankIdle   // an idle connection, which a client keeps for its next request
	rankStale  // an unfinished request, an answer that is not taken, or a connection without any request
	rankClosed // a connection that has been answered for the last time
)

func (c candidate) rank() int {
	switch c.phase {
	case phaseWaiting:
		if c.used || c.age < youth {
			return rankIdle
		}
		return rankStale
	case phaseHeader, phaseReceiving, phaseSending:
		if c.age >= youth {
			return rankStale
		}
		return rankYoung
	case phaseClosing:
		return rankClosed
	}
	return rankNever
}

// before reports whether c is closed rather than other. Of connections of the same rank, the one of the greatest age is closed.
func (c candidate) before(other candidate) bool {
	if a, b := c.rank(), other.rank(); a != b {
		return a > b
	}
	return c.age > other.age
}
