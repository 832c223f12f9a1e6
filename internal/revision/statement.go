package revision

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of a process: a restarted process is another
// member.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// digestOf returns a hash of a sorted list of members.
func digestOf(members []Member) uint64 {
	digest := xxhash.New()
	for _, member := range members {
		_, _ = fmt.Fprintf(digest, "%q %d\n", member.Name, member.Incarnation) // never fails
	}
	return digest.Sum64()
}

// Statement is a process's reply to a peer that requests its knowledge of the
// configuration. It must be made after the request arrived.
type Statement struct {
	From Member `json:"from"`
	// Revision is the newest revision that the process knows to exist.
	Revision uint64 `json:"revision"`
	// Unresolved means that the process sent a commit whose outcome it does not
	// know, so a newer revision may exist.
	Unresolved bool `json:"unsettled,omitempty"`
	// Final means that the process makes no more commits.
	Final bool `json:"final,omitempty"`
	// Managers lists the managers that may commit, as far as the process knows.
	// It is empty if the process knows no roster, or if the requesting process
	// knows the same managers.
	Managers []Member `json:"managers,omitempty"`
	// TableRevision was the newest revision in the table at least until
	// TableAge before the statement. Both are valid only if TableKnown is set.
	TableKnown    bool          `json:"table-known,omitempty"`
	TableRevision uint64        `json:"table-revision,omitempty"`
	TableAge      time.Duration `json:"table-age,omitempty"`
}
