package fleet_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const otherQueueName = "reports"

// outlookPolicy has a queue of lower priority and an account with a share and a cap.
func outlookPolicy() policy.Config {
	config := defaultPolicy()
	config.Queues = append(config.Queues, policy.Queue{
		Name: otherQueueName, Pool: poolName, MaxAttempts: 2, Stretch: 1.6, Target: time.Second, Priority: 1,
	})
	// No other pool wants hosts.
	config.Pools = []policy.Pool{{Name: poolName, Guarded: true}, {Name: spareName, Spare: true}}
	config.Accounts = []policy.Account{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}, {Name: "capped", Cap: policy.Resources{CPU: 8000}}}
	return config
}

// load submits a number of jobs of 8 one-core tasks of 1 s.
type load struct {
	jobs           int
	account, queue string
	step           job.Step
}

// newOverload returns a simulation with one endpoint of 16 cores, after a step with the loads.
func newOverload(t *testing.T, loads ...load) *simulation {
	t.Helper()
	s := newSimulation(t, simulationConfig{policy: outlookPolicy()})
	s.listHosts(newHost(poolName, "a"))
	n := 0
	for _, l := range loads {
		for range l.jobs {
			n++
			step := tasks(8)
			if l.step.Count > 0 {
				step = l.step
			}
			j := submission(n, step)
			j.Account = l.account
			if l.queue != "" {
				j.Queue = l.queue
			}
			s.submit(j)
		}
	}
	s.step()
	s.acceptStarts()
	return s
}

func TestOutlook(t *testing.T) {
	large := tasks(2)
	large.Resources = policy.Resources{CPU: 1000, Memory: 65536}
	tests := map[string]struct {
		loads []load
		after time.Duration
		// want is the pool's outlook, without Inflow and ShortFor; nil for none.
		want         *admission.PoolOutlook
		wantAccounts []string
	}{
		"no work":                               {},
		"full, and nothing waits":               {loads: []load{{jobs: 2}}},
		"backlog that clears within its slack":  {loads: []load{{jobs: 3}}},
		"ten times what can be in time":         {loads: []load{{jobs: 40}}, want: &admission.PoolOutlook{Cores: 16, AheadByPriority: []float64{304, 304}, LateByPriority: []float64{0, 0}, BeyondByPriority: []float64{0, 0}, BeyondLateByPriority: []float64{0, 0}}},
		"the same once all of it is late":       {loads: []load{{jobs: 40}}, after: 2 * time.Second},
		"work of lower priority":                {loads: []load{{jobs: 2}, {jobs: 40, queue: otherQueueName}}, want: &admission.PoolOutlook{Cores: 16, AheadByPriority: []float64{0, 320, 320}, LateByPriority: []float64{0, 0, 0}, BeyondByPriority: []float64{0, 0, 0}, BeyondLateByPriority: []float64{0, 0, 0}}},
		"an account far beyond its share":       {loads: []load{{jobs: 3, account: "calm"}, {jobs: 40, account: "hot"}}, want: &admission.PoolOutlook{Cores: 16, AheadByPriority: []float64{32, 328}, LateByPriority: []float64{0, 0}, BeyondByPriority: []float64{296, 0}, BeyondLateByPriority: []float64{0, 0}}, wantAccounts: []string{"hot"}},
		"work that waits for its account's cap": {loads: []load{{jobs: 40, account: "capped"}}},
		"persistent tasks without room":         {loads: []load{{jobs: 40, step: persistentTasks(8, 1)}}},
		"tasks of which memory allows one":      {loads: []load{{jobs: 10, step: large}}, want: &admission.PoolOutlook{Cores: 16, AheadByPriority: []float64{304, 304}, LateByPriority: []float64{0, 0}, BeyondByPriority: []float64{0, 0}, BeyondLateByPriority: []float64{0, 0}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newOverload(t, test.loads...)
			s.advance(test.after)
			got := s.leader.Outlook(s.now)
			pool, isShort := got.Pools[poolName]
			if test.want == nil {
				if isShort {
					t.Errorf("outlook: got %+v, want none", pool)
				}
				return
			}
			pool.Inflow, pool.ShortFor = 0, 0
			if !isShort || !reflect.DeepEqual(pool, *test.want) {
				t.Errorf("outlook: got %+v (%t), want %+v", pool, isShort, *test.want)
			}
			if !reflect.DeepEqual(got.AccountsBeyondShare, test.wantAccounts) {
				t.Errorf("accounts beyond their share: got %v, want %v", got.AccountsBeyondShare, test.wantAccounts)
			}
		})
	}
}

