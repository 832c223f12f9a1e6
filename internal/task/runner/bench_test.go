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

// BenchmarkUrgentStart measures, over loopback and with tables of several speeds,
// the time from an urgent task's submission to its start at a worker of a pool
// that is full of batch work.
func BenchmarkUrgentStart(b *testing.B) {
	for _, slow := range []string{"5ms", "50ms", "300ms"} {
		b.Run("table-"+slow, func(b *testing.B) { benchmarkUrgentStart(b, slow) })
	}
}

func benchmarkUrgentStart(b *testing.B, slow string) {
	const workers = 16
	pool := newBench(b, workers, 1)
	for i := range workers {
		pool.submitClass(fmt.Sprint("batch-", i), place.Batch, time.Hour)
	}
	pool.awaitRunning(workers)
	pool.faults(pool.platform, "/faults", map[string]any{"slow": slow})
	submitted := map[string]time.Time{}
	for b.Loop() {
		id := fmt.Sprint("urgent-", len(submitted))
		submitted["plans/"+id] = time.Now()
		pool.submitClass(id, place.Urgent, time.Millisecond)
		pool.await(id)
	}
	waits := pool.waits(submitted)
	if len(waits) == 0 {
		b.Fatal("urgent runs: got none, want some")
	}
	b.ReportMetric(waits[len(waits)/2].Seconds()*1000, "median-ms")
	b.ReportMetric(waits[len(waits)-1].Seconds()*1000, "greatest-ms")
}

// submitClass submits a task as large as a worker.
func (b *bench) submitClass(id string, class place.Class, runTime time.Duration) {
	body, err := json.Marshal(fakeworker.Job{RunTime: duration.New(runTime)})
	if err != nil {
		b.t.Fatal(err)
	}
	b.do(func(r *runner.Runner) (task.Reply, error) {
		return r.Submit(b.ctx, task.Spec{
			ID: id, Queue: "plans", Team: "reef", Class: class, Body: body, Size: place.Size{CPUs: 4, Memory: 1 << 20},
		})
	})
}

// awaitRunning waits until so many tasks run.
func (b *bench) awaitRunning(tasks int) {
	for b.ctx.Err() == nil {
		running := 0
		for _, open := range b.runners[0].Dump().Tasks {
			if open.State == task.Running {
				running++
			}
		}
		if running == tasks {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("running tasks: got too few")
}

// waits returns the sorted times from submission to start.
func (b *bench) waits(submitted map[string]time.Time) []time.Duration {
	var waits []time.Duration
	for _, server := range b.workers {
		for _, run := range b.stats(server).Runs {
			if at, ok := submitted[run.Task]; ok {
				waits = append(waits, run.Start.Sub(at))
			}
		}
	}
	slices.Sort(waits)
	return waits
}
