//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

func init() { cases["racks"] = racks }

const (
	// soonAfter is how long after the start of the jobs' tasks their rack crashes, and againAfter how long
	// after their next start the rack crashes that most of them are on by then.
	soonAfter  = 400 * time.Millisecond
	againAfter = 3300 * time.Millisecond
	// rackDownFor is how long the workers of a rack are down.
	rackDownFor = time.Second
)

// racks lets the rack crash on which tasks that last run, and once more the rack on which they run then.
func racks(o options) int {
	s, err := newScene(o, harness.Config{
		Guarded: true,
		Pools:   []harness.Pool{{Name: "skipperdesk", Runners: 12}, {Name: "backroom", Runners: 8, Spare: true}},
		Routes: []harness.Route{{
			Name: "r-charter", Host: "shop.example", Prefix: "/charter/", Kind: "unsafe", TimeoutMS: 3000, TargetMS: 2500, Service: "skipperdesk", MaxAttempts: 3, Stretch: 2.2,
		}},
		Tenants: []harness.Tenant{{Name: "shop", Keys: []string{"key-of-the-shop"}, Weight: 50}},
	}, 6)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer s.close()
	submit := func(number int) bool {
		job := &harness.Job{ID: harness.JobID("c7", number), Spec: "charter", Route: "r-charter", Steps: []harness.Step{{
			Count: 5, CPU: 500, Memory: 2100, EstimateMS: 700, Persistent: true, MayMiss: 1, TargetMS: 100,
		}}}
		return s.Submit(context.Background(), s.nodes, 0, job) == 200
	}
	for number := 1; number <= 6; number++ {
		if !submit(number) {
			fmt.Println("not accepted")
			return couldNotRun
		}
		if number == 1 {
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(soonAfter)
	s.crashRack(o, "c7")
	time.Sleep(300 * time.Millisecond)
	for s.Find("c7") == nil {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(againAfter)
	s.crashRack(o, "c7")
	time.Sleep(25 * time.Second)
	return s.report("LOST")
}

// crashRack lets the rack crash on which most tasks run whose names begin with prefix.
func (s *scene) crashRack(o options, prefix string) {
	if found := s.Find(prefix); found != nil && o.trouble {
		for _, runner := range s.Runners {
			if runner.Rack == found.Rack {
				runner.Crash(rackDownFor)
			}
		}
	}
}