// Guards against jobs that are refused for a shortage that is over, or that has just begun.
func TestShortageDuration(t *testing.T) {
	const interval = 250 * time.Millisecond
	s := newOverload(t, load{jobs: 40})
	n := 1000
	keepShort := func(d time.Duration) time.Duration {
		for range d / interval {
			// Each interval brings six times what the pool can do in it.
			for range 3 {
				n++
				j := submission(n, tasks(8))
				j.Accepted = s.now
				s.submit(j)
			}
			s.advance(interval)
			s.renewLease("a")
			s.step()
			s.acceptStarts()
			s.leader.Outlook(s.now)
		}
		return s.leader.Outlook(s.now).Pools[poolName].ShortFor.Round(interval)
	}
	if got := s.leader.Outlook(s.now).Pools[poolName].ShortFor; got != 0 {
		t.Errorf("duration of a shortage that begins: got %s, want 0s", got)
	}
	if got, want := keepShort(3*time.Second), 3*time.Second; got != want {
		t.Errorf("duration of the shortage: got %s, want %s", got, want)
	}
	s.advance(5 * time.Second)
	if got := s.leader.Outlook(s.now).Pools; len(got) != 0 {
		t.Errorf("outlook once all work is late: got %+v, want none", got)
	}
	if got, want := keepShort(time.Second), time.Second; got >= want {
		t.Errorf("duration of the next shortage: got %s, want less than %s", got, want)
	}
}

// Guards against decisions that compute the outlook of thousands of jobs again and again.
func TestOutlookIsComputedAtIntervals(t *testing.T) {
	s := newOverload(t, load{jobs: 40})
	first := s.leader.Outlook(s.now).Pools[poolName]
	s.submit(submission(1000, tasks(8)))
	s.advance(150 * time.Millisecond)
	if got := s.leader.Outlook(s.now).Pools[poolName]; !reflect.DeepEqual(got, first) {
		t.Errorf("outlook after 150 ms: got %+v, want the former %+v", got, first)
	}
	s.advance(100 * time.Millisecond)
	if got, want := s.leader.Outlook(s.now).Pools[poolName].AheadByPriority[0], first.AheadByPriority[0]+8; got != want {
		t.Errorf("work ahead after 250 ms: got %g, want %g", got, want)
	}
}

// Guards against refusals while hosts that suffice are on their way.
func TestHostsOnTheirWayCount(t *testing.T) {
	s := newSimulation(t, simulationConfig{policy: outlookPolicy()})
	hosts := []fleet.Host{newHost(poolName, "a")}
	for n := range 40 {
		hosts = append(hosts, spareHost(n))
	}
	s.listHosts(hosts...)
	for n := range 40 {
		s.submit(submission(n+1, tasks(8)))
	}
	if got := len(s.step().Moves); got == 0 {
		t.Fatal("moves: got 0, want some")
	}
	if got := s.leader.Outlook(s.now).Pools; len(got) != 0 {
		t.Errorf("outlook: got %+v, want none", got)
	}
}

// Guards against refusals by a new leader, which starts inherited tasks only once it
// knows what runs.
func TestNoOutlookBeforeRunsAreKnown(t *testing.T) {
	var stored []fleet.StoredJob
	for n := range 40 {
		stored = append(stored, fleet.StoredJob{Submission: submission(n+1, tasks(8))})
	}
	s := newSimulation(t, simulationConfig{policy: outlookPolicy(), token: 2, jobs: stored})
	s.step()
	if got := s.leader.Outlook(s.now).Pools; len(got) != 0 {
		t.Errorf("outlook: got %+v, want none", got)
	}
}

