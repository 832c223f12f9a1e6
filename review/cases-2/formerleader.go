//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["former-leader"] = formerLeader }

const (
	// lateBy is how long after its arrival the start is carried out.
	lateBy = 9 * time.Second
	// leaderDownFor is how long the leader's process is down.
	leaderDownFor = 3500 * time.Millisecond
	// cutAfter is when the runner is cut off, counted from the arrival of the start, and cutFor for how long.
	cutAfter = 6 * time.Second
	cutFor   = 5500 * time.Millisecond
	// rebornAfter is when the runner crashes behind the cut, counted from its begin, and downFor how long it is down.
	rebornAfter = 500 * time.Millisecond
	downFor     = time.Second
)

// formerLeader lets a runner leave a start unanswered and kills the leader that sent it. Under the next leader, the
// runner is cut off, crashes, starts again under its ID behind the cut, and then carries the start out.
func formerLeader(o options) int {
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
	leader := s.Leader(s.nodes)
	if leader == nil {
		fmt.Println("no leader")
		return couldNotRun
	}
	if o.trouble {
		s.LateOnce(lateBy, func(runner *harness.Runner) {
			s.Note("kill %s", leader.Name)
			leader.Signal(syscall.SIGKILL)
			time.Sleep(cutAfter)
			runner.Cut(cutFor)
			time.Sleep(rebornAfter)
			runner.CrashKeepingID(downFor)
		})
	}
	job := &harness.Job{ID: harness.JobID("c6", 1), Spec: "grade the bait", Route: "r-grade", Steps: []harness.Step{{
		Count: 1, CPU: 1900, Memory: 5500, EstimateMS: 3300, Takes: 12 * time.Second,
	}}}
	// Takes the rest of the runner that the first start is sent to, so that the next leader chooses another.
	other := &harness.Job{ID: harness.JobID("c6", 2), Spec: "grade more bait", Route: "r-grade", Steps: []harness.Step{{
		Count: 1, CPU: 14000, Memory: 5500, EstimateMS: 3300, Takes: 4 * time.Second,
	}}}
	first := 0
	for s.nodes[first] == leader {
		first++
	}
	for _, next := range []*harness.Job{job, other} {
		if status := s.Submit(context.Background(), s.nodes, first, next); status != 200 {
			fmt.Println("not accepted:", status)
			return couldNotRun
		}
	}
	if o.trouble {
		time.Sleep(leaderDownFor)
		leader.Kill()
		if err := leader.Start(); err != nil {
			fmt.Println(err)
			return couldNotRun
		}
	}
	time.Sleep(30 * time.Second)
	s.stateOf(job)
	return s.report("TWICE")
}
