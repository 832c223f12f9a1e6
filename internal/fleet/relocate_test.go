package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Guards against services that are down for an evacuation since the same free capacity elsewhere
// was counted for several of them.
func TestPersistentTasksOfManyJobsLeaveAsThereIsRoom(t *testing.T) {
	tests := map[string]struct {
		// jobs is the number of jobs of one persistent task each on the evacuated endpoint, and
		// room how many of the tasks fit on the other one.
		jobs, room int
		// steps is the number of the leader's steps after the request, without answers to stops.
		steps, want int
	}{
		"room for none":              {jobs: 3, room: 0, steps: 1, want: 0},
		"room for one":               {jobs: 3, room: 1, steps: 1, want: 1},
		"room for one, later steps":  {jobs: 3, room: 1, steps: 5, want: 1},
		"room for two":               {jobs: 3, room: 2, steps: 1, want: 2},
		"room for two, later steps":  {jobs: 3, room: 2, steps: 5, want: 2},
		"room for all, in one step":  {jobs: 3, room: 3, steps: 1, want: 3},
		"room for more, later steps": {jobs: 3, room: 4, steps: 5, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpointIn(evacuated, "a")
			service := persistentTasks(1, 1)
			service.Resources = policy.Resources{CPU: 3000, Memory: 100}
			for n := range test.jobs {
				s.submit(submission(1+n, service))
			}
			s.step()
			s.acceptStarts()
			s.renewLease("a")
			row := endpointRow("b")
			row.DataCentre = remaining
			row.Capacity = policy.Resources{CPU: 3000*int64(test.room) + 500, Memory: 65536}
			s.leader.UpdateEndpoint(row, s.now)
			s.advance(time.Millisecond)
			s.renewLease("b")
			s.evacuate(evacuated)
			stopped := map[job.Task]bool{}
			for range test.steps {
				for _, stop := range s.step().Stops {
					stopped[stop.Task] = true
				}
				s.advance(50 * time.Millisecond)
			}
			if got := len(stopped); got != test.want {
				t.Errorf("stopped tasks: got %d, want %d", got, test.want)
			}
		})
	}
}
