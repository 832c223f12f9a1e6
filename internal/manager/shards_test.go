package manager

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// The limits of a team's queues add up to the team's permits, except that they
// are never below the running tasks nor above the running and waiting tasks.
func TestTeamQueuesStayWithinPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalogue.New()
		c.Teams["tackle"] = catalogue.Team{Name: "tackle", UpperLimit: 100, Share: 1}
		var teamQueues []task.TeamQueueState
		waiting, running := 0, 0
		for i := range rapid.IntRange(0, 5).Draw(t, "queues") {
			name := fmt.Sprintf("queue-%d", i)
			c.Entries[name] = catalogue.Entry{Name: name, Kind: catalogue.KindQueue, Team: "tackle"}
			queue := task.TeamQueueState{
				TeamQueue: task.TeamQueue{Queue: name, Team: "tackle"},
				Waiting:   rapid.IntRange(0, 9).Draw(t, "waiting"),
				Running:   rapid.IntRange(0, 9).Draw(t, "running"),
			}
			teamQueues = append(teamQueues, queue)
			waiting += queue.Waiting
			running += queue.Running
		}
		permits := rapid.IntRange(0, 60).Draw(t, "permits")
		limits := make(map[task.TeamQueue]task.Limit)
		divideTeamPermits(c, teamQueues, permits, limits)
		sum := 0
		for key, limit := range limits {
			if got, want := limit.Closed, limit.MaxRunning <= 0; got != want {
				t.Fatalf("team queue %v with %d permits: got closed %v, want %v", key, limit.MaxRunning, got, want)
			}
			sum += limit.MaxRunning
		}
		if got, want := sum, max(running, min(permits, running+waiting)); got != want {
			t.Fatalf("permits of all team queues: got %d, want %d", got, want)
		}
	})
}

// A team queue that has not been observed yet is closed.
func TestUnobservedTeamQueuesAreClosed(t *testing.T) {
	c := catalogue.New()
	c.Teams["tackle"] = catalogue.Team{Name: "tackle"}
	c.Teams["bait"] = catalogue.Team{Name: "bait"}
	c.Entries["plans"] = catalogue.Entry{Name: "plans", Kind: catalogue.KindQueue}
	c.Entries["orders"] = catalogue.Entry{Name: "orders", Kind: catalogue.KindService}
	observed := task.TeamQueue{Queue: "plans", Team: "tackle"}
	limits := map[task.TeamQueue]task.Limit{observed: {MaxRunning: 3}}
	closeUnobserved(c, limits)
	tests := map[string]struct {
		key  task.TeamQueue
		want bool
	}{
		"observed":   {observed, false},
		"unobserved": {task.TeamQueue{Queue: "plans", Team: "bait"}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := limits[tc.key].Closed; got != tc.want {
				t.Errorf("closed: got %v, want %v", got, tc.want)
			}
		})
	}
	if got, want := len(limits), 2; got != want {
		t.Errorf("team queues: got %d, want %d", got, want)
	}
}
