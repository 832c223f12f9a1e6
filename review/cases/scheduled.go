//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

const (
	// The scheduled job runs scheduledTimes times; its progress fits into a row of the store.
	scheduledSteps, scheduledTasks, scheduledTimes = 10, 3, 114
	scheduledInterval, scheduledDuration           = 300 * time.Millisecond, 800 * time.Millisecond
	// killAfter is when the leader is killed, and restartAfter how long after that it starts again.
	killAfter, restartAfter = 20 * time.Second, 3500 * time.Millisecond
	// Beside it, an ordinary job arrives each jobInterval, for trafficTime.
	jobInterval = 100 * time.Millisecond
	trafficTime = 85 * time.Second
	// maxIdle is for how long an accepted job may have nothing running while there is capacity for it
	// twice over, and calmBefore the calm time that the rule asks for before that.
	maxIdle    = 3 * time.Second
	calmBefore = 4 * time.Second
)

// ordinaryJob is a job of about the size of the site file's.
func ordinaryJob(n int) harness.Job {
	return harness.Job{ID: fmt.Sprintf("0bd1%012x", n), Steps: []harness.Step{{Count: 6, CPU: 500, Memory: 500, Duration: 300 * time.Millisecond}}}
}

func init() { scenarios["scheduled-job"] = scheduledJob }

// scheduledJob hands in a job that runs many times, beside ordinary ones, and kills the leader.
var scheduledJob = scenario{
	config: harness.Config{Nodes: 3, Machines: 3},
	run: func(p *harness.Platform, isTrouble bool) (verdict, error) {
		scheduled := harness.Job{
			ID: "5c4ed00000000001", Times: scheduledTimes, Interval: scheduledInterval, StartAt: time.Now().Add(time.Second),
		}
		for range scheduledSteps {
			scheduled.Steps = append(scheduled.Steps, harness.Step{Count: scheduledTasks, CPU: 100, Memory: 100, Duration: scheduledDuration})
		}
		if !p.Submit(scheduled) {
			return verdict{}, errSetup
		}
		if isTrouble {
			go killLeader(p)
		}
		traffic := &accepted{at: map[string]time.Time{}}
		begun := time.Now()
		for n := 0; time.Since(begun) < trafficTime; n++ {
			go traffic.submit(p, n)
			time.Sleep(jobInterval)
			if id, idle := traffic.longestIdle(p); idle > maxIdle+calmBefore {
				count, largest := p.RefusedRows()
				state := p.State(p.Nodes[0], id)
				return broken("job %s, accepted, has had nothing running for %s while its tasks' turn had come and under half of the capacity was in use (its state: %q); the store has rejected %d transactions, with values of up to %d bytes, where row_bytes is %d",
					id, idle.Round(time.Millisecond), state, count, largest, harness.RowBytes), nil
			}
		}
		return held("each of %d accepted jobs was served, and the scheduled one is %q", len(traffic.at), p.State(p.Nodes[0], scheduled.ID)), nil
	},
}

// killLeader kills the leader once, and starts it again.
func killLeader(p *harness.Platform) {
	time.Sleep(killAfter)
	leader := p.Leader()
	if leader == nil {
		p.Note("no node leads")
		return
	}
	leader.Signal(syscall.SIGKILL)
	time.Sleep(restartAfter)
	if err := leader.Start(); err != nil {
		p.Note("node %s not started again: %s", leader.Name(), err)
	}
}

// accepted holds the ordinary jobs that were accepted, and when.
type accepted struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *accepted) submit(p *harness.Platform, n int) {
	job := ordinaryJob(n)
	if !p.Submit(job) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[job.ID] = time.Now()
}

// longestIdle returns the accepted job that has had nothing running for longest, with tasks left to
// do. It is zero while half of the capacity is in use.
func (a *accepted) longestIdle(p *harness.Platform) (id string, idle time.Duration) {
	now := time.Now()
	done, active, lastAt, cpu := map[string]int{}, map[string]int{}, map[string]time.Time{}, 0
	for _, s := range p.Starts() {
		job, _, _ := strings.Cut(s.Task, ".")
		switch {
		case s.EndedAt.IsZero():
			active[job]++
			cpu += s.CPU
		case s.How == "done":
			done[job]++
		}
		if s.EndedAt.After(lastAt[job]) {
			lastAt[job] = s.EndedAt
		}
	}
	if 2*cpu > p.Capacity() {
		return "", 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for job, at := range a.at {
		if active[job] > 0 || done[job] >= ordinaryJob(0).Steps[0].Count {
			continue
		}
		if since := now.Sub(later(at, lastAt[job])); since > idle {
			id, idle = job, since
		}
	}
	return id, idle
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
