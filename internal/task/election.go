package task

import (
	"encoding/json"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Claim is the value of a shard's fence row: who manages it, since which epoch.
type Claim struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// beat is the value of a shard's heartbeat row.
type beat struct {
	Released bool `json:"released,omitempty"`
}

// ElectionConfig describes one candidate for one shard.
type ElectionConfig struct {
	Shard string
	// Holder names the process and differs from incarnation to incarnation.
	Holder string
	// Patience is how long a heartbeat may stand still before a candidate
	// claims the shard.
	HeartbeatTimeout time.Duration
}

// Election decides when a process claims a shard. A wrong guess costs a change
// of managers and nothing else, for every write rests on the fence row.
type Election struct {
	cfg   ElectionConfig
	seen  uint64
	since time.Time
}

// NewElection returns a candidate that has seen nothing.
func NewElection(cfg ElectionConfig) *Election {
	return &Election{cfg: cfg}
}

// Keys are the rows that Observe and Won need, in order.
func (e *Election) Keys() []string {
	return []string{"fence/task/" + e.cfg.Shard, "beat/task/" + e.cfg.Shard}
}

// Unseen forgets how long the heartbeat stood still, for it could not be read.
func (e *Election) ResetTimeout() {
	e.since = time.Time{}
}

// Observe takes in the rows as read at now. It returns a claim to commit once
// the heartbeat has stood still too long or the shard was released.
func (e *Election) Observe(now time.Time, rows []table.Row) (table.Txn, bool) {
	fence, heart := rows[0], rows[1]
	if e.since.IsZero() || heart.Version != e.seen {
		e.seen = heart.Version
		e.since = now
	}
	var last beat
	released := heart.Version != table.Absent && json.Unmarshal(heart.Value, &last) == nil && last.Released
	free := fence.Version == table.Absent || released
	if !free && now.Sub(e.since) < e.cfg.HeartbeatTimeout {
		return table.Txn{}, false
	}
	claim := Claim{Holder: e.cfg.Holder, Epoch: claimOf(fence).Epoch + 1}
	return table.Txn{
		Conditions: []table.Condition{
			{Key: fence.Key, Version: fence.Version},
			{Key: heart.Key, Version: heart.Version},
		},
		Writes: []table.Write{
			{Key: fence.Key, Value: encode(claim)},
			{Key: heart.Key, Value: encode(beat{})},
		},
	}, true
}

// Won reports whether the rows, read after a claim, show this process as the
// holder, and under which fence and epoch.
func (e *Election) Won(rows []table.Row) (table.Condition, uint64, bool) {
	claim := claimOf(rows[0])
	fence := table.Condition{Key: rows[0].Key, Version: rows[0].Version}
	return fence, claim.Epoch, claim.Holder == e.cfg.Holder && claim.Epoch > 0
}

// Current is the last claim that the rows show.
func (e *Election) CurrentClaim(rows []table.Row) Claim {
	return claimOf(rows[0])
}

// Beat is the heartbeat that a holder commits, at several times the rate that
// the others' patience asks for; with release, others may claim at once.
func (e *Election) Heartbeat(fence table.Condition, release bool) table.Txn {
	return table.Txn{
		Conditions: []table.Condition{fence},
		Writes:     []table.Write{{Key: e.Keys()[1], Value: encode(beat{Released: release})}},
	}
}

// claimOf reads a fence row; an absent or broken one holds no claim.
func claimOf(row table.Row) Claim {
	var claim Claim
	if row.Version == table.Absent || json.Unmarshal(row.Value, &claim) != nil {
		return Claim{}
	}
	return claim
}
