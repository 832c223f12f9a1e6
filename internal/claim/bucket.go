package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// bucket is the state of one hash bucket of IDs. keyState and lostAt are the
// results of roster.Status if this process is the primary; otherwise keyState is
// roster.Pending.
type bucket struct {
	number     int
	key        string
	primary    roster.Member
	secondary  roster.Member
	keyState   roster.KeyState
	lostAt     time.Time
	loaded     bool
	loading    bool
	nextLoadAt time.Time
	entries    map[ID]*entry
}

// newBucket returns a bucket without replicas and entries.
func newBucket(number int) *bucket {
	return &bucket{number: number, key: BucketKey(number), keyState: roster.Pending, entries: make(map[ID]*entry)}
}

// entry is this process's in-memory state of one ID.
type entry struct {
	bucket *bucket
	id     ID
	record Record
	// pending is the claim that is not durable yet, if any.
	pending *pendingClaim
	// rowVersion is the row's version if rowKnown.
	rowVersion uint64
	rowKnown   bool
	// dirty is set while the table may not hold record.
	dirty bool
	// unpersistedVersion is the roster version at which record was granted or
	// mirrored without the table, or 0.
	unpersistedVersion uint64
	queued             bool
	inBatch            bool
}

// pendingClaim is a claim that is being made durable.
type pendingClaim struct {
	record    Record
	createdAt time.Time
	// maybeRecorded is set once the table or the secondary may have recorded the
	// claim.
	maybeRecorded    bool
	secondaryAskedAt time.Time
}

// idle reports whether the entry can be removed without loss.
func (e *entry) idle() bool {
	return e.pending == nil && !e.dirty && !e.inBatch
}

// mergeRow merges the record of a row into the entry.
func (e *entry) mergeRow(record Record, version uint64) {
	e.rowVersion = version
	e.rowKnown = true
	merged := Merge(e.record, record)
	e.dirty = !merged.equivalent(record)
	e.record = merged
	e.clearUnpersisted()
}

// clearUnpersisted clears unpersistedVersion if the table holds the record.
func (e *entry) clearUnpersisted() {
	if !e.dirty {
		e.unpersistedVersion = 0
	}
}
