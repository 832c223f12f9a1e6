//go:build review

// Program late-start shows what becomes of a start that a runner leaves unanswered and carries out
// late, after its machine has lost power and the runner has started again under its ID.
//
// # Usage
//
//	TROUBLE=1 late-start -program target/lovagedyke -record record.txt
//	TROUBLE=1 late-start -lasting -program target/lovagedyke -record record.txt # a task that lasts
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
	taskTime     = 30 * time.Second
	// The tasks of the first job take most of each machine, so that no pool has a machine to spare.
	anchorID  = "00000000000000a1"
	anchorCPU = 6500
	anchors   = 2 * hosts
	jobID     = "00000000000000e1"
	jobCPU    = 1000
	// orderDelay is how late the one start is carried out that gets no answer.
	orderDelay = 5 * time.Second
	// maxDownTime is the longest time that the machine may have no power, and beforeOrder how long before
	// the late start is carried out it is back.
	maxDownTime = 4500 * time.Millisecond
	beforeOrder = 40 * time.Millisecond
	// otherDownTime is the same for the machine that has lost power before.
	otherDownTime = time.Second
	pollInterval  = 20 * time.Millisecond
	watchTime     = 12 * time.Second
)

func main() {
	program := flag.String("program", "target/lovagedyke", "program under test")
	path := flag.String("record", "record.txt", "file for the record")
	isLasting := flag.Bool("lasting", false, "the task lasts, and another runner has started again under its ID before")
	flag.Parse()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	os.Exit(harness.RunCase(*path, func(dir string, record io.Writer) (int, error) {
		return run(*program, dir, record, hasTrouble, *isLasting)
	}))
}

// run runs the case and returns its exit code.
func run(program, dir string, record io.Writer, hasTrouble, isLasting bool) (int, error) {
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
	if err := submit(h, platform, anchorID, standin.Job{Steps: 1, Tasks: anchors, TaskCPU: anchorCPU}); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(2 * time.Second)
	if isLasting && hasTrouble {
		if err := losePower(h, platform, proxies, hosts, otherDownTime); err != nil {
			return harness.NotRun, err
		}
		time.Sleep(2 * time.Second)
	}
	setOrderDelay(platform, hasTrouble, orderDelay)
	sentAt := time.Now()
	hand := submit
	if isLasting {
		hand = submitLasting
	}
	if err := hand(h, platform, jobID, standin.Job{Steps: 1, Tasks: 1, TaskCPU: jobCPU}); err != nil {
		return harness.NotRun, err
	}
	time.Sleep(100 * time.Millisecond)
	setOrderDelay(platform, hasTrouble, 0)
	if hasTrouble {
		h.Logf("the first start of the task got no answer, and is carried out %s after it was sent", orderDelay)
	}
	machine, err := awaitRun(platform)
	if err != nil {
		return harness.NotRun, err
	}
	h.Logf("the task runs on machine %d", machine)
	if hasTrouble {
		time.Sleep(200 * time.Millisecond)
		downTime := time.Until(sentAt.Add(orderDelay - beforeOrder))
		if downTime > maxDownTime {
			return harness.NotRun, fmt.Errorf("the machine would be down for %s", downTime)
		}
		if err := losePower(h, platform, proxies, machine, downTime); err != nil {
			return harness.NotRun, err
		}
	}
	time.Sleep(watchTime)
	h.Logf("%d calls to runners in all", proxies.Orders())
	for _, line := range platform.DescribeRuns() {
		h.Logf("run: %s", line)
	}
	duplicates := platform.Report().DuplicateStarts
	for _, line := range duplicates {
		h.Logf("TWICE: %s", line)
	}
	if len(duplicates) > 0 {
		return harness.Broken, nil
	}
	h.Logf("held: no task ran twice at the same time")
	return harness.Held, nil
}

// losePower lets a machine lose its power for a time. Its runner then starts again under its ID.
func losePower(h *harness.Harness, platform *standin.Platform, proxies *harness.Proxies, machine int, downTime time.Duration) error {
	h.Logf("machine %d loses power for %s; then the runner starts again under its ID", machine, downTime.Round(time.Millisecond))
	proxies.SetDark(machine, true)
	err := platform.RestartHost(machine, standin.Restart{Pause: downTime, Departure: standin.HangsUp})
	proxies.SetDark(machine, false)
	h.Logf("machine %d is back", machine)
	return err
}

// submit hands a job in.
func submit(h *harness.Harness, platform *standin.Platform, id string, job standin.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status := platform.SubmitJob(ctx, h.Callers(1), id, job)
	h.Logf("job %s handed in: %d", id, status)
	if status != 200 {
		return fmt.Errorf("job %s was not accepted", id)
	}
	return nil
}

// lastingBody is the body of a job of one task that lasts.
const lastingBody = `{"spec":"demo","steps":[{"count":1,"cpu":1000,"mem_mb":64,"persistent":true}]}`

// submitLasting hands a job in whose task lasts; the stand-in's callers have none.
func submitLasting(h *harness.Harness, _ *standin.Platform, id string, _ standin.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Callers(1).String()+"/jobs/"+id, strings.NewReader(lastingBody))
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
	h.Logf("job %s, whose task lasts, handed in: %d", id, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("job %s was not accepted", id)
	}
	return nil
}

// setOrderDelay makes the runners carry out orders late, which they leave unanswered, or ends that.
func setOrderDelay(platform *standin.Platform, hasTrouble bool, delay time.Duration) {
	for n := range hosts {
		if hasTrouble {
			platform.SetOrderDelay(n+1, delay)
		}
	}
}

// awaitRun waits until the task runs, and returns the number of its machine.
func awaitRun(platform *standin.Platform) (int, error) {
	deadline := time.Now().Add(4 * time.Second)
	for time.Now().Before(deadline) {
		for _, line := range platform.DescribeRuns() {
			var machine int
			_, after, _ := strings.Cut(line, " on i-")
			if _, err := fmt.Sscanf(after, "%d", &machine); err == nil && strings.HasPrefix(line, jobID) {
				return machine, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("the task does not run")
}
