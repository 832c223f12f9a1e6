package share

import "time"

// State is the scheduler's part of a dump.
type State struct {
	Capacity int         `json:"capacity"`
	Slots    int         `json:"slots"`
	InFlight int         `json:"in-flight"`
	Queued   int         `json:"queued"`
	Debt     float64     `json:"rounding-debt-slot-seconds"`
	Peers    []PeerState `json:"peers"`
	Flows    []FlowState `json:"flows"`
}

// PeerState tells when a peer was last heard.
type PeerState struct {
	Entry   string    `json:"entry"`
	HeardAt time.Time `json:"heard"`
}

// FlowState is one flow at this entry.
type FlowState struct {
	Flow
	Weight       float64 `json:"weight"`
	InFlight     int     `json:"in-flight"`
	Queued       int     `json:"queued"`
	Quota        float64 `json:"quota-slots"`
	Credit       float64 `json:"deficit-slot-seconds"`
	Lag          float64 `json:"lag-slot-seconds"`
	MeanDuration string  `json:"mean-duration"`
}

// State reports what the scheduler knows, for the operators' dump.
func (s *Scheduler) State() State {
	out := State{
		Capacity: s.cfg.Capacity,
		Slots:    s.slots,
		InFlight: s.inFlight,
		Queued:   s.queued,
		Debt:     s.debt,
	}
	for _, p := range s.peers {
		out.Peers = append(out.Peers, PeerState{Entry: p.demand.Entry, HeardAt: p.heard})
	}
	for i, f := range s.flows {
		out.Flows = append(out.Flows, FlowState{
			Flow:         f.Flow,
			Weight:       s.weights[i],
			InFlight:     f.inFlight,
			Queued:       f.queue.size,
			Quota:        f.quota,
			Credit:       f.credit,
			Lag:          f.lag,
			MeanDuration: time.Duration(f.duration * float64(time.Second)).String(),
		})
	}
	return out
}
