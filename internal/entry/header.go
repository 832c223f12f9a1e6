package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the callers' interface and of the requests to endpoints.
const (
	headerDeadline = "Lovagedyke-Deadline"
	headerKey      = "Idempotency-Key"
	headerRun      = "Lovagedyke-Run"
	headerTeam     = "Lovagedyke-Team"
	headerRequest  = "Lovagedyke-Request"
	headerOutcome  = "Lovagedyke-Outcome"
	headerRepeated = "Lovagedyke-Repeated"
	headerRefused  = "Lovagedyke-Endpoint-Refused"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the header without hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}
