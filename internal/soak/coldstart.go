package soak

import (
	"time"
)

const (
	// coldStartJobs is the number of jobs that are submitted at once in a cold start, and
	// coldStartAttempts how often each is: the nodes take a while until they serve.
	coldStartJobs, coldStartAttempts = 150, 20
	// coldStartHaste is how many times as fast the faults of a plan follow each other.
	coldStartHaste = 3
	// coldStartLag is for how long the host list lags from the start.
	coldStartLag = 2 * maxRowLag
	// coldStartPause is the longest time until a host has its endpoint.
	coldStartPause = time.Second
)

// hasten returns the faults of a plan in the first part of its time.
func hasten(plan []Fault) []Fault {
	for i := range plan {
		plan[i].At /= coldStartHaste
	}
	return plan
}

// coldStart returns the faults of a cold start, with those of a plan: the host list lags from
// the start, and each host begins with an endpoint that replaces the one that the list shows.
func coldStart(plan []Fault, endpoints int) []Fault {
	faults := []Fault{{Kind: HostListLags, Duration: coldStartLag}}
	for n := range endpoints {
		faults = append(faults, Fault{Kind: EndpointReplaced, Target: n, Duration: coldStartPause * time.Duration(n) / time.Duration(endpoints)})
	}
	return append(faults, hasten(plan)...)
}
