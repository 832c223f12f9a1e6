package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
)

// BenchmarkChoose measures one decision on a pool whose workers are half full.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{16, 63, 250, 1000, 1700} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			placer := pool(place.Config{}, workers)
			for i := range workers {
				d := demand(fmt.Sprintf("held-%d", i), place.Normal, 8, 8)
				placer.Place(start, d, fmt.Sprintf("worker-%d", i))
			}
			d := demand("next", place.Normal, 4, 4)
			b.ReportAllocs()
			for b.Loop() {
				placer.Choose(start, d)
			}
		})
	}
}

// job is a task with its actual usage and remaining run time in seconds.
type job struct {
	demand    place.Demand
	actual    place.Size
	remaining float64
	total     float64
	failed    int
}

// randomJobs draws tasks of five queues. Each declaration is off by its queue's
// bias and a random factor.
func randomJobs(random *rand.Rand, n int) []*job {
	biases := []float64{0.25, 0.5, 1, 1.5, 2.5}
	var jobs []*job
	for i := range n {
		q := random.IntN(len(biases))
		factor := biases[q] * math.Exp(0.3*random.NormFloat64())
		d := demand(fmt.Sprintf("q%d/%04d", q, i), place.Normal, 1+3*random.Float64(), 2+random.Int64N(10))
		d.Queue = fmt.Sprint("q", q)
		seconds := 20 + 100*random.Float64()
		d.RunTime = time.Duration(seconds * float64(time.Second))
		jobs = append(jobs, &job{
			demand:    d,
			actual:    place.Size{CPUs: d.Declared.CPUs * factor, Memory: int64(float64(d.Declared.Memory) * factor)},
			remaining: seconds * factor, total: seconds * factor,
		})
	}
	return jobs
}

// benchmarkResult is the result of running a load under one policy.
type benchmarkResult struct {
	makespan float64
	bound    float64
	failures int
	givenUp  int
}

// simulate runs the load to completion in steps of one second. A worker that is
// short of processors slows its tasks down; a worker that is short of memory
// fails its newest tasks.
func simulate(cfg place.Config, seed uint64, workers, tasks int) benchmarkResult {
	placer := pool(cfg, workers)
	waiting := randomJobs(rand.New(rand.NewPCG(seed, 7)), tasks)
	result := benchmarkResult{bound: lowerBound(waiting, workers)}
	running := map[string][]*job{}
	now := start
	for len(waiting) > 0 || len(running) > 0 {
		now = now.Add(time.Second)
		waiting = slices.DeleteFunc(waiting, func(j *job) bool {
			decision := placer.Choose(now, j.demand)
			if decision.Outcome != place.Placed {
				return false
			}
			placer.Place(now, j.demand, decision.Worker)
			running[decision.Worker] = append(running[decision.Worker], j)
			return true
		})
		for _, worker := range sortedWorkers(running) {
			remaining, failed := advance(placer, now, running[worker])
			result.failures += len(failed)
			for _, j := range failed {
				if j.failed++; j.failed >= 5 {
					result.givenUp++
					continue
				}
				j.demand.MemoryFailures++
				j.remaining = j.total
				waiting = append(waiting, j)
			}
			running[worker] = remaining
			if len(remaining) == 0 {
				delete(running, worker)
			}
		}
	}
	result.makespan = now.Sub(start).Seconds()
	return result
}

// advance runs one worker's tasks for one second.
func advance(placer *place.Placer, now time.Time, jobs []*job) (remaining, failed []*job) {
	var used place.Size
	for _, j := range jobs {
		used = used.Plus(j.actual)
	}
	for used.Memory > 64*gib {
		last := jobs[len(jobs)-1]
		jobs = jobs[:len(jobs)-1]
		used = used.Minus(last.actual)
		placer.ReportUsage(now, last.demand.Task, last.actual)
		placer.Release(now, last.demand.Task, place.Failed)
		failed = append(failed, last)
	}
	speed := min(1, 16/used.CPUs)
	for _, j := range jobs {
		j.remaining -= speed
		if now.Second()%2 == 0 { // Reports lag.
			placer.ReportUsage(now, j.demand.Task, j.actual)
		}
		if j.remaining > 0 {
			remaining = append(remaining, j)
			continue
		}
		placer.Release(now, j.demand.Task, place.Succeeded)
		placer.Forget(j.demand.Task)
	}
	return remaining, failed
}

// lowerBound returns the minimum makespan in seconds if the work could be divided
// arbitrarily.
func lowerBound(jobs []*job, workers int) float64 {
	var cpus, memory float64
	for _, j := range jobs {
		cpus += j.total * j.actual.CPUs
		memory += j.total * float64(j.actual.Memory)
	}
	return max(cpus/16, memory/(64*gib)) / float64(workers)
}

func sortedWorkers(running map[string][]*job) []string {
	var names []string
	for name := range running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// BenchmarkPlacing compares corrected with declared sizes on 24 workers over five
// seeds. It reports the makespan as a multiple of the lower bound, and the failed
// runs.
func BenchmarkPlacing(b *testing.B) {
	policies := map[string]place.Config{"learned": {}, "declared": {TrustDeclared: true}}
	for _, name := range []string{"learned", "declared"} {
		b.Run(name, func(b *testing.B) {
			var spans []float64
			failures, givenUp := 0, 0
			for b.Loop() {
				spans, failures, givenUp = nil, 0, 0
				for seed := range uint64(5) {
					result := simulate(policies[name], seed, 24, 1500)
					spans = append(spans, result.makespan/result.bound)
					failures += result.failures
					givenUp += result.givenUp
				}
			}
			slices.Sort(spans)
			b.ReportMetric(spans[2], "median-makespan/bound")
			b.ReportMetric(spans[0], "least-makespan/bound")
			b.ReportMetric(spans[4], "greatest-makespan/bound")
			b.ReportMetric(float64(failures)/5, "failed-runs/seed")
			b.ReportMetric(float64(givenUp)/5, "given-up/seed")
		})
	}
}
