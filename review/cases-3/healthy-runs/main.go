//go:build review

// Program healthy-runs shows what a new leader does with the runs of tasks that last, whose
// first starts a runner had left unanswered some seconds before.
//
// # Usage
//
//	TROUBLE=1 healthy-runs -program target/lovagedyke -record record.txt
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-3"

	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	hosts, nodes = 9, 3
	taskTime     = 60 * time.Second
	// The tasks of the first job take most of each machine, so that no pool has a machine to spare.
	anchorID  = "00000000000000a1"
	anchorCPU = 3300
	anchors   = 4 * hosts
	// The second job has tasks that last, of which mayMiss may be away.
	jobID       = "00000000000000f1"
	tasks       = 2
	mayMiss     = 1
	lastingBody = `{"spec":"demo","steps":[{"count":2,"cpu":500,"mem_mb":64,"persistent":true,"may_miss":1}]}`
	// late is the machine that carries orders out orderDelay late, for lateTime.
	late       = 1
	orderDelay = 11 * time.Second
	lateTime   = 2500 * time.Millisecond
	shareTime  = 120 * time.Millisecond
	// zoneDelay is what the answers of that machine take, which is in another zone than the nodes.
	zoneDelay = 3 * time.Millisecond
	// downTime is how long the leader is down, and killAfter how long after the late orders it is killed.
	downTime  = 3 * time.Second
	killAfter = 3 * time.Second
	watchTime = 6 * time.Second
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
	platform, err := standin.New(standin.Config{Hosts: hosts, TaskTime: taskTime, MaxStopTime: 200 * time.Millisecond})
	if err != nil {
		return harness.NotRun, err
	}
	defer platform.Close()
	platform.WritePolicy(1)
	platform.SetAnswerDelay(late, zoneDelay)
	h, err := harness.Start(harness.Config{Dir: dir, Program: program, Nodes: nodes, Platform: platform, Record: record})
	if err != nil {
		return harness.NotRun, err
	}
	defer h.Stop()
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	status := platform.SubmitJob(ctx, h.Callers(1), anchorID, standin.Job{Steps: 1, Tasks: anchors, TaskCPU: anchorCPU})
	cancel()
	h.Logf("job %s handed in: %d", anchorID, status)
	if status != http.StatusOK {
		return harness.NotRun, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if hasTrouble {
		h.Logf("machine %d leaves orders unanswered for %s, and carries them out %s late", late, lateTime, orderDelay)
		platform.SetOrderDelay(late, orderDelay)
	}
	if err := submitLasting(h); err != nil {
		return harness.NotRun, err
	}
	if hasTrouble {
		// The starts first, and then a share of the lease renewals.
		time.Sleep(100 * time.Millisecond)
		platform.SetOrderDelay(late, 0)
		for end := time.Now().Add(lateTime); time.Now().Before(end); {
			platform.SetRenewalDelay(late, orderDelay)
			time.Sleep(shareTime)
			platform.SetRenewalDelay(late, 0)
			time.Sleep(shareTime)
		}
	}
	time.Sleep(killAfter)
	h.Logf("%d tasks that last run", len(running(platform)))
	if len(running(platform)) < tasks {
		return harness.NotRun, fmt.Errorf("not all tasks run")
	}
	before := running(platform)
	killedAt := time.Now()
	if hasTrouble {
		if err := h.Kill(leader(before), downTime); err != nil {
			return harness.NotRun, err
		}
	}
	time.Sleep(watchTime)
	return judge(h, platform, before, killedAt), nil
}

// submitLasting hands in the job whose tasks last; the stand-in's callers have none.
func submitLasting(h *harness.Harness) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Callers(1).String()+"/jobs/"+jobID, strings.NewReader(lastingBody))
	if err != nil {
		return err
	}
	request.Host = "shop.example"
	request.Header.Set("Authorization", "Bearer k-demo")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	h.Logf("job %s, whose tasks last, handed in: %d", jobID, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("job %s was not accepted", jobID)
	}
	return nil
}

// running returns the runs of the tasks that last which go on.
func running(platform *standin.Platform) []string {
	var runs []string
	for _, line := range platform.DescribeRuns() {
		if strings.HasPrefix(line, jobID) && !strings.Contains(line, " to ") {
			runs = append(runs, line)
		}
	}
	return runs
}

// leader returns the number of the node that ordered a run.
func leader(runs []string) int {
	number := 1
	_, after, _ := strings.Cut(runs[0], " by node-")
	_, _ = fmt.Sscanf(after, "%d", &number)
	return number
}

// judge counts the runs that went on before the leader was killed, and were stopped since.
func judge(h *harness.Harness, platform *standin.Platform, before []string, killedAt time.Time) int {
	stopped := 0
	for _, line := range platform.DescribeRuns() {
		if !strings.HasPrefix(line, jobID) {
			continue
		}
		h.Logf("run: %s", line)
		for _, run := range before {
			if strings.HasPrefix(line, run) && strings.Contains(line, " (stopped,") {
				stopped++
			}
		}
	}
	if stopped > mayMiss {
		h.Logf("AVAIL: within %s of the end of the leader, %d of %d tasks at work on sound runners were stopped, where %d may be away",
			time.Since(killedAt).Round(time.Second), stopped, tasks, mayMiss)
		return harness.Broken
	}
	h.Logf("held: %d of %d tasks at work were stopped", stopped, tasks)
	return harness.Held
}
