// Package claim decides which attempt of a request with an idempotency key may
// run, so that the request runs at most once.
//
// Every claim on an id goes through the id's home entry. The home makes the
// claim durable before it grants it: by a conditional insert into the
// platform's table, many claims in one transaction, or, while the table does
// not answer, by having the id's second entry record it as well. Both flush
// such claims to the table when it returns, and a roster change moves an id to
// another home only after that (see roster.Status).
//
// A home may grant without the table only for buckets that it has loaded: it
// then knows every claim made within the retention. A process that has just
// started has loaded none, so it refuses until the table is back.
//
// A Holder does no input or output: each method takes the present time and
// returns the effects to carry out. It is not safe for concurrent use; one
// goroutine of the adapter owns it and feeds it every message in turn.
//
// # Usage
//
//	holder := claim.New(claim.Config{Self: self, Retention: time.Hour})
//	effects := holder.RosterChange(now, members, row.Version)
//	effects = append(effects, holder.Request(now, request)...)
//	for _, effect := range effects {
//		switch effect := effect.(type) {
//		case claim.Commit: // call the table, then holder.TableAnswer
//		case claim.AskSecond: // send to a peer, which calls holder.Mirror
//		case claim.Answer: // return to the claimant
//		}
//	}
//
// A claimant dispatches on an Answer with OutcomeGranted only, and only once
// for each Token. If it gives up before, it never dispatches for that Token
// and calls Release; after the run it calls Finish. On OutcomeMoved it gives
// the Token up and asks the new home under another one.
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

// Buckets is the number of parts into which ids are divided among the entries.
const Buckets = 256

// rowPrefix starts the keys of all claim rows.
const rowPrefix = "claim/"

// ID is what a caller repeats to mean the same request.
type ID struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Key     string `json:"key"`
}

// Bucket returns the id's part, in [0, Buckets).
func (id ID) Bucket() int {
	return int(xxhash.Sum64String(id.joined()) % Buckets)
}

// Hash identifies the id in row keys and dumps without disclosing it.
func (id ID) Hash() string {
	sum := sha256.Sum256([]byte(id.joined()))
	return hex.EncodeToString(sum[:])
}

// RowKey is the id's row in the table.
func (id ID) RowKey() string {
	return bucketPrefix(id.Bucket()) + id.Hash()
}

// joined separates the fields so that no two ids give the same string.
func (id ID) joined() string {
	return fmt.Sprintf("%q %q %q", id.Team, id.Service, id.Key)
}

// BucketKey is the roster key of a bucket; its pair answers for its ids.
func BucketKey(bucket int) string {
	return fmt.Sprintf("%s%03d", rowPrefix, bucket)
}

// BucketKeys returns the roster keys of all buckets, for roster.Prune.
func BucketKeys() []string {
	keys := make([]string, Buckets)
	for i := range keys {
		keys[i] = BucketKey(i)
	}
	return keys
}

// bucketPrefix starts the row keys of a bucket.
func bucketPrefix(bucket int) string {
	return BucketKey(bucket) + "/"
}

// State is what is known of a claim.
type State string

// States of a claim.
const (
	// StateClaimed: the first byte may have gone out.
	StateClaimed State = "claimed"
	// StateNotRun: the claimant proved that no byte went out.
	StateNotRun State = "not-run"
	// StateUnknown: dispatched, and the outcome will not be known.
	StateUnknown State = "unknown"
	// StateRan: the endpoint's whole answer arrived.
	StateRan State = "ran"
)

// rank orders the states of one attempt by how much they say.
func (s State) rank() int {
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

// Token names one attempt of one claimant at one home. Were it presented to two
// homes, one could withdraw what the other grants.
type Token struct {
	Claimant roster.Identity `json:"claimant"`
	Primary  roster.Identity `json:"home"`
	Sequence uint64          `json:"sequence"`
}

// Result is the recorded answer of a run. A body beyond the adapter's bound is
// left out, and Whole is false.
type Result struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Whole  bool                `json:"whole"`
}

// Record is the value of a claim row. Generation counts the attempts that were
// claimed after earlier ones were released.
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

// Merge returns what both records together say. It is used wherever a record
// can be held in two places: home, second and table.
func Merge(a, b Record) Record {
	if a.Generation != b.Generation {
		if a.Generation > b.Generation {
			return a
		}
		return b
	}
	if a.Token == b.Token {
		if b.State.rank() > a.State.rank() {
			return b
		}
		return a
	}
	return mergeRivals(a, b)
}

// mergeRivals merges two attempts of one generation. At most one was granted,
// and the records alone do not always tell which.
func mergeRivals(a, b Record) Record {
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

// open reports whether a new attempt may be claimed.
func (r Record) open(now time.Time) bool {
	return r.Generation == 0 || r.State == StateNotRun || !now.Before(r.Expires)
}

// same reports whether the record says as much as other.
func (r Record) same(other Record) bool {
	return r.Generation == other.Generation && r.Token == other.Token && r.State == other.State
}

// encode returns the row's value.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// decode reads a row's value. A row that does not decode was not written by
// this package; it counts as an attempt whose outcome is unknown.
func decode(id ID, value []byte, expires time.Time) Record {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil || record.Generation == 0 {
		return Record{ID: id, Generation: 1, State: StateUnknown, Expires: expires}
	}
	return record
}
