package claim

import (
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Snapshot is the state of a Holder for the dump. Ids are hashed.
type Snapshot struct {
	Self           roster.Identity `json:"self"`
	RosterVersion  uint64          `json:"roster-version"`
	Acknowledged   uint64          `json:"acknowledged"`
	TableUp        bool            `json:"table-up"`
	Claims         int             `json:"claims"`
	Unpersisted    int             `json:"unwritten"`
	PrimaryBuckets int             `json:"home-buckets"`
	LoadedBuckets  int             `json:"loaded-buckets"`
	WaitingBuckets int             `json:"waiting-buckets"`
	LostBuckets    int             `json:"lost-buckets"`
	Pending        []SnapshotClaim `json:"pending,omitempty"`
}

// SnapshotClaim is one claim that the table may not have yet.
type SnapshotClaim struct {
	IDHash             string `json:"id-hash"`
	State              State  `json:"state"`
	UnpersistedVersion uint64 `json:"owed-version,omitempty"`
}

// maxSnapshotClaims bounds the claims that a dump lists.
const maxSnapshotClaims = 100

// Snapshot returns the present state.
func (h *Replica) Snapshot() Snapshot {
	unwritten := h.unwritten()
	s := Snapshot{
		Self:          h.config.Self,
		RosterVersion: h.roster.Version,
		Acknowledged:  h.acked,
		TableUp:       h.tableUp,
		Claims:        h.count,
		Unpersisted:   len(unwritten),
	}
	for _, b := range h.buckets {
		s.countBucket(b)
	}
	for _, e := range unwritten[:min(len(unwritten), maxSnapshotClaims)] {
		s.Pending = append(s.Pending, SnapshotClaim{IDHash: e.id.Hash(), State: e.record.State, UnpersistedVersion: e.owed})
	}
	return s
}

// countBucket adds a bucket to the counts.
func (s *Snapshot) countBucket(b *bucket) {
	if b.home.Identity != s.Self {
		return
	}
	s.PrimaryBuckets++
	if b.loaded {
		s.LoadedBuckets++
	}
	switch b.standing {
	case roster.Pending:
		s.WaitingBuckets++
	case roster.Lost:
		s.LostBuckets++
	}
}
