//go:build review

package main

import (
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// wideCount and narrowCount are the members of the gang, with and without the disruption. All
	// together need less than one of the machines.
	wideCount, narrowCount = 300, 200
	gangCPU, gangMemory    = 50, 100
	gangTime               = time.Second
	// gangPatience is for how long the gang is watched.
	gangPatience = 40 * time.Second
)

func init() { scenarios["wide-gang"] = wideGang }

// wideGang hands in a gang that fits on one machine.
var wideGang = scenario{
	config: harness.Config{Nodes: 3, Machines: 4},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		time.Sleep(2 * time.Second)
		count := narrowCount
		if isTrouble {
			count = wideCount
		}
		job := harness.Job{ID: "6a96000000000001", Steps: []harness.Step{{Count: count, CPU: gangCPU, Memory: gangMemory, Duration: gangTime, Gang: true}}}
		if !p.Submit(job) {
			return verdict{}, errSetup
		}
		begun := time.Now()
		alone, state := 0, ""
		for time.Since(begun) < gangPatience && state != "complete" {
			time.Sleep(500 * time.Millisecond)
			state = p.State(p.Nodes[0], job.ID)
			alone = 0
			for _, s := range p.Starts() {
				if s.How == "alone" {
					alone++
				}
			}
		}
		if alone > 0 {
			return broken("%d runs of the gang of %d ended 'alone' without any disruption; after %s its job is %q", alone, count, time.Since(begun).Round(time.Second), state), nil
		}
		if state != "complete" {
			return broken("the job of %d tasks is still %q after %s", count, state, time.Since(begun).Round(time.Second)), nil
		}
		return held("the gang of %d ended together, and its job is complete", count), nil
	},
}
