// Package record defines the keys of the rows that the system keeps in the
// platform's store, and the rows' formats: JSON with names in kebab case.
//
// # Usage
//
//	rows, err := store.Scan(ctx, record.JobPrefix(shard))
//	submission, err := job.DecodeSubmission(rows[0].Value)
//	claim, err := record.Decode[record.Claim](row.Value)
//
// Keys have the form table/partition/key. All rows of the fleet's leader are in
// one partition with its claim, so that each of its transactions can be conditional
// on the claim's version: a superseded leader cannot write. Jobs and cancels are
// sharded over several partitions, since a partition runs its transactions one
// after the other.
package record

import (
	"compress/flate"
	"encoding/json"
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/deflate"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// JobShards is the number of partitions for jobs, and for cancels.
const JobShards = 4

// Names of the tables.
const (
	JobTable    = "jobs"
	CancelTable = "cancels"
	// ControlTable holds the leadership claim, its renewal and the transaction sequence.
	ControlTable = "control"
)

// Keys and key prefixes of the leader's partition and of the members.
const (
	ClaimKey         = "control/leader/claim"
	RenewalKey       = "control/leader/renewal"
	SequenceKey      = "control/leader/sequence"
	ProgressPrefix   = "progress/leader/"
	WavePrefix       = "waves/leader/"
	HostChangePrefix = "changes/leader/"
	MemberPrefix     = "members//"
)

// ShardOf returns the number of the partition that holds a job's rows.
func ShardOf(id job.ID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % JobShards)
}

// JobPrefix returns the key prefix of the jobs in one shard.
func JobPrefix(shard int) string {
	return JobTable + "/p" + strconv.Itoa(shard) + "/"
}

// CancelPrefix returns the key prefix of the cancels in one shard.
func CancelPrefix(shard int) string {
	return CancelTable + "/p" + strconv.Itoa(shard) + "/"
}

// JobKey returns the key of an accepted job's submission.
func JobKey(id job.ID) string {
	return JobPrefix(ShardOf(id)) + string(id)
}

// CancelKey returns the key of the row that marks a job as cancelled by its caller.
func CancelKey(id job.ID) string {
	return CancelPrefix(ShardOf(id)) + string(id)
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id job.ID) string {
	return ProgressPrefix + string(id)
}

// WaveKey returns the key of a maintenance wave's progress.
func WaveKey(wave int64) string {
	return WavePrefix + strconv.FormatInt(wave, 10)
}

// HostChangeKey returns the key of a host's latest announced change.
func HostChangeKey(host string) string {
	return HostChangePrefix + host
}

// HostChange announces a move or maintenance of a host, by the leader's wall clock.
type HostChange struct {
	At time.Time `json:"at"`
	// Wave is the wave of a maintenance, or 0.
	Wave int64 `json:"wave,omitempty"`
}

// MemberKey returns the key of a member process's row.
func MemberKey(name string) string {
	return MemberPrefix + name
}

// LastSegment returns the last segment of a key, which holds the ID or name.
func LastSegment(key string) string {
	return key[strings.LastIndexByte(key, '/')+1:]
}

// Claim names the process that leads the fleet. Token increases with each leader.
type Claim struct {
	Token   uint64         `json:"token"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Released is set if another process may claim leadership immediately.
	Released bool `json:"released,omitempty"`
}

// Renewal is what a leader writes each second.
type Renewal struct {
	Token uint64 `json:"token"`
	// Loading is true while the leader reads the rows of its fleet.
	Loading bool `json:"loading,omitempty"`
}

// Sequence numbers a leader's transactions. Each transaction is conditional on the
// version of this row, so that one whose answer was lost cannot be applied after a
// later one.
type Sequence struct {
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
}

// Member is a process of the system.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// CPUCores is the number of CPU cores that the process may use, such as 0.8.
	CPUCores float64 `json:"processor,omitempty"`
	// LinkMbps is the bandwidth of the process's link, in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// RowFormat is the newest form of a job's row that the process reads, or 0 if it is
	// of a version that knows only job.RowJSON.
	RowFormat job.RowFormat `json:"row-format,omitempty"`
}

// leaderMbpsPerCore is the bandwidth that a leader uses per CPU core that it uses.
const leaderMbpsPerCore = 50

// Strength returns how well the process could lead: its CPU cores, or as many as its
// link can keep busy. An unknown bandwidth does not count.
func (m Member) Strength() float64 {
	if m.LinkMbps <= 0 {
		return m.CPUCores
	}
	return min(m.CPUCores, m.LinkMbps/leaderMbpsPerCore)
}

// Wave is the progress of a maintenance wave.
type Wave struct {
	Done     []string `json:"done"`
	Complete bool     `json:"complete,omitempty"`
}

// maxPlainWaveBytes is the size up to which waves are written as plain JSON.
const maxPlainWaveBytes = 16 << 10

// maxWaveBytes bounds what a wave's row may decompress to.
const maxWaveBytes = 8 << 20

// waveMark is the first byte of compressed rows of waves, which no JSON starts with.
const waveMark = 0x02

var waveCodec = deflate.New(deflate.Config{Level: flate.DefaultCompression})

// EncodeWave encodes a wave's row. Those of large waves are compressed if all processes read that.
func EncodeWave(wave Wave, format job.RowFormat) []byte {
	plain := Encode(wave)
	if format < job.RowCompactProgress || len(plain) <= maxPlainWaveBytes {
		return plain
	}
	return waveCodec.Append([]byte{waveMark}, plain)
}

// DecodeWave decodes a wave's row, in any form.
func DecodeWave(value []byte) (Wave, error) {
	if len(value) > 0 && value[0] == waveMark {
		plain, err := waveCodec.Inflate(value[1:], maxWaveBytes)
		if err != nil {
			return Wave{}, errors.Wrap(err, "wave row")
		}
		value = plain
	}
	return Decode[Wave](value)
}

// Decode decodes a row's value.
func Decode[T any](value []byte) (T, error) {
	var out T
	err := json.Unmarshal(value, &out)
	return out, errors.Wrap(err, "decode row")
}

// Encode encodes a row as its value.
func Encode(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		// Cannot happen: rows are of this package's types, which have plain fields only.
		panic(err)
	}
	return value
}
