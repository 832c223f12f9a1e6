//go:build review

// Program reused-address shows how long tasks wait whose starts got no answer since their
// runner lost power, once another runner has its address.
//
// # Usage
//
//	TROUBLE=1 reused-address -program target/lovagedyke -record record.txt
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-3"

	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	hosts, nodes = 6, 3
	taskTime     = time.Second
	// The tasks of the first job take most of each machine for anchorTime, so that the second job's
	// tasks fill what is left of all of them.
	anchorTime = 8 * time.Second
	anchorCPU  = 13000
	anchorID   = "00000000000000a1"
	jobID      = "00000000000000b1"
	jobTasks   = 60
	jobCPU     = 300
	// victim is the machine that loses power.
	victim = 1
	// downTime is how long the runner's machine has no power.
	downTime = 800 * time.Millisecond
	// cancelAfter is how long after the second job was handed in the first one is cancelled.
	cancelAfter = 250 * time.Millisecond
	// finish is how long after the end of the traffic jobs are asked for, and idleLimit how long a
	// job may have nothing running from then on, though it could.
	finish, idleLimit = 14 * time.Second, 3 * time.Second
	pollInterval      = 100 * time.Millisecond
)

func main() {
	program := flag.String("program", "target/lovagedyke", "program under test")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	os.Exit(harness.RunCase(*path, func(dir string, record io.Writer) (int, error) {
		return run(*program, dir, record, hasTrouble)
	}))
}

// run runs the case and returns its exit code.
func run(program, dir string, record io.Writer, hasTrouble bool) (int, error) {
	proxies := &harness.Proxies{}
	platform, err := standin.New(standin.Config{Hosts: hosts, TaskTime: taskTime, MaxStopTime: 200 * time.Millisecond, Expose: proxies.Expose})
	if err != nil {
		return harness.NotRun, err
	}
	defer platform.Close()
	platform.WritePolicy(1)
	h, err := harness.Start(harness.Config{Dir: dir, Program: program, Nodes: nodes, Platform: platform, Record: record})
	if err != nil {
		return harness.NotRun, err
	}
	defer h.Stop()
	time.Sleep(3 * time.Second)
	if err := startAnchor(h, platform); err != nil {
		return harness.NotRun, err
	}
	if hasTrouble {
		h.Logf("machine %d loses power for %s; then a new runner answers at its address", victim, downTime)
		proxies.SetDark(victim, true)
		go func() {
			_ = platform.RestartHost(victim, standin.Restart{Pause: downTime, Departure: standin.HangsUp, NewID: true})
			proxies.SetDark(victim, false)
			h.Logf("machine %d has a new runner", victim)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	if err := submit(h, platform, jobID, standin.Job{Steps: 1, Tasks: jobTasks, TaskCPU: jobCPU}); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(cancelAfter)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	status := platform.Cancel(ctx, h.Callers(1), anchorID)
	cancel()
	h.Logf("job %s cancelled by its client: %d", anchorID, status)
	return judge(h, platform), nil
}

// startAnchor submits the first job, and waits until it runs on all machines.
func startAnchor(h *harness.Harness, platform *standin.Platform) error {
	if err := submit(h, platform, anchorID, standin.Job{Steps: 1, Tasks: hosts, TaskTime: anchorTime, TaskCPU: anchorCPU}); err != nil {
		return err
	}
	deadline := time.Now().Add(10 * time.Second)
	for running(platform, anchorID) < hosts {
		if time.Now().After(deadline) {
			return fmt.Errorf("the first job does not run")
		}
		time.Sleep(pollInterval)
	}
	h.Logf("a task of the first job runs on each machine")
	time.Sleep(time.Second)
	return nil
}

// submit hands a job in, as a caller does: at the next node after a failure.
func submit(h *harness.Harness, platform *standin.Platform, id string, job standin.Job) error {
	for attempt := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status := platform.SubmitJob(ctx, h.Callers(attempt%nodes+1), id, job)
		cancel()
		h.Logf("job %s handed in: %d", id, status)
		if status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// judge watches the job until it is complete or the rule is broken.
func judge(h *harness.Harness, platform *standin.Platform) int {
	trafficEnd := time.Now()
	var idleSince time.Time
	state := ""
	for time.Since(trafficEnd) < finish+idleLimit+20*time.Second {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		known := platform.State(ctx, h.Callers(1), jobID)
		cancel()
		if known != "" && known != state {
			state = known
			h.Logf("job %s is shown as %s, %d of %d tasks done, %d running", jobID, state, platform.DoneTasks(jobID), jobTasks, running(platform, jobID))
		}
		if state == "complete" {
			break
		}
		// The rule holds while under half of the service's capacity is in use, and there is room twice over.
		if running(platform, jobID) > 0 || time.Since(trafficEnd) < finish || occupied(platform) >= hosts/2 {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if !idleSince.IsZero() && time.Since(idleSince) >= idleLimit {
			h.Logf("LOST: %s after the end of the traffic job %s has had nothing running for %s; %d of %d tasks done, %d of %d machines idle",
				time.Since(trafficEnd).Round(time.Millisecond), jobID, idleLimit, platform.DoneTasks(jobID), jobTasks, hosts-occupied(platform), hosts)
			record(h, platform)
			return harness.Broken
		}
		time.Sleep(pollInterval)
	}
	record(h, platform)
	if state != "complete" {
		h.Logf("job %s is not complete, and was never idle for long enough", jobID)
		return harness.NotRun
	}
	h.Logf("held: job %s is complete %s after the end of the traffic", jobID, time.Since(trafficEnd).Round(time.Millisecond))
	return harness.Held
}

// running counts the tasks of a job that run.
func running(platform *standin.Platform, id string) int {
	count := 0
	for _, line := range platform.DescribeRuns() {
		if strings.HasPrefix(line, id) && !strings.Contains(line, " to ") {
			count++
		}
	}
	return count
}

// occupied counts the machines that run a task of any job.
func occupied(platform *standin.Platform) int {
	endpoints := map[string]bool{}
	for _, line := range platform.DescribeRuns() {
		if !strings.Contains(line, " to ") {
			endpoints[strings.Fields(line)[4]] = true
		}
	}
	return len(endpoints)
}

// record writes all runs to the record.
func record(h *harness.Harness, platform *standin.Platform) {
	for _, line := range platform.DescribeRuns() {
		h.Logf("run: %s", line)
	}
}
