//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["late-start"] = lateStart }

const (
	// lateBy is how long after its arrival the start is carried out.
	lateBy = 5 * time.Second
	// cutAfter is when the runner is cut off, counted from the arrival of the start, and cutFor for how long.
	cutAfter = 2 * time.Second
	cutFor   = 5500 * time.Millisecond
	// rebornAfter is when the runner crashes behind the cut, counted from its begin, and downFor how long it is down.
	rebornAfter = 500 * time.Millisecond
	downFor     = time.Second
)

// lateStart lets a runner leave a start unanswered, and carry it out after it was cut off and has crashed
// and started again under its ID behind the cut.
func lateStart(o options) int {
	s, err := newScene(o, harness.Config{
		Guarded: true,
		Pools:   []harness.Pool{{Name: "baitworks", Runners: 9}, {Name: "backroom", Runners: 8, Spare: true}},
		Routes: []harness.Route{{
			Name: "r-grade", Host: "bait.example", Prefix: "/grade/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Priority: 1, Service: "baitworks", MaxAttempts: 4, Stretch: 1.6,
		}},
		Tenants: []harness.Tenant{{Name: "shop", Keys: []string{"key-of-the-shop"}, Weight: 50}},
	}, 6)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer s.close()
	if o.trouble {
		s.LateOnce(lateBy, func(runner *harness.Runner) {
			time.Sleep(cutAfter)
			runner.Cut(cutFor)
			time.Sleep(rebornAfter)
			runner.CrashKeepingID(downFor)
		})
	}
	job := &harness.Job{ID: harness.JobID("c6", 1), Spec: "grade the bait", Route: "r-grade", Steps: []harness.Step{{
		Count: 1, CPU: 1900, Memory: 5500, EstimateMS: 3300, Takes: 9 * time.Second,
	}}}
	// Takes the rest of the runner that has the first task, which then starts elsewhere.
	other := &harness.Job{ID: harness.JobID("c6", 2), Spec: "grade more bait", Route: "r-grade", Steps: []harness.Step{{
		Count: 1, CPU: 13500, Memory: 5500, EstimateMS: 3300, Takes: 9 * time.Second,
	}}}
	for _, next := range []*harness.Job{job, other} {
		if status := s.Submit(context.Background(), s.nodes, 0, next); status != 200 {
			fmt.Println("not accepted:", status)
			return couldNotRun
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(25 * time.Second)
	s.stateOf(job)
	return s.report("TWICE")
}
