package fleet_test

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against jobs of few bytes that take a leader's memory by the number of their tasks while
// these wait.
func TestWaitingTasksTakeLittleMemory(t *testing.T) {
	const jobs, bytesPerJob = 100, 16 << 10
	tests := map[string]struct {
		change func(step *job.Step)
	}{
		"tasks":      {func(*job.Step) {}},
		"gang":       {func(step *job.Step) { step.Gang = true }},
		"persistent": {func(step *job.Step) { step.Persistent = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{policy: defaultPolicy()})
			s.listHosts(baseHosts()...)
			before := heapBytes()
			for n := range jobs {
				step := tasks(job.MaxTasks)
				test.change(&step)
				s.submit(submission(n+1, step))
			}
			for range 3 {
				s.step()
				s.acceptStarts()
				s.advance(10 * time.Millisecond)
			}
			got := heapBytes() - before
			if want := int64(jobs * bytesPerJob); got > want {
				t.Errorf("heap of %d waiting jobs: got %d bytes, want at most %d", jobs, got, want)
			}
			runtime.KeepAlive(s)
		})
	}
}

// Guards against jobs of few bytes that take a leader's memory by the number of their occurrences while
// these wait.
func TestWaitingOccurrencesTakeLittleMemory(t *testing.T) {
	const jobs, bytesPerJob = 1500, 48 << 10
	s := newSimulation(t, simulationConfig{policy: defaultPolicy()})
	s.listHosts(baseHosts()...)
	before := heapBytes()
	for n := range jobs {
		many := submission(n+1, tasks(1))
		many.Times = 1_000_000
		s.submit(many)
	}
	s.step()
	got := heapBytes() - before
	if want := int64(jobs * bytesPerJob); got > want {
		t.Errorf("heap of %d waiting jobs: got %d bytes, want at most %d", jobs, got, want)
	}
	runtime.KeepAlive(s)
}

// Guards against tasks that start twice or not at all since another job has begun: steps of the
// same size share the list of their tasks.
func TestRunsOfOneJobLeaveTasksOfOthers(t *testing.T) {
	tests := map[string]struct {
		running, want []int
	}{
		"first":  {[]int{0}, []int{1, 2}},
		"middle": {[]int{1}, []int{0, 2}},
		"two":    {[]int{0, 1}, []int{2}},
		"none":   {nil, []int{0, 1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun, other := submission(1, tasks(3)), submission(2, tasks(3))
			s := newSimulation(t, simulationConfig{token: 2, jobs: []fleet.StoredJob{{Submission: begun}, {Submission: other}}})
			for _, index := range test.running {
				s.running["a"] = append(s.running["a"], fleet.RunningTask{Task: job.Task{Job: begun.ID, Index: index}, Run: 1, SpeedPercent: 100})
			}
			s.addEndpoint("a")
			s.advance(time.Minute) // longer than the former leader may have started tasks
			s.renewLease("a")
			got := map[job.ID][]int{}
			for _, start := range s.step().Starts {
				got[start.Task.Job] = append(got[start.Task.Job], start.Task.Index)
			}
			want := map[job.ID][]int{begun.ID: test.want, other.ID: {0, 1, 2}}
			for id, indexes := range want {
				slices.Sort(got[id])
				if !slices.Equal(got[id], indexes) {
					t.Errorf("started tasks of job %s: got %v, want %v", id, got[id], indexes)
				}
			}
		})
	}
}
