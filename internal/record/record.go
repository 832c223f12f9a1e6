// Package record names the rows that the system keeps in the platform's store,
// and their formats: JSON with names in kebab case.
//
// # Usage
//
//	rows, err := store.Scan(ctx, record.JobPrefix(shard))
//	submission, err := job.DecodeSubmission(rows[0].Value)
//	claim, err := record.Decode[record.Claim](row.Value)
//
// Keys have the form table/part/key. All rows of the fleet's leader lie in one
// part with its claim, so that each of its transactions can carry the claim's
// version as a condition: a leader that has a successor cannot write. Jobs and
// cancels are spread over several parts, since a part takes one transaction
// after the other.
package record

import (
	"encoding/json"
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// JobShards is the number of parts that jobs and cancels are spread over.
const JobShards = 4

// Tables of the system.
const (
	JobTable    = "jobs"
	CancelTable = "cancels"
	// ControlTable holds the claim and its renewal.
	ControlTable = "control"
)

// Keys and prefixes of the leader's part, and of the members.
const (
	ClaimKey         = "control/leader/claim"
	RenewalKey       = "control/leader/renewal"
	SequenceKey      = "control/leader/sequence"
	ProgressPrefix   = "progress/leader/"
	WavePrefix       = "waves/leader/"
	HostChangePrefix = "changes/leader/"
	MemberPrefix     = "members//"
)

// Shard returns the part that holds a job's rows: jobs are spread over parts.
func ShardOf(id job.ID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % JobShards)
}

// JobPrefix starts the keys of one part of the jobs.
func JobPrefix(shard int) string {
	return JobTable + "/p" + strconv.Itoa(shard) + "/"
}

// CancelPrefix starts the keys of one part of the cancels.
func CancelPrefix(shard int) string {
	return CancelTable + "/p" + strconv.Itoa(shard) + "/"
}

// JobKey is the row of a job as it was accepted.
func JobKey(id job.ID) string {
	return JobPrefix(ShardOf(id)) + string(id)
}

// CancelKey is the row that says that a caller cancelled a job.
func CancelKey(id job.ID) string {
	return CancelPrefix(ShardOf(id)) + string(id)
}

// ProgressKey is the row of what has ended of a job.
func ProgressKey(id job.ID) string {
	return ProgressPrefix + string(id)
}

// WaveKey is the row of what has been done of a wave.
func WaveKey(wave int64) string {
	return WavePrefix + strconv.FormatInt(wave, 10)
}

// ChangeKey is the row that says when a host was last about to be changed.
func HostChangeKey(host string) string {
	return HostChangePrefix + host
}

// Change is when, by the time of day of the leader, a host was about to be changed.
type HostChange struct {
	At time.Time `json:"at"`
}

// MemberKey is the row of a process of the system.
func MemberKey(name string) string {
	return MemberPrefix + name
}

// IDOf returns the last part of a key.
func LastSegment(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}

// Claim says which process leads the fleet. Token grows with each leader.
type Claim struct {
	Token   uint64         `json:"token"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Released claims may be taken at once.
	Released bool `json:"released,omitempty"`
}

// Sequence numbers a leader's transactions. Each one rests on the row's version,
// so that one whose answer was lost cannot be carried out after a later one.
type Sequence struct {
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
}

// Member is a process of the system.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Processor is the part of a core that the process has.
	Processor float64 `json:"processor,omitempty"`
}

// Wave is what has been done of a wave of upkeep.
type Wave struct {
	Done     []string `json:"done"`
	Complete bool     `json:"complete,omitempty"`
}

// Decode reads a row's value.
func Decode[T any](value []byte) (T, error) {
	var out T
	err := json.Unmarshal(value, &out)
	return out, errors.Wrap(err, "decode row")
}

// Encode returns a row's value.
func Encode(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		// The rows' types are this package's: plain fields alone.
		panic(err)
	}
	return value
}
