package fleet_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// suspectedWorld returns a world in which the one task of the first job, which is sound, was lost
// with its endpoint, and is to be tried next.
func suspectedWorld(t *testing.T, config crashWorldConfig) *crashWorld {
	t.Helper()
	w := newCrashWorld(t, config)
	w.runFor(100 * time.Millisecond)
	w.submit(submission(1, tasks(1)))
	w.runFor(50 * time.Millisecond)
	for _, h := range w.hosts {
		if len(h.runner.running) > 0 {
			w.crash(h)
		}
	}
	return w
}

// crashHost ends the endpoint of a host.
func (w *crashWorld) crashHost(id fleet.HostID) {
	for _, h := range w.hosts {
		if h.id == id {
			w.crash(h)
		}
	}
}

// storedTrial returns the trial of the first job's task that the store holds, or false.
func (w *crashWorld) storedTrial() (job.StartedRun, bool) {
	progress := w.jobs[jobID(1)].Progress
	if progress == nil || progress.Steps[job.StepKey{}] == nil {
		return job.StartedRun{}, false
	}
	started, ok := progress.Steps[job.StepKey{}].Started[0]
	return started, ok && started.OnTrial
}

// runUntil advances the world until a condition holds, for at most ten seconds.
func (w *crashWorld) runUntil(condition func() bool) {
	w.t.Helper()
	for range 1000 {
		w.tick()
		if condition() {
			return
		}
	}
	w.t.Fatal("condition: got false for 10s, want true")
}

// Guards against a crash that no leader counts: a run on trial crashes its endpoint, and the
// leader changes before it has learnt of that. The start counts if its endpoint has ended.
func TestTrialBetweenTwoLeaders(t *testing.T) {
	task := job.Task{Job: jobID(1)}
	cases := map[string]struct {
		config crashWorldConfig
		// isSent is true if the trial is sent before the leader changes.
		isSent bool
		// crash is true if the endpoint on which the task is tried crashes meanwhile.
		crash bool
		// isListOut is true if there is no host list during the takeover.
		isListOut bool
		want      job.Crashes
	}{
		"never sent":                         {want: job.Crashes{Total: 1}},
		"never sent, and its endpoint ends":  {crash: true, want: job.Crashes{Total: 2, Alone: 1}},
		"goes on":                            {isSent: true, want: job.Crashes{Total: 1}},
		"crashes its endpoint":               {isSent: true, crash: true, want: job.Crashes{Total: 2, Alone: 1}},
		"crashes its endpoint, silently":     {config: crashWorldConfig{isDark: true}, isSent: true, crash: true, want: job.Crashes{Total: 2, Alone: 1}},
		"endpoint restarts under its ID":     {config: crashWorldConfig{keepsID: true, down: worldTick}, isSent: true, crash: true, want: job.Crashes{Total: 2, Alone: 1}},
		"endpoint ends, its host seems up":   {config: crashWorldConfig{staysUp: true}, isSent: true, crash: true, want: job.Crashes{Total: 2, Alone: 1}},
		"host list away during the takeover": {config: crashWorldConfig{isDark: true}, isListOut: true, isSent: true, crash: true, want: job.Crashes{Total: 2, Alone: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.config.endpoints = 4
			w := suspectedWorld(t, c.config)
			w.runUntil(func() bool { _, ok := w.storedTrial(); return ok })
			if got := w.starts[task]; got != 1 {
				t.Fatalf("starts before the trial is stored: got %d, want 1", got)
			}
			if c.isSent {
				w.runUntil(func() bool { return w.starts[task] == 2 })
			}
			trial, _ := w.storedTrial()
			if c.crash {
				w.crashHost(fleet.HostID(trial.Host))
			}
			if c.isListOut {
				w.listOutUntil = w.now.Add(8 * time.Second)
			}
			w.replaceLeader()
			w.runUntil(func() bool { now, ok := w.storedTrial(); return !ok || now.Run != trial.Run })
			if got := w.jobs[jobID(1)].Progress.Steps[job.StepKey{}].Crashes[0]; got != c.want {
				t.Errorf("crashes stored: got %+v, want %+v", got, c.want)
			}
			w.runFor(15 * time.Second)
			w.wantStates(noJob)
		})
	}
}

// Guards against a sound task that fails since leaders change again and again between the record
// of its trial and the start.
func TestTrialsThatAreNeverSent(t *testing.T) {
	w := suspectedWorld(t, crashWorldConfig{endpoints: 4})
	last := int64(0)
	for range 8 {
		w.runUntil(func() bool {
			trial, ok := w.storedTrial()
			isNew := ok && trial.Run != last
			last = max(last, trial.Run)
			return isNew
		})
		w.replaceLeader()
	}
	w.runFor(5 * time.Second)
	w.wantStates(noJob)
}

// Guards against suspected tasks that keep their endpoints from other work while the store is
// away, and are started without a record.
func TestTrialWhileStoreIsAway(t *testing.T) {
	task := job.Task{Job: jobID(1)}
	w := suspectedWorld(t, crashWorldConfig{endpoints: 2})
	w.storeOutUntil = w.now.Add(6 * time.Second)
	w.runFor(4 * time.Second)
	w.submit(submission(2, tasks(16)))
	w.runFor(1500 * time.Millisecond)
	if got := w.starts[task]; got != 1 {
		t.Errorf("starts without a record: got %d, want 0", got-1)
	}
	if got := w.starts[job.Task{Job: jobID(2), Index: 15}]; got != 1 {
		t.Errorf("starts of a task beside: got %d, want 1", got)
	}
	w.runFor(8 * time.Second)
	w.wantStates(noJob)
}
