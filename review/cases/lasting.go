//go:build review

package main

import (
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// One runner of five crashes each crashInterval, and is back after crashTime, so that one is down
	// at a time. The site file's crashes last up to 4.5 s, and take one runner of a pool of this size.
	crashMachines = 5
	crashes       = 75
	crashInterval = 1200 * time.Millisecond
	crashTime     = 1200 * time.Millisecond
	// crashStride is prime to the number of machines: each crashes in its turn.
	crashStride = 3
)

func init() { scenarios["lasting-job"] = lastingJob }

// lastingJob hands in a job whose tasks last, of the size of the site file's, and lets runners crash
// in turn. Nothing but a cancel ends such a job.
var lastingJob = scenario{
	config: harness.Config{Nodes: 3, Machines: crashMachines},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		job := harness.Job{ID: "1a57000000000001", Steps: []harness.Step{
			{Count: 5, CPU: 2700, Memory: 6800, Duration: 700 * time.Millisecond, Lasting: true, MayMiss: 1},
		}}
		if !p.Submit(job) {
			return verdict{}, errSetup
		}
		time.Sleep(2 * time.Second)
		for n := range crashes {
			if isTrouble {
				p.Machines[n*crashStride%len(p.Machines)].Crash(crashTime)
			}
			time.Sleep(crashInterval)
			if state := p.State(p.Nodes[n%len(p.Nodes)], job.ID); state == "failed" || state == "cancelled" {
				return broken("job %s is shown as %q after %d crashes: its tasks last, no end 'failed' was listed, and nobody has cancelled it", job.ID, state, n+1), nil
			}
		}
		return held("the job was never shown as failed or cancelled"), nil
	},
}