// The work of later steps takes the same capacity.
func TestOutlookCountsLaterSteps(t *testing.T) {
	s := newSimulation(t, simulationConfig{policy: outlookPolicy()})
	s.listHosts(newHost(poolName, "a"))
	second := tasks(4)
	second.After = []int{0}
	for n := range 40 {
		s.submit(submission(n+1, tasks(8), second))
	}
	s.step()
	// Two jobs have started.
	if got, want := s.leader.Outlook(s.now).Pools[poolName].AheadByPriority[0], 38.0*12; got != want {
		t.Errorf("work ahead: got %g, want %g", got, want)
	}
}

// Arriving work within shares is what remains of the capacity for work beyond them.
func TestOutlookInflow(t *testing.T) {
	s := newOverload(t, load{jobs: 20}, load{jobs: 40, account: "hot"})
	// Three of the account's jobs are within its share.
	want := 23 * 8 / 1.1
	if got := s.leader.Outlook(s.now).Pools[poolName].Inflow; math.Abs(got-want) > 0.01 {
		t.Errorf("inflow in cores: got %g, want %g", got, want)
	}
}

// Guards against refusals while work with little slack left fits on free hosts.
func TestFreeHostsAreNoShortage(t *testing.T) {
	s := newSimulation(t, simulationConfig{policy: outlookPolicy()})
	s.listHosts(newHost(poolName, "a"))
	s.advance(1200 * time.Millisecond)
	s.submit(submission(1, tasks(8)))
	s.submit(submission(2, tasks(8)))
	if got := s.leader.Outlook(s.now).Pools; len(got) != 0 {
		t.Errorf("outlook: got %+v, want none", got)
	}
}

// Late work precedes new work neither within shares nor beyond them, and is told apart.
func TestOutlookOfLateWork(t *testing.T) {
	s := newOverload(t, load{jobs: 40, account: "hot"})
	s.advance(2 * time.Second)
	s.renewLease("a")
	for n := range 40 {
		j := submission(1000+n, tasks(8))
		j.Accepted = s.now
		s.submit(j)
	}
	s.step()
	s.acceptStarts()
	// Of the three late jobs within the account's share, two run.
	want := admission.PoolOutlook{
		Cores: 16, AheadByPriority: []float64{320, 624}, LateByPriority: []float64{8, 0},
		BeyondByPriority: []float64{0, 0}, BeyondLateByPriority: []float64{296, 0},
	}
	got := s.leader.Outlook(s.now).Pools[poolName]
	got.Inflow, got.ShortFor = 0, 0
	if !reflect.DeepEqual(got, want) {
		t.Errorf("outlook: got %+v, want %+v", got, want)
	}
}

// Guards against jobs within their account's share that are refused as if they were beyond
// it: an account that sends as much as its share has used it up most of the time.
func TestAccountAtItsShareIsNotBeyondIt(t *testing.T) {
	s := newOverload(t, load{jobs: 60}, load{jobs: 3, account: "calm"})
	for n := range 5 {
		s.advance(500 * time.Millisecond)
		s.renewLease("a")
		for i := range 60 {
			j := submission(1000+100*n+i, tasks(8))
			j.Accepted = s.now
			s.submit(j)
		}
		if got := s.leader.Outlook(s.now); len(got.Pools) != 1 || len(got.AccountsBeyondShare) != 0 {
			t.Errorf("pools that are short, and accounts beyond their share: got %d and %v, want 1 and none", len(got.Pools), got.AccountsBeyondShare)
		}
		// The account's weight is 2 jobs per second.
		j := submission(9000+n, tasks(8))
		j.Account = "calm"
		s.submit(j)
	}
}

// Guards against the refusal of the next job of an account that has paused after a burst.
func TestAccountWithShareAgainIsNotBeyondIt(t *testing.T) {
	s := newOverload(t, load{jobs: 60}, load{jobs: 40, account: "hot"})
	tests := []struct {
		after time.Duration
		want  []string
	}{
		{after: 0, want: []string{"hot"}},
		{after: 300 * time.Millisecond, want: []string{"hot"}},
		{after: 300 * time.Millisecond, want: nil},
	}
	for _, test := range tests {
		s.advance(test.after)
		if got := s.leader.Outlook(s.now).AccountsBeyondShare; !reflect.DeepEqual(got, test.want) {
			t.Errorf("accounts beyond their share %s after the last outlook: got %v, want %v", test.after, got, test.want)
		}
	}
}
