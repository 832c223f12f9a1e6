package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Pattern: far-too-much-work. A wide job waits in front of small ones in a pool of 64 cores. Guards
// against a wide job that cannot be in time beside the others and makes all of them late, and
// against small ones that go before it without need or across levels.
func TestWideJobBesideSmallOnes(t *testing.T) {
	const urgentQueue = "urgent"
	tests := map[string]struct {
		wide, small  int // tasks of the wide job, and how many small ones of 16 tasks there are
		queue        string
		isByDeadline bool
		hasStarted   bool
		isReturned   bool
		// want is how many of the 64 tasks that start are the wide job's.
		want int
	}{
		"too little capacity":          {wide: 96, small: 5, want: 0},
		"order of deadlines":           {wide: 96, small: 5, isByDeadline: true, want: 64},
		"enough capacity":              {wide: 24, small: 3, want: 24},
		"the wide job is more urgent":  {wide: 96, small: 5, queue: urgentQueue, want: 64},
		"the wide job has started":     {wide: 96, small: 5, hasStarted: true, want: 64},
		"the wide job was refused":     {wide: 96, small: 5, isReturned: true, want: 64},
		"capacity that no other needs": {wide: 96, small: 2, want: 32},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			config := defaultPolicy()
			config.Queues[0].Priority = 1
			config.Queues = append(config.Queues, policy.Queue{Name: urgentQueue, Pool: poolName, MaxAttempts: 2, Stretch: 1.6, Target: time.Second})
			s := newSimulation(t, simulationConfig{policy: config, deadlineOrder: c.isByDeadline})
			s.listHosts(baseHosts()...)
			wide := submission(1, tasks(c.wide))
			if c.queue != "" {
				wide.Queue = c.queue
			}
			wide.Returned = c.isReturned
			s.submit(wide)
			before := 0
			if c.hasStarted {
				before = s.completeStarts()
			}
			for n := range c.small {
				s.advance(time.Millisecond)
				small := submission(n+2, tasks(16))
				small.Accepted = s.now
				s.submit(small)
			}
			got := 0
			for _, start := range s.step().Starts {
				if start.Task.Job == jobID(1) {
					got++
				}
			}
			if want := min(c.want, c.wide-before); got != want {
				t.Errorf("starts of the wide job: got %d, want %d", got, want)
			}
		})
	}
}

// completeStarts runs a step, completes all that it starts, and returns how many that were.
func (s *simulation) completeStarts() int {
	starts := s.step().Starts
	s.acceptStarts()
	for _, start := range starts {
		s.endRun(start, fleet.CompletionDone)
	}
	for _, h := range baseHosts() {
		s.renewLease(h.Endpoint)
	}
	return len(starts)
}

// Guards against inherited jobs that a new leader defers before all others, as of no value: it
// loads them before it knows the hosts, by which it measures their sizes.
func TestInheritedJobsAreNotDeferredFirst(t *testing.T) {
	const small, wide = 4, 2
	tests := map[string]struct {
		// isInherited is true if the small jobs were accepted under a former leader.
		isInherited bool
		// isEarly is true if the hosts are listed after all jobs have been accepted.
		isEarly bool
	}{
		"new jobs":                      {},
		"new jobs, before the hosts":    {isEarly: true},
		"inherited":                     {isInherited: true},
		"all of them, before the hosts": {isInherited: true, isEarly: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{unloaded: true})
			s.acceptBesideWide(c.isInherited, c.isEarly, small, wide)
			got, want := 0, small*16
			for _, start := range s.step().Starts {
				if start.Task.Job <= jobID(small) {
					got++
				}
			}
			if got != want {
				t.Errorf("starts of the small jobs: got %d, want %d", got, want)
			}
		})
	}
}

// acceptBesideWide accepts small jobs of 16 tasks, under a former leader or this one, and wide ones
// of 32 tasks that are more urgent. The hosts are listed last, or else after the inherited jobs.
func (s *simulation) acceptBesideWide(isInherited, isEarly bool, small, wide int) {
	var jobs, inherited []fleet.StoredJob
	first := s.now
	for n := range small + wide {
		accepted := submission(n+1, tasks(16))
		accepted.Accepted = first.Add(time.Duration(n+1) * 10 * time.Millisecond)
		if n >= small {
			accepted = submission(n+1, tasks(32))
			accepted.Accepted = first.Add(5 * time.Millisecond)
		}
		jobs = append(jobs, fleet.StoredJob{Submission: accepted})
	}
	if isInherited {
		jobs, inherited = jobs[small:], jobs[:small]
	}
	s.leader.Load(inherited, s.now, s.now)
	if !isEarly {
		s.listHosts(baseHosts()...)
	}
	for _, stored := range jobs {
		s.submit(stored.Submission)
	}
	if isEarly {
		s.listHosts(baseHosts()...)
	}
}
