//go:build review

package main

import (
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// All runners of one rack crash each crashInterval, another rack each time, and are back after
	// crashTime. The site file has nine runners in racks of four, and racks that are down for longer.
	crashMachines = 9
	crashes       = 50
	crashInterval = 1800 * time.Millisecond
	crashTime     = 1500 * time.Millisecond
)

func init() { scenarios["lasting-job"] = lastingJob }

// lastingJob hands in a job whose tasks last, of the size of the site file's, and lets racks of
// runners crash in turn. Nothing but a cancel ends such a job.
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
				p.CrashRack(n, crashTime)
			}
			time.Sleep(crashInterval)
			if state := p.State(p.Nodes[n%len(p.Nodes)], job.ID); state == "failed" || state == "cancelled" {
				for _, s := range p.Starts() {
					if s.How == "failed" {
						return held("the job is %q, but a run has ended 'failed'", state), nil
					}
				}
				return broken("job %s is shown as %q after %d crashes: its tasks last, no end 'failed' was listed, and nobody has cancelled it", job.ID, state, n+1), nil
			}
		}
		return held("the job was never shown as failed or cancelled"), nil
	},
}
