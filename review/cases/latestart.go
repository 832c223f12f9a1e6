//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// lateShare and lateTime are the share of orders that the site file's `applied_late` delays, and for
	// how long; latePause is the time between two such disruptions.
	lateShare           = 0.055
	lateTime, latePause = 5500 * time.Millisecond, time.Second
	// One runner of nine crashes each restartInterval, and starts again after restartTime.
	restartMachines, restarts = 9, 70
	restartInterval           = 1200 * time.Millisecond
	restartTime               = 600 * time.Millisecond
	// shortJobInterval is the time between two jobs.
	shortJobInterval = 60 * time.Millisecond
)

func init() { scenarios["late-start"] = lateStart }

// lateStart lets runners carry some orders out late, and start again under their ids in turn.
var lateStart = scenario{
	config: harness.Config{Nodes: 3, Machines: restartMachines, KeepIDs: true},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		time.Sleep(time.Second)
		begun := time.Now()
		isLate := false
		crashed := 0
		for n := 0; crashed < restarts; n++ {
			count := 4 + n%5
			go p.Submit(harness.Job{ID: fmt.Sprintf("1a7e%012x", n+1), Steps: []harness.Step{
				{Count: count, CPU: 900, Memory: 3000, Duration: 400 * time.Millisecond},
			}})
			time.Sleep(shortJobInterval)
			if shouldBeLate := isTrouble && time.Since(begun)%(lateTime+latePause) < lateTime; shouldBeLate != isLate {
				isLate = shouldBeLate
				p.LateOrders(map[bool]float64{true: lateShare}[isLate])
			}
			if time.Since(begun) < time.Duration(crashed+1)*restartInterval {
				continue
			}
			if isTrouble {
				p.Machines[crashed*4%restartMachines].Crash(restartTime)
			}
			crashed++
		}
		p.LateOrders(0)
		// Ends are taken note of.
		time.Sleep(5 * time.Second)
		twice := startedTwice(p.Starts())
		if len(twice) > 0 {
			return broken("%d times; first: %s", len(twice), twice[0]), nil
		}
		return held("no task had two runs at once, or started after an end 'done' that was taken note of; %d starts", len(p.Starts())), nil
	},
}

// startedTwice describes the starts beside a run of the same task, and those after a run that has
// ended done, where that end was taken note of.
func startedTwice(starts []harness.Start) []string {
	var found []string
	byTask := map[string][]harness.Start{}
	for _, s := range starts {
		for _, before := range byTask[s.Task] {
			describe := func(what string) {
				found = append(found, fmt.Sprintf("%s run %d starts on %s, whose life is %s old, %s run %d on %s", s.Task, s.Run, s.Runner,
					s.At.Sub(s.Life).Round(time.Millisecond), what, before.Run, before.Runner))
			}
			switch {
			case before.EndedAt.IsZero() || before.EndedAt.After(s.At):
				describe("beside")
			case before.How == "done" && before.Acked:
				describe("after the end of")
			}
		}
		byTask[s.Task] = append(byTask[s.Task], s)
	}
	return found
}
