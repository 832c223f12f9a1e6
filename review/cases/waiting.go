//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// waitingJobs is how many jobs are handed in right after the runner has been cut off.
	waitingJobs = 8
	// visibleFor is how long after its acceptance a job that has not begun has to be counted:
	// visible_ms and 2 s more.
	visibleFor = 5 * time.Second
	// askInterval is the time between two questions.
	askInterval = 40 * time.Millisecond
)

func init() { scenarios["waiting"] = waiting }

// waiting cuts off the runner that is in use, hands jobs in and asks how many wait.
var waiting = scenario{
	config: harness.Config{Nodes: 3, Machines: 9},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		first := harness.Job{ID: "3a17000000000000", Steps: []harness.Step{{Count: 2, CPU: 1000, Memory: 500, Duration: time.Minute}}}
		if !p.Submit(first) {
			return verdict{}, errSetup
		}
		time.Sleep(2 * time.Second)
		if isTrouble {
			for _, m := range p.Machines {
				if m.Running() > 0 {
					m.Cut(cutTime)
				}
			}
		}
		acceptedAt := map[string]time.Time{}
		for n := range waitingJobs {
			job := harness.Job{ID: fmt.Sprintf("3a17%012x", n+1), Steps: []harness.Step{{Count: 1, CPU: 1000, Memory: 500, Duration: time.Second}}}
			if p.Submit(job) {
				acceptedAt[job.ID] = time.Now()
			}
		}
		if len(acceptedAt) == 0 {
			return verdict{}, errSetup
		}
		begun := time.Now()
		worst, given := 0, 0
		for time.Since(begun) < visibleFor+2*time.Second {
			time.Sleep(askInterval)
			asked := time.Now()
			count, ok := p.Waiting(p.Nodes[0])
			if !ok {
				continue
			}
			waits := 0
			for id, at := range acceptedAt {
				if asked.Sub(at) > visibleFor && !hasBegun(p.Starts(), id) {
					waits++
				}
			}
			if 2*count < waits && waits > worst {
				worst, given = waits, count
			}
		}
		if worst > 0 {
			return broken("%d jobs, accepted over %s before, had not begun, and %s gave %d as waiting", worst, visibleFor, p.Nodes[0].Name(), given), nil
		}
		return held("the counts were right"), nil
	},
}

// hasBegun reports whether a task of a job has started on a runner.
func hasBegun(starts []harness.Start, id string) bool {
	for _, s := range starts {
		if strings.HasPrefix(s.Task, id) {
			return true
		}
	}
	return false
}
