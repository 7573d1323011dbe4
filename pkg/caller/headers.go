package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// HTTP headers of the protocol between callers and entries, described in docs/callers.md.
const (
	HeaderService = "Oleander-Service"
	HeaderTimeout = "Oleander-Timeout"
	HeaderResult  = "Oleander-Result"
	HeaderReason  = "Oleander-Reason"
	headerLeaving = "Oleander-Leaving"
	headerNotRun  = "Oleander-Not-Run"
)

// keyHeaders are the two headers in which callers may send an idempotency key.
var keyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hopByHopHeaders are the fields that are not forwarded: those that concern a single connection (RFC 9110, section 7.6.1),
// older ones still in use, and the Oleander fields, which callers and minions exchange with the entry itself. Forwarding
// the latter would let a caller or minion impersonate the entry.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
	HeaderService, HeaderTimeout, HeaderResult, HeaderReason, headerLeaving, headerNotRun,
}

// copyEndToEnd copies the header fields of src to dst, except hop-by-hop fields and those that Connection lists.
func copyEndToEnd(dst, src http.Header) {
	connection := src["Connection"]
	for name, values := range src {
		if isHopByHop(name) || (connection != nil && listedInConnection(name, connection)) {
			continue
		}
		dst[name] = values
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

func listedInConnection(name string, connection []string) bool {
	for _, line := range connection {
		for field := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field)) == name {
				return true
			}
		}
	}
	return false
}
