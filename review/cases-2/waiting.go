//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["waiting"] = waiting }

const (
	// sickFor is for how long a runner refuses starts.
	sickFor = 6500 * time.Millisecond
	// visibleTime is after which time a queue's count has to hold half of the jobs that wait.
	visibleTime = 5 * time.Second
)

// waiting lets a runner refuse starts while all others are full, and asks for the number of jobs that wait.
func waiting(o options) int {
	s, err := newScene(o, harness.Config{
		Guarded: true,
		Pools:   []harness.Pool{{Name: "lurebook", Runners: 10}, {Name: "backroom", Runners: 2, Spare: true}},
		Routes: []harness.Route{{
			Name: "r-tag", Host: "lure.example", Prefix: "/tag/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Service: "lurebook", MaxAttempts: 2, Stretch: 1.6,
		}, {
			Name: "r-index", Host: "lure.example", Prefix: "/index/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 60000, Service: "lurebook", MaxAttempts: 2, Stretch: 2.2,
		}},
		Tenants: []harness.Tenant{{Name: "shop", Keys: []string{"key-of-the-shop"}, Weight: 50}},
	}, 6)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer s.close()
	ctx := context.Background()
	long := &harness.Job{ID: harness.JobID("ca", 1), Spec: "index the lures", Route: "r-index", Steps: []harness.Step{{
		Count: 11, CPU: 15800, Memory: 9000, EstimateMS: 40000, Takes: 40 * time.Second,
	}}}
	if status := s.Submit(ctx, s.nodes, 0, long); status != 200 {
		fmt.Println("not accepted:", status)
		return couldNotRun
	}
	time.Sleep(9 * time.Second)
	if o.trouble && !s.SickIdle(sickFor) {
		fmt.Println("not exactly one runner is idle")
		return couldNotRun
	}
	var jobs []*harness.Job
	for number := range 4 {
		job := &harness.Job{ID: harness.JobID("ca", 16+number), Spec: "tag", Route: "r-tag", Steps: []harness.Step{{
			Count: 1, CPU: 880, Memory: 3300, EstimateMS: 800, Takes: 800 * time.Millisecond,
		}}}
		if status := s.Submit(ctx, s.nodes, number, job); status != 200 {
			fmt.Println("not accepted:", status)
			return couldNotRun
		}
		jobs = append(jobs, job)
	}
	time.Sleep(visibleTime + 300*time.Millisecond)
	for range 4 {
		for n, node := range s.nodes {
			unbegun := s.Unbegun(jobs, visibleTime)
			count, ok := s.Waiting(ctx, node, jobs[0])
			s.Note("%s gives %d waiting (answered %t) while %d have not begun for %s", node.Name, count, ok, unbegun, visibleTime)
			if ok && 2*count < unbegun && unbegun == s.Unbegun(jobs, visibleTime) {
				s.Violate("MIXED", "node %d gives %d as waiting, and %d jobs that were accepted over %s ago have not begun", n, count, unbegun, visibleTime)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return s.report("MIXED")
}
