package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Pattern: backlog-beside-a-turn. One pool has all hosts and a backlog that is too
// late anyway when another pool's turn begins.
func TestLateBacklogGivesHostsToATurn(t *testing.T) {
	const otherQueue = "quotes"
	config := defaultPolicy()
	config.Queues = append(config.Queues, policy.Queue{Name: otherQueue, Pool: otherPool, MaxAttempts: 2, Stretch: 1.6, Target: time.Second})
	w := newWorld(t, worldConfig{policy: config})
	hosts := pools()
	for n := range 8 {
		hosts = append(hosts, hostOf(poolName, fleet.EndpointID(fmt.Sprintf("more-%d", n))))
	}
	w.listHosts(hosts...)
	for n := range 60 {
		w.accept(submission(n+1, tasks(16)))
	}
	starts := w.step().Starts
	w.take()
	for range 10 {
		w.pass(time.Second)
		for _, h := range hosts {
			w.look(h.Endpoint)
		}
		w.leader.UpdateHosts(hosts, w.now, w.now)
	}
	for n := range 20 {
		late := submission(n+101, tasks(16))
		late.Queue, late.Pool, late.Accepted = otherQueue, otherPool, w.now
		w.accept(late)
	}
	w.step()
	w.take()
	freed := hosts[2*keptHosts]
	for _, start := range starts {
		if start.Endpoint == freed.Endpoint {
			w.end(start, fleet.CompletionDone)
		}
	}
	w.look(freed.Endpoint)
	for range 2 {
		for _, start := range w.step().Starts {
			if start.Endpoint == freed.Endpoint {
				t.Fatalf("start on a host that the turn needs: got %v, want none", start)
			}
		}
		w.take()
		w.pass(10 * time.Millisecond)
	}
	w.write()
	w.look(freed.Endpoint)
	want := fleet.Move{Host: freed.ID, Pool: otherPool}
	var got []fleet.Move
	for range 3 {
		got = append(got, w.step().Moves...)
		w.take()
		w.pass(10 * time.Millisecond)
		w.look(freed.Endpoint)
	}
	if len(got) != 1 || got[0] != want {
		t.Errorf("moves: got %v, want %v", got, want)
	}
}

// Pattern: turns-beyond-the-pool. A job that would have to begin at its last moment
// waits for one that has time to spare.
func TestJobsBeginWithTimeToSpare(t *testing.T) {
	w := newWorld(t, worldConfig{})
	w.endpoint("a")
	w.pass(1500 * time.Millisecond)
	// The first one's objective is 2.6 s after its hand-in, of which its work takes 1 s.
	tight, fresh := submission(1, tasks(16)), submission(2, tasks(16))
	fresh.Accepted = w.now
	w.accept(tight)
	w.accept(fresh)
	starts := w.step().Starts
	if len(starts) != 16 || starts[0].Task.Job != fresh.ID {
		t.Errorf("starts: got %v, want the fresh job's 16 tasks", starts)
	}
}

// Pattern: turns-beyond-the-pool. Tasks that need more than what is left of each host
// find no room, although the hosts' sizes together are more than enough.
func TestCrowdedPoolKeepsItsHosts(t *testing.T) {
	w := newWorld(t, worldConfig{})
	hosts := pools()
	for n := range 8 {
		hosts = append(hosts, hostOf(poolName, fleet.EndpointID(fmt.Sprintf("more-%d", n))))
	}
	w.listHosts(hosts...)
	wide := tasks(len(hosts) - keptHosts + 1)
	wide.Resources = policy.Resources{CPU: 9000, Memory: 100}
	w.accept(submission(1, wide))
	starts := w.step().Starts
	if got, want := len(starts), wide.Count-1; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	w.take()
	for range 4 {
		w.pass(500 * time.Millisecond)
		for _, h := range hosts {
			w.look(h.Endpoint)
		}
		w.step()
	}
	for _, start := range starts {
		if start.Endpoint == "more-0" {
			w.end(start, fleet.CompletionDone)
		}
	}
	w.look("more-0")
	if starts := w.step().Starts; len(starts) != 1 || starts[0].Endpoint != "more-0" {
		t.Errorf("starts: got %v, want the task that waits, on the host that is free", starts)
	}
}

// Pattern: hopeless-jobs-among-good. Jobs that are later than is of any use go after
// those that can be in time, whatever they waited.
func TestHopelessJobsGoLast(t *testing.T) {
	w := newWorld(t, worldConfig{})
	w.endpoint("a")
	for n := range 20 {
		w.accept(submission(n+1, tasks(8)))
	}
	w.pass(time.Minute)
	for n := range 2 {
		good := submission(n+101, tasks(8))
		good.Accepted = w.now
		w.accept(good)
	}
	starts := w.step().Starts
	if got, want := len(starts), 16; got != want {
		t.Fatalf("starts: got %d, want %d", got, want)
	}
	for _, start := range starts {
		if start.Task.Job != idOf(101) && start.Task.Job != idOf(102) {
			t.Errorf("start: got one of %v, want those of the good jobs alone", start.Task.Job)
		}
	}
}
