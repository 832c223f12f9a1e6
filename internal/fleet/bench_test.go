package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// BenchmarkStartAndEnd measures the leader's work for a task, from its start to its
// acknowledged completion, with 50 endpoints.
func BenchmarkStartAndEnd(b *testing.B) {
	s := newSimulation(&testing.T{}, simulationConfig{unchecked: true})
	for n := range 50 {
		s.addEndpoint(fleet.EndpointID(fmt.Sprintf("i-%02d", n)))
	}
	numbers := map[fleet.EndpointID]int64{}
	n := 0
	for b.Loop() {
		n++
		s.submit(submission(n, tasks(1)))
		start := s.step().Starts[0]
		s.acceptStarts()
		numbers[start.Endpoint]++
		s.running[start.Endpoint] = nil
		s.ended[start.Endpoint] = []fleet.Completion{{
			Number: numbers[start.Endpoint], Task: start.Task, Run: start.Run, Kind: fleet.CompletionDone,
		}}
		s.renewLease(start.Endpoint)
		s.writeBatches()
		s.ended[start.Endpoint] = nil
		s.renewLease(start.Endpoint)
		if n%100 == 0 {
			// Forget jobs that ended long ago, as package control does once it has deleted their rows.
			s.advance(time.Hour)
			s.leader.ForgetJobs(s.leader.ExpiredJobs(s.now, 100))
		}
	}
}

// BenchmarkStepAtPeak measures one step with full hosts and four waiting jobs for each.
func BenchmarkStepAtPeak(b *testing.B) {
	for _, hosts := range []int{350, 1100, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkStepAtPeak(b, hosts) })
	}
}

// BenchmarkStepDuringEvacuation is BenchmarkStepAtPeak with some data centres evacuated; each has a
// third of the hosts.
func BenchmarkStepDuringEvacuation(b *testing.B) {
	centres := []string{evacuated, remaining, "alofi"}
	for count := range len(centres) + 1 {
		b.Run(fmt.Sprintf("evacuated=%d", count), func(b *testing.B) {
			const hostCount = 1100
			s := newSimulation(&testing.T{}, simulationConfig{unchecked: true})
			hosts := map[string][]fleet.Host{}
			for n := range hostCount {
				h := newHost([]string{poolName, otherPool}[n%2], fleet.EndpointID(fmt.Sprintf("i-%04d", n)))
				hosts[centres[n%3]] = append(hosts[centres[n%3]], h)
			}
			s.listHostsIn(hosts)
			for n := range hostCount {
				s.submit(submission(n+1, persistentTasks(8, 1)))
			}
			for n := range 4 * hostCount {
				s.submit(submission(hostCount+n+1, tasks(8)))
			}
			s.fill()
			for _, h := range hosts {
				for _, row := range h {
					s.renewLease(row.Endpoint)
				}
			}
			s.evacuate(centres[:count]...)
			b.ReportAllocs()
			for b.Loop() {
				s.advance(time.Microsecond)
				s.step()
			}
		})
	}
}

func benchmarkStepAtPeak(b *testing.B, hostCount int) {
	s := newSimulation(&testing.T{}, simulationConfig{unchecked: true})
	var hosts []fleet.Host
	for n := range hostCount {
		hosts = append(hosts, newHost([]string{poolName, otherPool}[n%2], fleet.EndpointID(fmt.Sprintf("i-%04d", n))))
	}
	s.listHosts(hosts...)
	for n := range 4 * hostCount {
		j := submission(n+1, tasks(8))
		if n%2 == 1 {
			j.Queue, j.Pool = "other", otherPool
		}
		s.submit(j)
	}
	s.fill()
	b.ReportAllocs()
	for b.Loop() {
		s.advance(time.Microsecond)
		s.step()
	}
}

// fill starts tasks until the hosts are full: a step starts a limited number.
func (s *simulation) fill() {
	for len(s.step().Starts) > 0 {
		s.acceptStarts()
	}
}

// BenchmarkOutlook measures the outlook with full hosts and four waiting jobs for each, which
// the leader computes at most five times a second.
func BenchmarkOutlook(b *testing.B) {
	const hostCount = 3000
	s := newSimulation(&testing.T{}, simulationConfig{unchecked: true})
	var hosts []fleet.Host
	for n := range hostCount {
		hosts = append(hosts, newHost([]string{poolName, otherPool}[n%2], fleet.EndpointID(fmt.Sprintf("i-%04d", n))))
	}
	s.listHosts(hosts...)
	for n := range 4 * hostCount {
		s.submit(submission(n+1, tasks(8)))
	}
	s.fill()
	b.ReportAllocs()
	for b.Loop() {
		s.advance(200 * time.Millisecond)
		s.leader.Outlook(s.now)
	}
}
