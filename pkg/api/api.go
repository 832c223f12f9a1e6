// Package api holds the JSON types of the operators' API and of the answers
// that an entry itself gives to callers.
//
// # Usage
//
// Operators' tools use package client, which returns these types. Callers of
// a service decode an answer of type application/problem+json into Problem and
// look at its Outcome before they try again.
package api

// ProblemType is the media type of Problem.
const ProblemType = "application/problem+json"

// Outcome tells whether the work of a request ran.
type Outcome string

// The outcomes of a request. Only OutcomeNotRun makes it safe to repeat a
// request that is not idempotent.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
	OutcomeRunning Outcome = "running"
)

// Problem is a problem detail in the sense of RFC 9457.
type Problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is a stable identifier in kebab case, such as "no-key".
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Field names the header, parameter or JSON field at fault.
	Field string `json:"field,omitempty"`
	// RetryAfter is how long to wait before asking again; 0 when that is of no use.
	RetryAfter Duration `json:"retry-after,omitempty"`
	RequestID  string   `json:"request-id,omitempty"`
	// Problems lists every mistake of a refused catalogue.
	Problems []FieldProblem `json:"problems,omitempty"`
	// Expected and Found are revisions, set when the reason is ReasonRevision.
	Expected uint64 `json:"expected,omitempty"`
	Found    uint64 `json:"found,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, mistake := range p.Problems {
		text += "\n" + mistake.String()
	}
	return text
}

// FieldProblem is one mistake of a request.
type FieldProblem struct {
	Field   string `json:"field"`
	Message string `json:"message"`
	Want    string `json:"want,omitempty"`
}

// String returns "field message (want ...)".
func (p FieldProblem) String() string {
	text := p.Field + " " + p.Message
	if p.Want != "" {
		text += " (want " + p.Want + ")"
	}
	return text
}
