package api

import "time"

// Reasons of the operators' API.
const (
	ReasonNoKey            = "no-operator-key"
	ReasonWrongKey         = "wrong-operator-key"
	ReasonMalformed        = "malformed-request"
	ReasonTooLarge         = "request-too-large"
	ReasonInvalid          = "invalid-catalogue"
	ReasonNotFound         = "not-found"
	ReasonWrongMethod      = "wrong-method"
	ReasonRevision         = "revision-conflict"
	ReasonOperationReused  = "operation-reused"
	ReasonTableUnavailable = "table-unavailable"
	ReasonUnknown          = "outcome-unknown"
	ReasonContended        = "contended"
	ReasonJoining          = "manager-joining"
	ReasonNotMember        = "manager-not-member"
	ReasonPhase            = "wrong-phase"
	ReasonInternal         = "internal-error"
)

// CatalogueAnswer is the catalogue at a revision.
type CatalogueResponse struct {
	Revision  uint64    `json:"revision"`
	Catalogue Catalogue `json:"catalogue"`
}

// ApplyRequest declares the whole catalogue: what it leaves out is removed.
type ApplyRequest struct {
	Catalogue Catalogue `json:"catalogue"`
	// Expected is the revision that the change was made for; nil for any.
	Expected *uint64 `json:"expected-revision,omitempty"`
	// Operation identifies the change; a repeat returns the first result.
	Operation string `json:"operation-id,omitempty"`
	// DryRun asks for the difference alone.
	DryRun bool `json:"dry-run,omitempty"`
}

// ChangeAnswer tells that a change was accepted: it is committed and will not
// be lost. Whether it is in force everywhere is another question, which
// RevisionAnswer answers.
type ChangeResponse struct {
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
	// Changes is the difference that the change made; empty for a repeat.
	Changes []Difference `json:"changes"`
	// Unchanged is set when nothing had to change or the operation was a repeat.
	Unchanged bool   `json:"unchanged,omitempty"`
	Operation string `json:"operation-id,omitempty"`
}

// Difference is the difference of one team or entry.
type Difference struct {
	Op     string   `json:"op"`
	Kind   string   `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"`
}

// String returns "+ service orders", "~ team acme (share: 1 -> 2)" or "- queue plans".
func (d Difference) String() string {
	signs := map[string]string{"add": "+", "change": "~", "remove": "-"}
	text := signs[d.Op] + " " + d.Kind + " " + d.Name
	for i, field := range d.Fields {
		separator := ", "
		if i == 0 {
			separator = " ("
		}
		text += separator + field
	}
	if len(d.Fields) > 0 {
		text += ")"
	}
	return text
}

// GiveKeyRequest registers a key whose secret only its maker knows.
type IssueKeyRequest struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret's characters.
	Hash      []byte `json:"hash"`
	Operation string `json:"operation-id,omitempty"`
}

// Key is a key without its secret.
type Key struct {
	ID        string `json:"id"`
	Team      string `json:"team"`
	Withdrawn bool   `json:"withdrawn"`
	Revision  uint64 `json:"revision"`
}

// RevisionAnswer tells where a revision is in force.
type RevisionResponse struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in-force"`
	// Confirmed and Missing name the processes of the roster.
	Confirmed []string `json:"confirmed"`
	Missing   []string `json:"missing"`
}

// Charge is a charge with the run that it rests on.
type Charge struct {
	ID string `json:"id"`
	Run
}

// Run is one run of a request or task.
type Run struct {
	Run      string `json:"run"`
	Entry    string `json:"entry"`
	Team     string `json:"team"`
	Endpoint string `json:"endpoint,omitempty"`
	// Process is the one that dispatched the run.
	Process string    `json:"process,omitempty"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	// Evidence tells how it is known that the run took place, or why it is not.
	Evidence string `json:"evidence,omitempty"`
}

// Member is a process of the roster.
type Member struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	DataCentre  string `json:"data-centre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the newest that the process confirmed.
	Revision uint64 `json:"revision"`
	State    string `json:"state"`
}
