package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// bucket is the state of one part of the ids.
type bucket struct {
	number   int
	key      string
	home     roster.Member
	second   roster.Member
	standing roster.KeyState
	lostAt   time.Time
	loaded   bool
	loading  bool
	retryAt  time.Time
	entries  map[ID]*entry
}

// newBucket returns an empty bucket.
func newBucket(number int) *bucket {
	return &bucket{number: number, key: BucketKey(number), standing: roster.Pending, entries: make(map[ID]*entry)}
}

// entry is what this process holds of one id.
type entry struct {
	bucket *bucket
	id     ID
	record Record
	// pending is a claim that is not durable yet.
	pending *pending
	// rowVersion is the row's version if rowKnown.
	rowVersion uint64
	rowKnown   bool
	// dirty means that the table may lack what record says.
	dirty bool
	// owed is the roster version under which record was granted or mirrored
	// without the table; 0 if it was not.
	owed   uint64
	queued bool
	busy   bool
}

// pending is a claim on its way to become durable.
type pending struct {
	record Record
	since  time.Time
	// tried means that table or second may have recorded the claim.
	tried   bool
	askedAt time.Time
}

// idle reports whether the entry can be dropped without loss.
func (e *entry) idle() bool {
	return e.pending == nil && !e.dirty && !e.busy
}

// absorb merges a row that was read into the entry.
func (e *entry) absorb(record Record, version uint64) {
	e.rowVersion = version
	e.rowKnown = true
	merged := Merge(e.record, record)
	e.dirty = !merged.same(record)
	e.record = merged
	e.clean()
}

// clean notes that the table holds the record, unless it is dirty.
func (e *entry) clean() {
	if !e.dirty {
		e.owed = 0
	}
}
