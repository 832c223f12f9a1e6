//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["crashes"] = crashes }

const (
	// At most crashCount runners crash, one at a time, each crashGap after the job's first task runs there.
	crashCount = 8
	crashGap   = 1200 * time.Millisecond
	// crashTime is how long a runner is down.
	crashTime = 4500 * time.Millisecond
	// calmTime is how long nothing is disrupted before the job's state is read at the end.
	calmTime = 14 * time.Second
)

// crashes lets the runners of a task that lasts crash, one after the other.
func crashes(o options) int {
	s, err := newScene(o, harness.Config{
		Guarded: true,
		Pools:   []harness.Pool{{Name: "skipperdesk", Runners: 12}, {Name: "backroom", Runners: 8, Spare: true}},
		Routes: []harness.Route{{
			Name: "r-hold", Host: "desk.example", Prefix: "/hold/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 2500, Service: "skipperdesk", MaxAttempts: 3, Stretch: 2.2,
		}},
		Tenants: []harness.Tenant{{Name: "shop", Keys: []string{"key-of-the-shop"}, Weight: 50}},
	}, 6)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer s.close()
	ctx := context.Background()
	job := &harness.Job{ID: harness.JobID("c7", 1), Spec: "hold the charter", Route: "r-hold", Steps: []harness.Step{{
		Count: 5, CPU: 1800, Memory: 6800, EstimateMS: 700, Persistent: true, MayMiss: 1, TargetMS: 100,
	}}}
	if status := s.Submit(ctx, s.nodes, 0, job); status != 200 {
		fmt.Println("not accepted:", status)
		return couldNotRun
	}
	time.Sleep(3 * time.Second)
	for n := 0; n < crashCount; {
		runner := s.Find(job.ID + ".0.0.0")
		if runner == nil {
			time.Sleep(50 * time.Millisecond)
			if status, state := s.stateOf(job); status == 200 && state == "failed" {
				break
			}
			continue
		}
		time.Sleep(crashGap)
		if o.trouble {
			runner.Crash(crashTime)
		}
		n++
	}
	time.Sleep(calmTime)
	status, state := s.stateOf(job)
	failed, runs := s.FailedRuns(job.ID)
	s.Note("at the end %s is shown as %d %q; of %d runs %d ended failed", job.ID, status, state, runs, failed)
	if status == 410 || state == "failed" && failed == 0 || state == "cancelled" {
		s.Violate("LOST", "%s was accepted and is shown as %d %q: of %d runs none ended failed", job.ID, status, state, runs)
	}
	return s.report("LOST")
}
