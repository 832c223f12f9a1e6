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

// problemType marks an answer that the entry itself made.
const problemType = "application/problem+json"

// verdict is what an answer turned out to be.
type verdict string

const (
	verdictOK      verdict = "ok"
	verdictEntry   verdict = "entry"   // an answer of the entry's own
	verdictStatus  verdict = "status"  // an error status of the endpoint
	verdictWrong   verdict = "wrong"   // not the answer to this request
	verdictCut     verdict = "cut"     // passed on in part
	verdictFailure verdict = "failure" // no answer
)

// problem holds the fields of an entry's own answer that callers act on.
type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// request is what was sent, as far as its answer must match it.
type request struct {
	nonce     string
	body      []byte
	behaviour string
}

// check reads the answer whole and compares it with its request.
func (q request) check(response *http.Response) (verdict, problem) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return verdictCut, problem{}
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problemType) {
		var own problem
		if json.Unmarshal(body, &own) != nil {
			return verdictWrong, own
		}
		return verdictEntry, own
	}
	if response.Header.Get(endpoint.NonceHeader) != q.nonce {
		return verdictWrong, problem{}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return verdictStatus, problem{}
	}
	if !q.matches(response, body) {
		return verdictWrong, problem{}
	}
	return verdictOK, problem{}
}

// matches reports whether the body answers the request.
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

// repeats reports whether body is the unit over and over, cut at its length.
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
