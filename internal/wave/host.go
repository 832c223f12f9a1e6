package wave

import "time"

// State is the maintenance state of a host in a wave.
type State string

// States of a host.
const (
	// StatePending hosts serve and wait for maintenance.
	StatePending State = "pending"
	// StateDown hosts are under maintenance.
	StateDown State = "down"
	// StateDone hosts have been maintained and serve again.
	StateDone State = "done"
	// StateFailed hosts did not come back from maintenance.
	StateFailed State = "failed"
	// StateLost hosts went down for another reason before their maintenance.
	StateLost State = "lost"
)

// serving reports whether a host in this state carries load.
func (s State) serving() bool { return s == StatePending || s == StateDone }

// Host is one host of the pool.
type Host struct {
	Name       string `json:"name"`
	Rack       string `json:"rack"`
	DataCentre string `json:"data-centre"`
	State      State  `json:"state"`
	// Evacuated hosts carry no load, whatever their state.
	Evacuated bool `json:"evacuated,omitempty"`
	// Since is the time at which the host entered its state. If it is zero, the
	// wave uses the time of the first step with the host in this state.
	Since time.Time `json:"since,omitzero"`
}

// serving reports whether the host carries load.
func (h Host) serving() bool { return !h.Evacuated && h.State.serving() }

// Domain is the kind of failure domain whose loss the pool must survive
// during a wave.
type Domain string

// Kinds of failure domains.
const (
	NoDomain   Domain = "none"
	Rack       Domain = "rack"
	DataCentre Domain = "data-centre"
)

// domainName returns the name of the host's failure domain of this kind.
func (d Domain) domainName(h Host) string {
	switch d {
	case Rack:
		return h.DataCentre + "/" + h.Rack
	case DataCentre:
		return h.DataCentre
	default:
		return ""
	}
}
