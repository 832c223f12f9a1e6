package admission

import (
	"encoding/json"
	"math"
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
	// BeyondByPriority and BeyondLateByPriority are the work in core-seconds beyond shares at
	// each priority that can be in time, and that is late.
	BeyondByPriority     []float64 `json:"beyond-by-priority,omitempty"`
	BeyondLateByPriority []float64 `json:"beyond-late-by-priority,omitempty"`
	// WaitByPriority and BeyondWaitByPriority are how long the waiting work that can be in
	// time takes to start at the rate of the last seconds, within shares and beyond them.
	// They are empty, or 0 for a priority, if that is not known.
	WaitByPriority       []time.Duration `json:"wait-by-priority,omitempty"`
	BeyondWaitByPriority []time.Duration `json:"beyond-wait-by-priority,omitempty"`
	// Inflow is how many cores the arriving work within shares needs.
	Inflow float64 `json:"inflow,omitempty"`
	// ShortFor is for how long the pool has been short.
	ShortFor time.Duration `json:"short-for"`
}

// Fields returns the outlook's names and values for a log line.
func (p PoolOutlook) Fields() []any {
	return []any{
		"ahead", rounded(p.AheadByPriority), "late", rounded(p.LateByPriority), "beyond-share", rounded(p.BeyondByPriority),
		"beyond-share-late", rounded(p.BeyondLateByPriority),
		"wait", texts(p.WaitByPriority), "beyond-share-wait", texts(p.BeyondWaitByPriority),
		"cores", p.Cores, "inflow", math.Round(p.Inflow), "short-for", p.ShortFor.Round(time.Millisecond).String(),
	}
}

// rounded rounds amounts of work.
func rounded(amounts []float64) []float64 {
	out := make([]float64, 0, len(amounts))
	for _, amount := range amounts {
		out = append(out, math.Round(amount))
	}
	return out
}

// texts returns the texts of durations.
func texts(durations []time.Duration) []string {
	out := make([]string, 0, len(durations))
	for _, d := range durations {
		out = append(out, d.Round(time.Millisecond).String())
	}
	return out
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
