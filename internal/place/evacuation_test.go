package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// evacuablePool returns a placer with one worker in each of the data centres; the
// worker of "large" has twice the size of the others.
func evacuablePool(dataCentres ...string) *place.Placer {
	placer := place.New(place.Config{})
	for i, dataCentre := range dataCentres {
		size := place.Size{CPUs: 16, Memory: 64 * gib}
		if dataCentre == "large" {
			size = place.Size{CPUs: 32, Memory: 128 * gib}
		}
		placer.Join(place.Worker{Name: fmt.Sprintf("worker-%d", i), DataCentre: dataCentre, Size: size})
	}
	return placer
}

// Guards against a task that is placed on an evacuated worker, and against one that
// is refused although another worker can run it.
func TestChooseDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		dataCentres []string
		evacuated   []string
		demand      place.Demand
		want        place.Decision
		// wantRefused is set if only evacuated workers can run the task.
		wantRefused bool
	}{
		"no evacuation":        {dataCentres: []string{"suva"}, demand: demand("a", place.Normal, 1, 1), want: place.Decision{Outcome: place.Placed, Worker: "worker-0"}},
		"evacuated":            {dataCentres: []string{"suva"}, evacuated: []string{"suva"}, demand: demand("a", place.Normal, 1, 1), want: place.Decision{Outcome: place.Waits}, wantRefused: true},
		"urgent, evacuated":    {dataCentres: []string{"suva"}, evacuated: []string{"suva"}, demand: demand("a", place.Urgent, 1, 1), want: place.Decision{Outcome: place.Waits}, wantRefused: true},
		"another data centre":  {dataCentres: []string{"suva", "nadi"}, evacuated: []string{"suva"}, demand: demand("a", place.Normal, 1, 1), want: place.Decision{Outcome: place.Placed, Worker: "worker-1"}},
		"fits only evacuated":  {dataCentres: []string{"large", "nadi"}, evacuated: []string{"large"}, demand: demand("a", place.Normal, 20, 1), want: place.Decision{Outcome: place.Waits}, wantRefused: true},
		"unknown data centre":  {dataCentres: []string{""}, evacuated: []string{"suva"}, demand: demand("a", place.Normal, 1, 1), want: place.Decision{Outcome: place.Waits}, wantRefused: true},
		"unknown, none":        {dataCentres: []string{""}, demand: demand("a", place.Normal, 1, 1), want: place.Decision{Outcome: place.Placed, Worker: "worker-0"}},
		"must avoid the other": {dataCentres: []string{"suva", "nadi"}, evacuated: []string{"suva"}, demand: place.Demand{Task: "a", Avoid: []string{"worker-1"}}, want: place.Decision{Outcome: place.Exhausted}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			joinedBefore, joinedAfter := evacuablePool(tc.dataCentres...), place.New(place.Config{})
			joinedBefore.SetEvacuated(tc.evacuated)
			joinedAfter.SetEvacuated(tc.evacuated)
			for _, worker := range joinedBefore.Dump() {
				joinedAfter.Join(worker.Worker)
			}
			for when, placer := range map[string]*place.Placer{"joined before": joinedBefore, "joined after": joinedAfter} {
				if got := placer.Choose(start, tc.demand); got.Outcome != tc.want.Outcome || got.Worker != tc.want.Worker {
					t.Errorf("%s: got %+v, want %+v", when, got, tc.want)
				}
				if got := placer.FitsOnlyEvacuated(tc.demand.Declared); got != tc.wantRefused {
					t.Errorf("%s: fits only evacuated: got %v, want %v", when, got, tc.wantRefused)
				}
				placer.SetEvacuated(nil)
				if got := placer.FitsOnlyEvacuated(tc.demand.Declared); got {
					t.Errorf("%s: after the evacuation: got %v, want false", when, got)
				}
			}
		})
	}
}

// Guards against a start on a worker that has not joined a new manager yet, so that
// its data centre is not known.
func TestUnjoinedWorkerDuringEvacuation(t *testing.T) {
	placer := place.New(place.Config{})
	placer.SetEvacuated([]string{"suva"})
	placer.Place(start, demand("a", place.Normal, 1, 1), "worker-0")
	for _, name := range []string{"worker-0", "worker-1"} {
		if !placer.IsEvacuated(name) {
			t.Errorf("%s: got not evacuated, want evacuated", name)
		}
	}
	placer.Join(place.Worker{Name: "worker-0", DataCentre: "nadi", Size: place.Size{CPUs: 1}})
	if placer.IsEvacuated("worker-0") {
		t.Error("after it joined: got evacuated, want not")
	}
}

// Guards against all workers outside an evacuated data centre being quarantined at
// once: tasks that fail by their own fault would leave no worker for up to half an
// hour. With evacuated workers counted, each of the open ones could be quarantined.
func TestQuarantinesDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		evacuateFirst bool
		wantOpen      int
	}{
		"evacuated before the failures": {evacuateFirst: true, wantOpen: 1},
		"evacuated after the failures":  {wantOpen: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			placer := evacuablePool("nadi", "nadi", "suva", "suva")
			if tc.evacuateFirst {
				placer.SetEvacuated([]string{"suva"})
			}
			for i := range 8 {
				task := demand(fmt.Sprint("task-", i), place.Normal, 1, 1)
				placer.Place(start, task, fmt.Sprintf("worker-%d", i%2))
				placer.Release(start, task.Task, place.Failed)
			}
			if !tc.evacuateFirst {
				placer.SetEvacuated([]string{"suva"})
			}
			var open []string
			for i := range 2 {
				decision := chooseAndPlace(t, placer, start.Add(time.Second), demand(fmt.Sprint("next-", i), place.Normal, 16, 1))
				if decision.Outcome == place.Placed {
					open = append(open, decision.Worker)
				}
			}
			slices.Sort(open)
			if got, want := len(open), tc.wantOpen; got != want {
				t.Errorf("workers that take a task: got %q, want %d", open, want)
			}
		})
	}
}
