package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Dump is a snapshot of the leader's state for operators.
type Dump struct {
	Token     uint64         `json:"token"`
	Endpoints []EndpointDump `json:"endpoints"`
	Jobs      []JobDump      `json:"jobs"`
	Waves     []WaveProgress `json:"waves,omitempty"`
	// Evacuations holds the evacuations in force.
	Evacuations []EvacuationProgress `json:"evacuations,omitempty"`
}

// EndpointDump describes an endpoint in a Dump.
type EndpointDump struct {
	ID        EndpointID `json:"id"`
	Pool      string     `json:"pool"`
	Listed    bool       `json:"listed"`
	Reached   bool       `json:"reached"`
	Draining  bool       `json:"draining"`
	Leaving   bool       `json:"leaving"`
	Evacuated bool       `json:"evacuated,omitempty"`
	// Returning is true while the endpoint takes less work since its data centre returns cold.
	Returning bool             `json:"returning,omitempty"`
	Runs      int              `json:"runs"`
	Available policy.Resources `json:"room"`
	// Slowness is the factor by which the endpoint's tasks take longer than its peers', or 1
	// while that is not known.
	Slowness float64 `json:"slowness"`
}

// JobDump describes an unfinished job in a Dump.
type JobDump struct {
	ID      job.ID `json:"id"`
	Queue   string `json:"queue"`
	Account string `json:"account,omitempty"`
	// Shown is the state that callers are shown.
	Shown   job.State `json:"shown"`
	Pending int       `json:"pending"`
	Active  int       `json:"active"`
}

// Dump returns a snapshot of the state, without specs and keys.
func (l *Leader) Dump(now time.Time) Dump {
	out := Dump{Token: l.config.Token, Evacuations: l.Evacuations(now)}
	for id, e := range l.endpoints {
		out.Endpoints = append(out.Endpoints, EndpointDump{
			ID: id, Pool: e.row.Pool, Listed: e.listed, Reached: e.reached, Draining: e.row.Draining,
			Leaving: e.leaving, Evacuated: l.isEvacuated(e), Returning: e.isReturning, Runs: len(e.runs), Available: e.available(),
			Slowness: e.slowness.Mean(),
		})
	}
	for id, j := range l.live {
		shown, _ := l.StateOf(id)
		entry := JobDump{ID: id, Queue: j.submission.Queue, Account: j.submission.Account, Shown: shown, Active: len(j.active)}
		for _, step := range j.steps {
			entry.Pending += len(step.pending)
		}
		out.Jobs = append(out.Jobs, entry)
	}
	slices.SortFunc(out.Endpoints, func(a, b EndpointDump) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out.Jobs, func(a, b JobDump) int { return cmp.Compare(a.ID, b.ID) })
	for _, number := range l.waveNumbers() {
		wave := l.hosts.waves[number]
		out.Waves = append(out.Waves, WaveProgress{Number: number, Complete: wave.complete})
	}
	return out
}
