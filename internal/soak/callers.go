package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/platform/standin"
)

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// jobOf returns the job with a number. With HasMixedJobs some run several times, one of them many
// times, and some are of an account with a cap.
func (s *soak) jobOf(n int) standin.Job {
	job := standin.Job{Steps: stepsPerJob, Tasks: tasksPerStep}
	switch {
	case !s.config.HasGangs:
	case slices.Contains(wideGangs, n):
		return standin.Job{Steps: 1, Tasks: wideGangSize, IsGang: true, TaskCPU: wideGangTaskCPU}
	case n%gangInterval == gangInterval-1:
		return standin.Job{Steps: 1, Tasks: gangSize, IsGang: true}
	}
	if s.hasRecuts() {
		job = standin.Job{Steps: 1, Tasks: 1}
		if n%longInterval == 0 {
			job.TaskTime = longRecutTaskTime
		}
	}
	if !s.config.HasMixedJobs {
		return job
	}
	switch {
	case n%cappedInterval == 0:
		job.Steps, job.IsCapped, job.TaskTime = 1, true, cappedTaskTime
	case n == manyTimesJob:
		job.Times, job.Interval = manyTimes, manyTimesInterval
	case n%scheduledInterval == scheduledInterval-1:
		job.Times, job.Interval = scheduledTimes, jobInterval
	}
	return job
}

// taskCount returns the number of an accepted job's tasks.
func (s *soak) taskCount(id string) int {
	n, err := strconv.ParseInt(id, 16, 64)
	if err != nil {
		// Cannot happen: jobID formats the number.
		panic(err)
	}
	job := s.jobOf(int(n) - 1)
	return job.Steps * job.Tasks * max(1, job.Times)
}

// submitJobs submits jobs until the end.
func (s *soak) submitJobs(ctx context.Context, end time.Time) {
	attempts := loops.New(ctx)
	backlog := 0
	if s.config.ColdStart {
		backlog = coldStartJobs
	}
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		s.setDeadly(n)
		if n < backlog {
			attempts.Go(func(ctx context.Context) { s.submitJob(ctx, n, coldStartAttempts) })
			continue
		}
		attempts.Go(func(ctx context.Context) { s.submitJob(ctx, n, maxAttempts) })
		loops.Sleep(ctx, s.jobInterval())
	}
	attempts.Wait()
}

// jobInterval returns the time between two jobs.
func (s *soak) jobInterval() time.Duration {
	if s.hasRecuts() {
		return recutJobInterval
	}
	return jobInterval
}

// setDeadly makes one of deadlyInterval jobs deadly while some are.
func (s *soak) setDeadly(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%deadlyInterval == 0 && time.Now().Before(s.deadlyUntil) {
		s.deadly[jobID(n)] = true
		s.platform.SetDeadly(jobID(n), deadlyAfter)
	}
}

// finalState returns the state in which a job has to end.
func (s *soak) finalState(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadly[id] {
		return "failed"
	}
	return "complete"
}

// submitJob submits a job to one node after the other until one accepts it, at most
// attempts times.
func (s *soak) submitJob(ctx context.Context, n, attempts int) {
	outcomeUnknown := false
	for attempt := range attempts {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status := s.platform.SubmitJob(callCtx, s.callerAddresses[(n+attempt)%len(s.callerAddresses)], jobID(n), s.jobOf(n))
		cancel()
		switch status {
		case 200:
			s.mu.Lock()
			s.accepted[jobID(n)] = time.Now()
			s.mu.Unlock()
			return
		case 429, 503:
		default:
			// There was no response, or one that leaves open whether the job will run.
			outcomeUnknown = true
		}
		loops.Sleep(ctx, time.Duration(attempt+1)*jobInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcomeUnknown {
		s.report.OutcomeUnknown++
		return
	}
	s.refused = append(s.refused, jobID(n))
}

// pollStates asks random nodes for the state of random accepted jobs until the end.
func (s *soak) pollStates(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(s.config.Seed, 1))
	for time.Now().Before(end) && ctx.Err() == nil {
		loops.Sleep(ctx, jobInterval)
		s.mu.Lock()
		var due []string
		for id, at := range s.accepted {
			if time.Since(at) > maxPropagationDelay {
				due = append(due, id)
			}
		}
		s.mu.Unlock()
		if len(due) == 0 {
			continue
		}
		id, node := due[random.IntN(len(due))], s.callerAddresses[random.IntN(len(s.callerAddresses))]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		state, notFound := s.platform.LookupState(callCtx, node, id)
		cancel()
		if notFound || state == "cancelled" || state == "failed" && s.finalState(id) != state {
			s.addViolation("accepted job %s has state %q (unknown: %v) at node %s", id, state, notFound, node)
		}
	}
}
