package claim

import (
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Snapshot is the state of a Replica for the dump. IDs are hashed.
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

// SnapshotClaim is a claim that may not be in the table yet.
type SnapshotClaim struct {
	IDHash             string `json:"id-hash"`
	State              State  `json:"state"`
	UnpersistedVersion uint64 `json:"owed-version,omitempty"`
}

// maxSnapshotClaims is the maximum number of claims listed in a dump.
const maxSnapshotClaims = 100

// Snapshot returns the current state.
func (r *Replica) Snapshot() Snapshot {
	unpersisted := r.unpersistedEntries()
	s := Snapshot{
		Self:          r.config.Self,
		RosterVersion: r.roster.Version,
		Acknowledged:  r.ackedVersion,
		TableUp:       r.tableUp,
		Claims:        r.entryCount,
		Unpersisted:   len(unpersisted),
	}
	for _, b := range r.buckets {
		s.countBucket(b)
	}
	for _, e := range unpersisted[:min(len(unpersisted), maxSnapshotClaims)] {
		s.Pending = append(s.Pending, SnapshotClaim{IDHash: e.id.Hash(), State: e.record.State, UnpersistedVersion: e.unpersistedVersion})
	}
	return s
}

// countBucket adds a bucket to the counts if this process is its primary.
func (s *Snapshot) countBucket(b *bucket) {
	if b.primary.Identity != s.Self {
		return
	}
	s.PrimaryBuckets++
	if b.loaded {
		s.LoadedBuckets++
	}
	switch b.keyState {
	case roster.Pending:
		s.WaitingBuckets++
	case roster.Lost:
		s.LostBuckets++
	}
}
