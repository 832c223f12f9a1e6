package api

// Host is a host with its assignment to a pool.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	// Phase is serving, draining or drained.
	Phase string `json:"phase"`
	// Purpose is move or maintenance while the host does not serve.
	Purpose string `json:"purpose,omitempty"`
	// Target is the pool that the host serves next.
	Target string `json:"target,omitempty"`
	Epoch  uint64 `json:"epoch"`
	// Listed is set when the platform lists the host; State is the listed state.
	Listed bool   `json:"listed"`
	State  string `json:"state,omitempty"`
}

// DrainRequest asks that a host take no new work.
type DrainRequest struct {
	// Purpose is move or maintenance.
	Purpose string `json:"purpose"`
	// Target is the pool that a moving host serves next.
	Target string `json:"target,omitempty"`
}

// Wave is a round of maintenance over the hosts of a pool.
type Wave struct {
	Pool string `json:"pool"`
	// Need is the number of hosts that carry the pool's load.
	Need int `json:"need"`
	// Verdict is go, hold, stopped or finished; Reason explains it.
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
	// Hosts maps each host to its state: pending, down, done, failed or lost.
	Hosts map[string]string `json:"hosts"`
}

// WaveRequest starts a wave.
type WaveRequest struct {
	Pool string `json:"pool"`
	Need int    `json:"need"`
}
