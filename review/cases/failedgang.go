//go:build review

package main

import (
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// failTime is for how long a runner fails all that it starts, as in the site file.
	failTime = 5500 * time.Millisecond
	// gangCalm is how long the case waits for the gang after that: longer than contact_ms, the 4 s of calm
	// and the 3 s that the rule names.
	gangCalm = 25 * time.Second
)

func init() { scenarios["failed-gang"] = failedGang }

// failedGang hands in a gang while the runner that gets it fails all that it starts.
var failedGang = scenario{
	config: harness.Config{Nodes: 3, Machines: 12},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		// The leader prefers the runner that is in use.
		first := harness.Job{ID: "6a96000000000001", Steps: []harness.Step{{Count: 2, CPU: 1000, Memory: 500, Duration: 45 * time.Second}}}
		if !p.Submit(first) {
			return verdict{}, errSetup
		}
		time.Sleep(2 * time.Second)
		if isTrouble {
			for _, m := range p.Machines {
				if m.Running() > 0 {
					m.FailStarts(failTime)
				}
			}
		}
		gang := harness.Job{ID: "6a96000000000002", Steps: []harness.Step{{Count: 4, CPU: 1000, Memory: 500, Duration: time.Second, Gang: true}}}
		if !p.Submit(gang) {
			return verdict{}, errSetup
		}
		time.Sleep(failTime)
		begun, state := time.Now(), ""
		for time.Since(begun) < gangCalm {
			time.Sleep(500 * time.Millisecond)
			if state = p.State(p.Nodes[0], gang.ID); state == "complete" || state == "failed" {
				return held("the job of the gang is %s", state), nil
			}
		}
		runs, active, last := map[int64]bool{}, 0, time.Time{}
		for _, s := range p.Starts() {
			if !strings.HasPrefix(s.Task, gang.ID) {
				continue
			}
			runs[s.Run] = true
			last = later(last, s.EndedAt)
			if s.EndedAt.IsZero() {
				active++
			}
		}
		if active > 0 || time.Since(last) < calmBefore+maxIdle {
			return held("the job of the gang is %q, and has been running within the last %s", state, calmBefore+maxIdle), nil
		}
		return broken("the job of the gang is still %q after %s of calm: it has had nothing running for %s, it was tried %d times, of 3 attempts, and 11 of 12 runners are idle",
			state, gangCalm, time.Since(last).Round(time.Second), len(runs)), nil
	},
}
