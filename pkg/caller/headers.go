package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the protocol between callers and entries. docs/callers.md describes them.
const (
	HeaderService = "Oleander-Service"
	HeaderTimeout = "Oleander-Timeout"
	HeaderResult  = "Oleander-Result"
	HeaderReason  = "Oleander-Reason"
	headerLeaving = "Oleander-Leaving"
	headerNotRun  = "Oleander-Not-Run"
)

// keyHeaders are the two names under which callers send idempotency keys.
var keyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hopByHop are the fields that concern one connection only (RFC 9110, section 7.6.1), with the older ones in use, and
// the project's own fields with which a side speaks to the entry and could otherwise speak in its place.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
	HeaderService, HeaderTimeout, HeaderResult, HeaderReason, headerLeaving, headerNotRun,
}

// endToEnd copies the fields that cross the entry into to.
func endToEnd(to, from http.Header) {
	listed := from["Connection"]
	for name, values := range from {
		if isHopByHop(name) || (listed != nil && isListed(name, listed)) {
			continue
		}
		to[name] = values
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHop {
		if h == name {
			return true
		}
	}
	return false
}

func isListed(name string, connection []string) bool {
	for _, line := range connection {
		for field := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field)) == name {
				return true
			}
		}
	}
	return false
}
