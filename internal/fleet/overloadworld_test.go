package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// overloadHosts hosts of 16 cores do 20 jobs of 8 tasks of 1 s in a second.
	overloadHosts = 10
	// usualJobs is the usual number of jobs in a second.
	usualJobs = 12.0
	// newsInterval is the time between two outlooks that a process receives.
	newsInterval = 250 * time.Millisecond
	// objectiveOfLoad is the objective of the jobs: 1.6 times their task, plus 1 s.
	objectiveOfLoad = 2600 * time.Millisecond
)

// overloadWorld is a crashWorld without crashes whose jobs ask for admission.
type overloadWorld struct {
	*crashWorld
	isOff      bool
	outlook    admission.Outlook
	receivedAt time.Time
	count      int
	// returns holds when refused jobs return.
	returns map[job.ID]time.Time
	// refused counts refusals by account.
	refused map[string]int
}

func newOverloadWorld(t *testing.T, isOff bool) *overloadWorld {
	config := defaultPolicy()
	config.Pools = config.Pools[:1]
	config.Accounts = []policy.Account{{Name: "hot", Weight: 3}, {Name: "calm", Weight: 100}}
	return &overloadWorld{
		crashWorld: newCrashWorld(t, crashWorldConfig{endpoints: overloadHosts, policy: config}), isOff: isOff,
		returns: map[job.ID]time.Time{}, refused: map[string]int{},
	}
}

// ask submits a job unless it is refused.
func (w *overloadWorld) ask(submission *job.Submission, isReturn bool) {
	decision := admission.Decide(admission.Request{
		ID: string(submission.ID), Pool: poolName, Account: submission.Account, Chain: time.Second,
		Stretch: submission.Stretch, Target: submission.Target, CallerTimeout: time.Second, Returned: isReturn,
	}, w.outlook, w.now.Sub(w.receivedAt))
	if !w.isOff && !decision.Admit {
		w.refused[submission.Account]++
		w.returns[submission.ID] = w.now.Add(decision.RetryAfter)
		return
	}
	submission.Returned = isReturn
	w.submit(submission)
}

// play submits jobs for a time, at each account's rate in jobs per second.
func (w *overloadWorld) play(d time.Duration, rates map[string]float64) {
	due := map[string]float64{}
	for end := w.now.Add(d); w.now.Before(end); {
		if w.now.Sub(w.receivedAt) >= newsInterval {
			w.outlook, w.receivedAt = w.leader.Outlook(w.now), w.now
		}
		for account, rate := range rates {
			for due[account] += rate * worldTick.Seconds(); due[account] >= 1; due[account]-- {
				w.count++
				j := submission(w.count, tasks(8))
				j.Account = account
				w.ask(j, false)
			}
		}
		for id, at := range w.returns {
			if !w.now.Before(at) {
				delete(w.returns, id)
				j := submission(0, tasks(8))
				j.ID = id
				w.ask(j, true)
			}
		}
		w.tick()
	}
}

// results counts the jobs that ended within their objective, and later than three times of
// it, from their acceptance.
func (w *overloadWorld) results() (inTime, useless int) {
	for _, id := range w.order {
		took := w.doneAt[id].Sub(w.jobs[id].Submission.Accepted)
		switch {
		case w.doneAt[id].IsZero() || took > admission.LateFactor*objectiveOfLoad:
			useless++
		case took <= objectiveOfLoad:
			inTime++
		}
	}
	return inTime, useless
}

// Guards against refusals without need, and against overload in which nothing is refused.
// Measured without admission: with three times the usual traffic for 12 s, 544 of 720 jobs
// end in time, 28 late and 148 too late to be of use.
func TestAdmissionUnderLoad(t *testing.T) {
	usual := map[string]float64{"": usualJobs}
	tests := map[string]struct {
		rates map[string]float64
		d     time.Duration
		// mayRefuse are the accounts whose jobs may be refused; wantRefused is true if some must be.
		mayRefuse   map[string]bool
		wantRefused bool
	}{
		"nearly the pool's capacity":          {rates: map[string]float64{"": 1.6 * usualJobs}, d: 8 * time.Second},
		"ten times the usual for 400 ms":      {rates: map[string]float64{"": 10 * usualJobs}, d: 400 * time.Millisecond},
		"three times the usual for 12 s":      {rates: map[string]float64{"": 3 * usualJobs}, d: 12 * time.Second, mayRefuse: map[string]bool{"": true}, wantRefused: true},
		"an account far above its usual rate": {rates: map[string]float64{"calm": usualJobs, "hot": 3 * usualJobs}, d: 12 * time.Second, mayRefuse: map[string]bool{"hot": true}, wantRefused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newOverloadWorld(t, false)
			w.play(2*time.Second, usual)
			w.play(test.d, test.rates)
			for account, count := range w.refused {
				if !test.mayRefuse[account] {
					t.Errorf("refused jobs of account %q: got %d, want 0", account, count)
				}
			}
			if got := len(w.refused) > 0; got != test.wantRefused {
				t.Errorf("some jobs refused: got %t, want %t", got, test.wantRefused)
			}
		})
	}
}

// Guards against refusals that cost more callers their results than they help.
func TestAdmissionHelpsCallers(t *testing.T) {
	var inTime, useless [2]int
	for i, isOff := range []bool{true, false} {
		w := newOverloadWorld(t, isOff)
		w.play(2*time.Second, map[string]float64{"": usualJobs})
		w.play(12*time.Second, map[string]float64{"": 3 * usualJobs})
		w.play(15*time.Second, map[string]float64{"": usualJobs})
		if got := len(w.returns); got != 0 {
			t.Errorf("refused jobs that have not returned 15 s after the overload: got %d, want 0", got)
		}
		inTime[i], useless[i] = w.results()
	}
	if inTime[1] <= inTime[0] {
		t.Errorf("jobs in time: got %d with admission, want more than %d without", inTime[1], inTime[0])
	}
	if useless[1] >= useless[0] {
		t.Errorf("jobs too late to be of use: got %d with admission, want less than %d without", useless[1], useless[0])
	}
}
