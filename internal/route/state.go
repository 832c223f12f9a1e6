package route

import (
	"net/netip"
	"time"
)

// State is the state of a picker in a dump.
type State struct {
	Capacity  int             `json:"capacity"`
	Panicking bool            `json:"panicking"`
	Endpoints []EndpointState `json:"endpoints"`
}

// EndpointState is this entry's state of an endpoint in a dump.
type EndpointState struct {
	Address       netip.AddrPort `json:"address"`
	DataCentre    string         `json:"data-centre"`
	Leaving       bool           `json:"leaving"`
	InFlight      int            `json:"in-flight"`
	PeersInFlight int            `json:"peers-in-flight"`
	MeanRunTime   string         `json:"mean-run-time"`
	FailureRatio  float64        `json:"failure-ratio"`
	EjectedUntil  time.Time      `json:"ejected-until,omitzero"`
	Ramp          int            `json:"ramp,omitempty"`
}

// State returns the picker's state for the operators' dump.
func (p *Picker) State(now time.Time) State {
	out := State{Capacity: p.Capacity(now), Panicking: p.panicking()}
	for _, e := range p.endpoints {
		out.Endpoints = append(out.Endpoints, EndpointState{
			Address:       e.Address,
			DataCentre:    e.DataCentre,
			Leaving:       e.Leaving || e.gone,
			InFlight:      e.inFlight,
			PeersInFlight: e.peersInFlight,
			MeanRunTime:   time.Duration(e.runTime * float64(time.Second)).String(),
			FailureRatio:  e.failureRatio,
			EjectedUntil:  e.ejectedUntil,
			Ramp:          e.ramp,
		})
	}
	return out
}
