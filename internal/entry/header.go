package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the callers' interface and of the requests to endpoints.
const (
	headerDeadline       = "Lovagedyke-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
	headerRun            = "Lovagedyke-Run"
	headerTeam           = "Lovagedyke-Team"
	headerRequest        = "Lovagedyke-Request"
	headerOutcome        = "Lovagedyke-Outcome"
	headerRepeated       = "Lovagedyke-Repeated"
	headerRefused        = "Lovagedyke-Endpoint-Refused"
)

// hopByHopHeaders are the headers that apply to a single connection only (RFC
// 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = make(http.Header)
	}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}
