//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// The tenant may have capCPU in use; quotaOver and one task more are allowed beyond it.
	capCPU, taskCPU = 8000, 1000
	quotaOver       = 0.1
	// cutTime is the longest cut of runners in the site file.
	cutTime = 5500 * time.Millisecond
	// laterJobs is how many jobs the tenant hands in from then on, one each laterInterval.
	laterJobs     = 20
	laterInterval = 400 * time.Millisecond
)

func init() { scenarios["tenant-cap"] = tenantCap }

// tenantCap fills a tenant's cap, cuts off the runner that runs its tasks, and stops the leader as
// planned work does, while the tenant hands in more.
var tenantCap = scenario{
	config: harness.Config{Nodes: 3, Machines: 6, CapCPU: capCPU},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		full := harness.Job{ID: "f011000000000001", Steps: []harness.Step{{Count: capCPU / taskCPU, CPU: taskCPU, Memory: 500, Duration: 15 * time.Second}}}
		if !p.Submit(full) {
			return verdict{}, errSetup
		}
		time.Sleep(3 * time.Second)
		if isTrouble {
			for _, m := range p.Machines {
				if m.Running() > 0 {
					m.Cut(cutTime)
				}
			}
			leader := p.Leader()
			if leader == nil {
				return verdict{}, errSetup
			}
			go leader.Restart()
		}
		for n := range laterJobs {
			job := harness.Job{ID: fmt.Sprintf("1a7e%012x", n+1), Steps: []harness.Step{{Count: 4, CPU: taskCPU, Memory: 500, Duration: time.Second}}}
			go p.Submit(job)
			time.Sleep(laterInterval)
		}
		time.Sleep(8 * time.Second)
		most, at := mostInUse(p.Starts())
		limit := int(capCPU*(1+quotaOver)) + taskCPU
		if most > limit {
			return broken("a start of %s run %d on %s brought what the tenant has running to %d; its cap is %d, %d with what the rule allows", at.Task, at.Run, at.Runner, most, capCPU, limit), nil
		}
		return held("the tenant had at most %d running, with a cap of %d", most, capCPU), nil
	},
}

// mostInUse returns the most that was running right after a start, and that start.
func mostInUse(starts []harness.Start) (most int, at harness.Start) {
	for _, s := range starts {
		inUse := 0
		for _, other := range starts {
			isRunning := !other.At.After(s.At) && (other.EndedAt.IsZero() || other.EndedAt.After(s.At))
			if isRunning {
				inUse += other.CPU
			}
		}
		if inUse > most {
			most, at = inUse, s
		}
	}
	return most, at
}
