package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
)

// awaitJobs waits until all accepted jobs are complete, at most recoveryTimeout.
func (s *soak) awaitJobs(ctx context.Context) {
	end := time.Now().Add(recoveryTimeout)
	for id := range s.accepted {
		for n := 0; ; n++ {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			state, _ := s.platform.LookupState(callCtx, s.callerAddresses[n%len(s.callerAddresses)], id)
			cancel()
			if state == s.finalState(id) {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				s.addViolation("accepted job %s has state %q %s after the last fault", id, state, recoveryTimeout)
				break
			}
			loops.Sleep(ctx, jobInterval)
		}
	}
}

// logRuns writes all runs to runs.log in Config.Dir.
func (s *soak) logRuns() {
	text := strings.Join(s.platform.DescribeRuns(), "\n")
	if err := os.WriteFile(filepath.Join(s.config.Dir, "runs.log"), []byte(text+"\n"), 0o600); err != nil {
		s.addViolation("log of runs not written: %v", err)
	}
}

// checkRuns compares the runs at the endpoints with the responses to callers.
func (s *soak) checkRuns() {
	for id := range s.accepted {
		if s.deadly[id] {
			if got, want := s.platform.DeadlyCrashes(id), 2; got < want {
				s.addViolation("job %s has failed: got %d endpoints that crashed under its task, want at least %d", id, got, want)
			}
			continue
		}
		if got, want := s.platform.DoneTasks(id), s.taskCount(id); got != want {
			s.addViolation("accepted job %s: got %d tasks done, want %d", id, got, want)
		}
	}
	for _, id := range s.refused {
		if got := s.platform.EverDoneTasks(id); got != 0 {
			s.addViolation("job %s was refused at every attempt, but %d of its tasks ran", id, got)
		}
	}
	report := s.platform.Report()
	for _, duplicate := range report.DuplicateStarts {
		s.addViolation("%s, and was started again", duplicate)
	}
	for _, start := range report.OverBudget {
		s.addViolation("started too often: %s", start)
	}
	for _, start := range report.OverCapacity {
		s.addViolation("started beyond the capacity: %s", start)
	}
	for _, start := range report.OverCap {
		s.addViolation("started beyond the cap: %s", start)
	}
	for _, start := range report.LateInEvacuation {
		s.addViolation("started in an evacuated data centre: %s", start)
	}
	for _, problem := range report.RefusedTransactions {
		s.addViolation("the store has refused a transaction: %s", problem)
	}
	s.report.ExcusedInEvacuation = report.ExcusedInEvacuation
	s.report.Deadly, s.report.Accepted, s.report.Refused, s.report.Runs = len(s.deadly), len(s.accepted), len(s.refused), report.Runs
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}
