package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
)

// problemType is the content type of responses that the entry itself generates.
const problemType = "application/problem+json"

// answerKind classifies the outcome of a request.
type answerKind string

const (
	answerOK          answerKind = "ok"
	answerByEntry     answerKind = "entry"   // a problem response of the entry itself
	answerErrorStatus answerKind = "status"  // an error status of the endpoint
	answerMismatch    answerKind = "wrong"   // not the response to this request
	answerTruncated   answerKind = "cut"     // incomplete body
	answerMissing     answerKind = "failure" // no response
)

// problem holds the fields of an entry's problem response that callers act on.
type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// request holds the parts of a request that its response has to match.
type request struct {
	nonce     string
	body      []byte
	behaviour string
}

// check reads the whole response and compares it with the request.
func (q request) check(response *http.Response) (answerKind, problem) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answerTruncated, problem{}
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problemType) {
		var problem problem
		if json.Unmarshal(body, &problem) != nil {
			return answerMismatch, problem
		}
		return answerByEntry, problem
	}
	if response.Header.Get(endpoint.NonceHeader) != q.nonce {
		return answerMismatch, problem{}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return answerErrorStatus, problem{}
	}
	if !q.matches(response, body) {
		return answerMismatch, problem{}
	}
	return answerOK, problem{}
}

// matches reports whether the response belongs to the request.
func (q request) matches(response *http.Response, body []byte) bool {
	name, value, _ := strings.Cut(q.behaviour, "=")
	switch name {
	case endpoint.Echo:
		return bytes.Equal(body, q.body)
	case endpoint.LargeBody:
		size, err := strconv.Atoi(value)
		return err == nil && len(body) == size && repeats(body, q.nonce+"\n")
	case endpoint.Trailers:
		if response.Trailer.Get(endpoint.TrailerHeader) != q.nonce {
			return false
		}
	}
	if response.Request.Method == http.MethodHead {
		return true
	}
	var answer endpoint.Answer
	if json.Unmarshal(body, &answer) != nil {
		return false
	}
	return answer.Nonce == q.nonce && answer.Bytes == int64(len(q.body)) && answer.Hash == xxhash.Sum64(q.body)
}

// repeats reports whether body consists of repetitions of unit, the last of which
// may be incomplete.
func repeats(body []byte, unit string) bool {
	for len(body) > 0 {
		n := min(len(body), len(unit))
		if string(body[:n]) != unit[:n] {
			return false
		}
		body = body[n:]
	}
	return true
}
