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
	"slices"
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
	proxies := &harness.Proxies{}
	platform, err := standin.New(standin.Config{Hosts: hosts, TaskTime: taskTime, MaxStopTime: 200 * time.Millisecond, Expose: proxies.Expose})
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
	ordersBefore, lateBefore := proxies.Orders(), proxies.OrdersTo(late)
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
		lateCalls := proxies.OrdersTo(late) - lateBefore
		for end := time.Now().Add(lateTime); time.Now().Before(end); {
			countBefore := proxies.OrdersTo(late)
			platform.SetRenewalDelay(late, orderDelay)
			time.Sleep(shareTime)
			platform.SetRenewalDelay(late, 0)
			lateCalls += proxies.OrdersTo(late) - countBefore
			time.Sleep(shareTime)
		}
		h.Logf("at most %d calls got no answer", lateCalls)
	}
	h.Logf("%d calls to runners meanwhile, %d of them to machine %d", proxies.Orders()-ordersBefore, proxies.OrdersTo(late)-lateBefore, late)
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

// judge looks for stops of runs that went on before the leader was killed, while too many others of the
// step were away.
func judge(h *harness.Harness, platform *standin.Platform, before []string, killedAt time.Time) int {
	var runs []string
	for _, line := range platform.DescribeRuns() {
		if strings.HasPrefix(line, jobID) {
			runs = append(runs, line)
			h.Logf("run: %s", line)
		}
	}
	for _, run := range runs {
		_, end := times(run)
		wentOn := slices.ContainsFunc(before, func(other string) bool { return strings.HasPrefix(run, other) })
		if !wentOn || !strings.Contains(run, " (stopped,") {
			continue
		}
		if away := othersAway(runs, run, end); away >= mayMiss {
			h.Logf("AVAIL: %s after the end of the leader, a task at work on a sound runner had been stopped while %d others of its step were away, where %d may be: %s",
				time.Since(killedAt).Round(time.Second), away, mayMiss, run)
			return harness.Broken
		}
	}
	h.Logf("held: no task at work was stopped while others were away")
	return harness.Held
}

// othersAway counts the step's other tasks that have no run at a time.
func othersAway(runs []string, stopped, at string) int {
	task := strings.Fields(stopped)[0]
	present := map[string]bool{}
	for _, run := range runs {
		begin, end := times(run)
		if begin <= at && (end == "" || end > at) {
			present[strings.Fields(run)[0]] = true
		}
	}
	delete(present, task)
	return tasks - 1 - len(present)
}

// times returns when a run began and ended, the latter "" if it goes on.
func times(run string) (begin, end string) {
	_, after, _ := strings.Cut(run, " from ")
	fields := strings.Fields(after)
	if len(fields) > 2 && fields[1] == "to" {
		return fields[0], fields[2]
	}
	return fields[0], ""
}
