//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["wide-gang"] = wideGang }

const (
	// wideMembers is the number of members of the gang, and narrowMembers that of the gang that is handed in
	// without the trouble. Both fit on one runner.
	wideMembers, narrowMembers = 300, 200
	// gangWatch is for how long the gang is watched.
	gangWatch = 30 * time.Second
)

// wideGang hands in a gang of many small tasks while nothing is disrupted.
func wideGang(o options) int {
	s, err := newScene(o, harness.Config{
		Guarded: true,
		Pools:   []harness.Pool{{Name: "skipperdesk", Runners: 12}, {Name: "backroom", Runners: 8, Spare: true}},
		Routes: []harness.Route{{
			Name: "r-quote", Host: "desk.example", Prefix: "/quote/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 600, Priority: 1, Service: "skipperdesk", MaxAttempts: 4, Stretch: 1.6,
		}},
		Tenants: []harness.Tenant{{Name: "shop", Keys: []string{"key-of-the-shop"}, Weight: 50}},
	}, 6)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer s.close()
	members := narrowMembers
	if o.trouble {
		members = wideMembers
	}
	job := &harness.Job{ID: harness.JobID("c9", 1), Spec: "quote the charter", Route: "r-quote", Steps: []harness.Step{{
		Count: members, CPU: 50, Memory: 100, EstimateMS: 1300, Takes: 1300 * time.Millisecond, Gang: true,
	}}}
	if status := s.Submit(context.Background(), s.nodes, 0, job); status != 200 {
		fmt.Println("not accepted:", status)
		return couldNotRun
	}
	state := ""
	for end := time.Now().Add(gangWatch); time.Now().Before(end) && state != "complete"; time.Sleep(time.Second) {
		_, state = s.stateOf(job)
	}
	if alone := s.EndedAlone(); alone > 0 {
		s.Violate("GANG", "%d runs of a gang of %d ended alone, and nothing was disrupted; the job is %q", alone, members, state)
	}
	return s.report("GANG")
}
