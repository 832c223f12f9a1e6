package api

import "time"

// Evacuation is a data centre in which no new work starts.
type Evacuation struct {
	DataCentre string `json:"data-centre"`
	// Since is when the request was accepted; the zero time if that cannot be
	// read any more.
	Since time.Time `json:"since,omitzero"`
	// Revision is the revision that added the request.
	Revision uint64 `json:"revision"`
	// Hosts lists the data centre's hosts with what still runs there.
	Hosts []EvacuatedHost `json:"hosts"`
	// Missing names the processes that have not confirmed the request. What they
	// run is not in the counts.
	Missing []string `json:"missing"`
}

// EvacuatedHost is a host of an evacuated data centre.
type EvacuatedHost struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Requests and Tasks count what may still run on the host.
	Requests int `json:"requests"`
	Tasks    int `json:"tasks"`
}
