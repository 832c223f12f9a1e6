// Package claim decides which attempt of a request with an idempotency key may
// run, so that the request runs at most once.
//
// Every claim on an ID goes through the process that is the ID's primary replica.
// The primary makes a claim durable before it grants it: by a conditional insert
// into the platform's table, with many claims per transaction, or, while the table
// is unavailable, by having the ID's secondary replica record the claim too. Both
// replicas write such claims to the table when it is available again, and only
// then does a roster change move an ID to another primary (see roster.Status).
//
// A primary may grant without the table only in buckets that it has loaded, because
// there it knows every claim made within the retention period. A process that has
// just started has loaded none, so it refuses until the table is available.
//
// A Replica does no I/O: each method takes the current time and returns the
// effects to execute. It is not safe for concurrent use: one goroutine of the
// adapter owns it and passes it every message in turn.
//
// # Usage
//
//	replica := claim.New(claim.Config{Self: self, Retention: time.Hour})
//	effects := replica.ApplyRoster(now, members, row.Version)
//	effects = append(effects, replica.Request(now, request)...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case claim.Commit: // call the table, then replica.HandleTableResult
//		case claim.AskSecondary: // send to a peer, which calls replica.Mirror
//		case claim.Answer: // return to the claimant
//		}
//	}
//
// A claimant dispatches only on an Answer with OutcomeGranted, and only once per
// Token. If it gives up before, it must never dispatch for that Token and calls
// Release. After the run it calls Finish. On OutcomeMoved it gives up the Token
// and asks the new primary with another one.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Buckets is the number of hash buckets by which IDs are distributed over the
// entry processes.
const Buckets = 256

// keyPrefix is the prefix of the roster keys and row keys of all claims.
const keyPrefix = "claim/"

// ID identifies a request. A caller that repeats a request sends the same ID.
type ID struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Bucket returns the ID's hash bucket, in [0, Buckets).
func (id ID) Bucket() int {
	return int(xxhash.Sum64String(id.canonical()) % Buckets)
}

// Hash returns a hash that identifies the ID in row keys and dumps without
// disclosing it.
func (id ID) Hash() string {
	sum := sha256.Sum256([]byte(id.canonical()))
	return hex.EncodeToString(sum[:])
}

// RowKey returns the key of the ID's row in the table.
func (id ID) RowKey() string {
	return bucketPrefix(id.Bucket()) + id.Hash()
}

// canonical returns a string that is different for different IDs.
func (id ID) canonical() string {
	return fmt.Sprintf("%q %q %q", id.Team, id.Service, id.Key)
}

// BucketKey returns the roster key of a bucket. The roster's pair for that key are
// the replicas of the bucket's IDs.
func BucketKey(bucket int) string {
	return fmt.Sprintf("%s%03d", keyPrefix, bucket)
}

// BucketKeys returns the roster keys of all buckets, for roster.Prune.
func BucketKeys() []string {
	keys := make([]string, Buckets)
	for i := range keys {
		keys[i] = BucketKey(i)
	}
	return keys
}

// bucketPrefix returns the prefix of a bucket's row keys.
func bucketPrefix(bucket int) string {
	return BucketKey(bucket) + "/"
}

// State is the state of a claimed attempt, as far as it is known.
type State string

// States of a claim.
const (
	// StateClaimed means that the request may have been dispatched.
	StateClaimed State = "claimed"
	// StateNotRun means that the claimant has proved that no byte of the request
	// was sent.
	StateNotRun State = "not-run"
	// StateUnknown means that the request was dispatched and its outcome will not
	// become known.
	StateUnknown State = "unknown"
	// StateRan means that the endpoint's complete answer was received.
	StateRan State = "ran"
)

// certainty orders the states of one attempt: a higher one replaces a lower one.
func (s State) certainty() int {
	switch s {
	case StateClaimed:
		return 1
	case StateNotRun:
		return 2
	case StateUnknown:
		return 3
	case StateRan:
		return 4
	default:
		return 0
	}
}

// Token identifies one attempt of one claimant at one primary. A token must not be
// presented to two primaries: one could withdraw the claim that the other grants.
type Token struct {
	Claimant roster.Identity `json:"claimant"`
	Primary  roster.Identity `json:"home"`
	Sequence uint64          `json:"sequence"`
}

// Result is the recorded answer of a run. If the body is larger than the adapter's
// limit, it is omitted and Complete is false.
type Result struct {
	Status   int                 `json:"status"`
	Header   map[string][]string `json:"header,omitempty"`
	Body     []byte              `json:"body,omitempty"`
	Complete bool                `json:"whole"`
}

// Record is the value of a claim row. Generation starts at 1 and grows by one with
// each attempt that is claimed after the earlier one was released or has expired.
type Record struct {
	ID         ID        `json:"id"`
	Digest     string    `json:"digest"`
	Token      Token     `json:"token"`
	Generation uint64    `json:"generation"`
	State      State     `json:"state"`
	ClaimedAt  time.Time `json:"claimed-at"`
	RunsUntil  time.Time `json:"runs-until"`
	Expires    time.Time `json:"expires"`
	Result     *Result   `json:"result,omitempty"`
}

// Merge combines two records of the same ID. It is used wherever a record may
// exist in two places: the primary, the secondary and the table.
func Merge(a, b Record) Record {
	if a.Generation != b.Generation {
		if a.Generation > b.Generation {
			return a
		}
		return b
	}
	if a.Token == b.Token {
		if b.State.certainty() > a.State.certainty() {
			return b
		}
		return a
	}
	return mergeConflicting(a, b)
}

// mergeConflicting merges two different attempts of one generation. At most one of
// them was granted, and the records do not always show which.
func mergeConflicting(a, b Record) Record {
	switch {
	case a.State == StateRan:
		return a
	case b.State == StateRan:
		return b
	case a.State == StateNotRun:
		return b
	case b.State == StateNotRun:
		return a
	}
	a.Token = Token{}
	a.State = StateUnknown
	return a
}

// claimable reports whether a new attempt may be claimed.
func (r Record) claimable(now time.Time) bool {
	return r.Generation == 0 || r.State == StateNotRun || !now.Before(r.Expires)
}

// equivalent reports whether both records describe the same attempt in the same
// state.
func (r Record) equivalent(other Record) bool {
	return r.Generation == other.Generation && r.Token == other.Token && r.State == other.State
}

// encode returns the row value of the record.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// decode decodes a row value. A malformed value was not written by this package;
// it counts as an attempt whose outcome is unknown.
func decode(id ID, value []byte, expires time.Time) Record {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil || record.Generation == 0 {
		return Record{ID: id, Generation: 1, State: StateUnknown, Expires: expires}
	}
	return record
}
