package fleet_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// Guards against jobs that have ended and take a leader's memory by the length of their texts for
// as long as their state can be queried.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	const jobs, textBytes, bytesPerJob = 50, 200 << 10, 16 << 10
	tests := map[string]func(accepted *job.Submission, text string){
		"image":    func(accepted *job.Submission, text string) { accepted.Steps[0].Image = text },
		"affinity": func(accepted *job.Submission, text string) { accepted.Steps[0].Affinity = text },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			s.addEndpoint("a")
			before := heapBytes()
			for n := range jobs {
				accepted := submission(n+1, tasks(1))
				set(accepted, strings.Repeat("a", textBytes))
				s.submit(accepted)
				starts := s.step().Starts
				if len(starts) != 1 {
					t.Fatalf("starts of job %d: got %d, want 1", n, len(starts))
				}
				s.acceptStarts()
				s.endRun(starts[0], fleet.CompletionDone)
				s.writeBatches()
				s.advance(time.Second)
				s.renewLease("a")
			}
			got := heapBytes() - before
			if want := int64(jobs * bytesPerJob); got > want {
				t.Errorf("heap of %d ended jobs: got %d bytes, want at most %d", jobs, got, want)
			}
			runtime.KeepAlive(s)
		})
	}
}
