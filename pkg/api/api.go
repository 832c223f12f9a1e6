// Package api defines the JSON types of the operators' API and of the responses
// that an entry itself sends to callers.
//
// # Usage
//
// Operators' tools use package client, which returns these types. Callers of
// a service decode a response of type application/problem+json into Problem and
// check its Outcome before they retry.
package api

// ProblemType is the media type of Problem.
const ProblemType = "application/problem+json"

// Outcome states whether the work of a request ran.
type Outcome string

// The outcomes of a request. Only OutcomeNotRun makes it safe to repeat a
// request that is not idempotent.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
	OutcomeRunning Outcome = "running"
)

// Problem is an RFC 9457 problem detail.
type Problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is a stable identifier in kebab case, such as "no-key".
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Field names the invalid header, parameter or JSON field.
	Field string `json:"field,omitempty"`
	// RetryAfter is how long to wait before a retry; 0 when a retry cannot help.
	RetryAfter Duration `json:"retry-after,omitempty"`
	RequestID  string   `json:"request-id,omitempty"`
	// Problems lists every error in a refused catalogue.
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
	for _, problem := range p.Problems {
		text += "\n" + problem.String()
	}
	return text
}

// FieldProblem is an error in one field of a request.
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
