package runner_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/place"
	fakeworker "github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/task/runner"
)

// BenchmarkUrgentStart measures the time from the submission of an urgent task to
// its start on a pool that is full of batch tasks, over loopback and for several
// table latencies.
func BenchmarkUrgentStart(b *testing.B) {
	for _, latency := range []string{"5ms", "50ms", "300ms"} {
		b.Run("table-"+latency, func(b *testing.B) { benchmarkUrgentStart(b, latency) })
	}
}

func benchmarkUrgentStart(b *testing.B, latency string) {
	const workers = 16
	c := newCluster(b, workers, 1)
	for i := range workers {
		c.submitWithClass(fmt.Sprint("batch-", i), place.Batch, time.Hour)
	}
	c.awaitRunning(workers)
	c.setFaults(c.platform, "/faults", map[string]any{"slow": latency})
	submitted := map[string]time.Time{}
	for b.Loop() {
		id := fmt.Sprint("urgent-", len(submitted))
		submitted["plans/"+id] = time.Now()
		c.submitWithClass(id, place.Urgent, time.Millisecond)
		c.awaitEnd(id)
	}
	delays := c.startDelays(submitted)
	if len(delays) == 0 {
		b.Fatal("urgent runs: got none, want some")
	}
	b.ReportMetric(delays[len(delays)/2].Seconds()*1000, "median-ms")
	b.ReportMetric(delays[len(delays)-1].Seconds()*1000, "greatest-ms")
}

// submitWithClass submits a task of the class that needs a whole worker.
func (c *cluster) submitWithClass(id string, class place.Class, runTime time.Duration) {
	body, err := json.Marshal(fakeworker.Workload{RunTime: duration.New(runTime)})
	if err != nil {
		c.t.Fatal(err)
	}
	c.retryRequest(func(r *runner.Runner) (task.Reply, error) {
		return r.Submit(c.ctx, task.Spec{
			ID: id, Queue: "plans", Team: "reef", Class: class, Body: body, Size: place.Size{CPUs: 4, Memory: 1 << 20},
		})
	})
}

// awaitRunning waits until that number of tasks are running.
func (c *cluster) awaitRunning(tasks int) {
	for c.ctx.Err() == nil {
		running := 0
		for _, open := range c.runners[0].Dump().Tasks {
			if open.State == task.Running {
				running++
			}
		}
		if running == tasks {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("running tasks: got too few")
}

// startDelays returns the sorted durations from submission to start.
func (c *cluster) startDelays(submitted map[string]time.Time) []time.Duration {
	var delays []time.Duration
	for _, server := range c.workers {
		for _, run := range c.stats(server).Runs {
			if at, ok := submitted[run.Task]; ok {
				delays = append(delays, run.Start.Sub(at))
			}
		}
	}
	slices.Sort(delays)
	return delays
}
