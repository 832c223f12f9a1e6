package task

import (
	"encoding/json"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Claim is the value of a shard's fence row: the process that manages the shard
// and its epoch.
type Claim struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// heartbeat is the value of a shard's heartbeat row.
type heartbeat struct {
	Released bool `json:"released,omitempty"`
}

// ElectionConfig configures one candidate for one shard.
type ElectionConfig struct {
	Shard string
	// Holder names the process and differs from incarnation to incarnation.
	Holder string
	// HeartbeatTimeout is how long the heartbeat row may stay unchanged before
	// a candidate claims the shard.
	HeartbeatTimeout time.Duration
}

// Election decides when a process claims a shard. A premature claim costs a
// change of managers and nothing else, since every write is conditional on the
// fence row.
type Election struct {
	cfg              ElectionConfig
	heartbeatVersion uint64
	unchangedSince   time.Time
	// claim is the last one that Observe has returned.
	claim Claim
}

// NewElection returns a candidate that has not observed any heartbeat.
func NewElection(cfg ElectionConfig) *Election {
	return &Election{cfg: cfg}
}

// Keys returns the keys of the rows that Observe and Won need, in order.
func (e *Election) Keys() []string {
	return []string{"fence/task/" + e.cfg.Shard, "beat/task/" + e.cfg.Shard}
}

// ResetTimeout restarts the heartbeat timeout. It is called when the rows could
// not be read.
func (e *Election) ResetTimeout() {
	e.unchangedSince = time.Time{}
}

// Observe processes the rows as read at now. It returns a claim to commit if the
// heartbeat has timed out or the shard is free or was released.
func (e *Election) Observe(now time.Time, rows []table.Row) (table.Txn, bool) {
	fence, heartbeatRow := rows[0], rows[1]
	if e.unchangedSince.IsZero() || heartbeatRow.Version != e.heartbeatVersion {
		e.heartbeatVersion = heartbeatRow.Version
		e.unchangedSince = now
	}
	var lastHeartbeat heartbeat
	released := heartbeatRow.Version != table.Absent && json.Unmarshal(heartbeatRow.Value, &lastHeartbeat) == nil && lastHeartbeat.Released
	free := fence.Version == table.Absent || released
	if !free && now.Sub(e.unchangedSince) < e.cfg.HeartbeatTimeout {
		return table.Txn{}, false
	}
	e.claim = Claim{Holder: e.cfg.Holder, Epoch: decodeClaim(fence).Epoch + 1}
	return table.Txn{
		Conditions: []table.Condition{
			{Key: fence.Key, Version: fence.Version},
			{Key: heartbeatRow.Key, Version: heartbeatRow.Version},
		},
		Writes: []table.Write{
			{Key: fence.Key, Value: encode(e.claim)},
			{Key: heartbeatRow.Key, Value: encode(heartbeat{})},
		},
	}, true
}

// Won reports whether the rows hold the last claim that Observe has returned, and
// returns the fence condition and the epoch. An earlier claim of the same process does
// not count: its epoch was that of a term that has ended.
func (e *Election) Won(rows []table.Row) (table.Condition, uint64, bool) {
	claim := decodeClaim(rows[0])
	fence := table.Condition{Key: rows[0].Key, Version: rows[0].Version}
	return fence, claim.Epoch, claim == e.claim && claim.Epoch > 0
}

// CurrentClaim returns the claim that the rows hold.
func (e *Election) CurrentClaim(rows []table.Row) Claim {
	return decodeClaim(rows[0])
}

// Heartbeat returns the transaction that a holder commits several times per
// heartbeat timeout. With release set, other candidates may claim the shard at
// once.
func (e *Election) Heartbeat(fence table.Condition, release bool) table.Txn {
	return table.Txn{
		Conditions: []table.Condition{fence},
		Writes:     []table.Write{{Key: e.Keys()[1], Value: encode(heartbeat{Released: release})}},
	}
}

// decodeClaim decodes a fence row. An absent or malformed row holds no claim.
func decodeClaim(row table.Row) Claim {
	var claim Claim
	if row.Version == table.Absent || json.Unmarshal(row.Value, &claim) != nil {
		return Claim{}
	}
	return claim
}
