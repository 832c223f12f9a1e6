package revision

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one run of a process: a restarted process is another member.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// digestOf identifies a sorted list of members.
func digestOf(members []Member) uint64 {
	digest := xxhash.New()
	for _, member := range members {
		_, _ = fmt.Fprintf(digest, "%q %d\n", member.Name, member.Incarnation) // never fails
	}
	return digest.Sum64()
}

// Statement is what a process tells a peer that asks for its knowledge. It
// must be made after the request arrived.
type Statement struct {
	From Member `json:"from"`
	// Revision is the newest revision that the process has heard of.
	Revision uint64 `json:"revision"`
	// Unsettled means that the process sent a commit whose outcome it does not
	// know: a newer revision may exist.
	Unresolved bool `json:"unsettled,omitempty"`
	// Final means that the process commits nothing any more.
	Final bool `json:"final,omitempty"`
	// Managers are those that may commit, as far as the process knows; empty
	// when it does not know, or when the asking process knows the same.
	Managers []Member `json:"managers,omitempty"`
	// TableRevision was the newest revision in the table at least until
	// TableAge before the statement; it counts when TableKnown is set.
	TableKnown    bool          `json:"table-known,omitempty"`
	TableRevision uint64        `json:"table-revision,omitempty"`
	TableAge      time.Duration `json:"table-age,omitempty"`
}
