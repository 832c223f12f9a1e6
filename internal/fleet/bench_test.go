package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// BenchmarkStartAndEnd is the leader's part of a task from its start to its
// acknowledged end, beside 50 endpoints.
func BenchmarkStartAndEnd(b *testing.B) {
	w := newWorld(&testing.T{}, worldConfig{})
	for n := range 50 {
		w.endpoint(fleet.EndpointID(fmt.Sprintf("i-%02d", n)))
	}
	numbers := map[fleet.EndpointID]int64{}
	n := 0
	for b.Loop() {
		n++
		w.accept(submission(n, tasks(1)))
		start := w.step().Starts[0]
		w.take()
		numbers[start.Endpoint]++
		w.running[start.Endpoint] = nil
		w.ended[start.Endpoint] = []fleet.Completion{{
			Number: numbers[start.Endpoint], Task: start.Task, Run: start.Run, Kind: fleet.CompletionDone,
		}}
		w.look(start.Endpoint)
		w.write()
		w.ended[start.Endpoint] = nil
		w.look(start.Endpoint)
		if n%100 == 0 {
			// Jobs that ended long ago are forgotten, as their rows are.
			w.pass(time.Hour)
			w.leader.ForgetJobs(w.leader.ExpiredJobs(w.now, 100))
		}
	}
}

// BenchmarkStepAtPeak is one decision beside 350 hosts that are full, with a
// thousand jobs that wait.
func BenchmarkStepAtPeak(b *testing.B) {
	w := newWorld(&testing.T{}, worldConfig{})
	var hosts []fleet.Host
	for n := range 350 {
		hosts = append(hosts, hostOf([]string{poolName, otherPool}[n%2], fleet.EndpointID(fmt.Sprintf("i-%03d", n))))
	}
	w.listHosts(hosts...)
	for n := range 1500 {
		j := submission(n+1, tasks(8))
		if n%2 == 1 {
			j.Queue, j.Pool = "other", otherPool
		}
		w.accept(j)
	}
	w.step()
	w.take()
	b.ReportAllocs()
	for b.Loop() {
		w.pass(time.Microsecond)
		w.step()
	}
}
