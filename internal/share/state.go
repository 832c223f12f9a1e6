package share

import "time"

// State is the state of a scheduler in a dump.
type State struct {
	Capacity int         `json:"capacity"`
	Slots    int         `json:"slots"`
	InFlight int         `json:"in-flight"`
	Queued   int         `json:"queued"`
	Debt     float64     `json:"rounding-debt-slot-seconds"`
	Peers    []PeerState `json:"peers"`
	Flows    []FlowState `json:"flows"`
}

// PeerState is the state of a peer in a dump: when its last message arrived.
type PeerState struct {
	Entry   string    `json:"entry"`
	HeardAt time.Time `json:"heard"`
}

// FlowState is the state of one flow at this entry in a dump.
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

// State returns the scheduler's state for the operators' dump.
func (s *Scheduler) State() State {
	out := State{
		Capacity: s.cfg.Capacity,
		Slots:    s.slots,
		InFlight: s.inFlight,
		Queued:   s.queued,
		Debt:     s.debt,
	}
	for _, p := range s.peers {
		out.Peers = append(out.Peers, PeerState{Entry: p.demand.Entry, HeardAt: p.heardAt})
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
