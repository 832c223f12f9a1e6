package admission

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Outlook is what the leader expects for new jobs. It is empty while no pool is short.
type Outlook struct {
	// Pools holds the pools that are short of capacity.
	Pools map[string]PoolOutlook `json:"pools,omitempty"`
	// UnavailableLabels lists the labels that no endpoint which accepts work carries.
	UnavailableLabels []string `json:"unavailable-labels,omitempty"`
	// NoDataCentre is set if no data centre accepts work.
	NoDataCentre bool `json:"no-data-centre,omitempty"`
	// AccountsBeyondShare lists the client accounts whose next job is beyond their share.
	AccountsBeyondShare []string `json:"accounts-beyond-share,omitempty"`
}

// PoolOutlook is the waiting work of a pool that is short. The slices are indexed by
// priority; lower priorities than the last have what the last one has.
type PoolOutlook struct {
	// Cores is the pool's capacity, including hosts on their way to it.
	Cores float64 `json:"cores"`
	// AheadByPriority is the work in core-seconds that precedes a new job within its
	// account's share: all work of higher priorities, and what can be in time within
	// shares at its own.
	AheadByPriority []float64 `json:"ahead-by-priority,omitempty"`
	// LateByPriority is the late work in core-seconds within shares at each priority.
	LateByPriority []float64 `json:"late-by-priority,omitempty"`
	// BeyondByPriority is the work in core-seconds beyond shares at each priority that is
	// in time or late.
	BeyondByPriority []float64 `json:"beyond-by-priority,omitempty"`
	// Inflow is how many cores the arriving work within shares needs.
	Inflow float64 `json:"inflow,omitempty"`
	// ShortFor is for how long the pool has been short.
	ShortFor time.Duration `json:"short-for"`
}

// isEmpty reports whether the outlook says nothing.
func (o Outlook) isEmpty() bool {
	return len(o.Pools) == 0 && len(o.UnavailableLabels) == 0 && !o.NoDataCentre && len(o.AccountsBeyondShare) == 0
}

// Encode returns the outlook as JSON, or nil if it is empty.
func (o Outlook) Encode() []byte {
	if o.isEmpty() {
		return nil
	}
	encoded, err := json.Marshal(o)
	if err != nil {
		// Cannot happen: an outlook holds only plain fields, and its numbers are finite.
		panic(err)
	}
	return encoded
}

// Decode decodes an outlook; no bytes are an empty one.
func Decode(encoded []byte) (Outlook, error) {
	var out Outlook
	if len(encoded) == 0 {
		return out, nil
	}
	err := json.Unmarshal(encoded, &out)
	return out, errors.Wrap(err, "decode outlook")
}
