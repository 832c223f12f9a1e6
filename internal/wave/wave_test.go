package wave_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/wave"
)

var start = time.Unix(1_000_000, 0)

// pool returns n hosts in racks of four, all in the same state.
func pool(n int, state wave.State) []wave.Host {
	hosts := make([]wave.Host, n)
	for i := range hosts {
		hosts[i] = wave.Host{
			Name: fmt.Sprintf("host-%02d", i), Rack: fmt.Sprint(i / 4),
			DataCentre: fmt.Sprint(i / 4 % 3), State: state,
		}
	}
	return hosts
}

func serving(hosts []wave.Host) int {
	n := 0
	for _, host := range hosts {
		if host.State == wave.StatePending || host.State == wave.StateDone {
			n++
		}
	}
	return n
}

func largestRack(hosts []wave.Host) int {
	racks, largest := make(map[string]int), 0
	for _, host := range hosts {
		if host.State == wave.StatePending || host.State == wave.StateDone {
			racks[host.Rack]++
			largest = max(largest, racks[host.Rack])
		}
	}
	return largest
}

func TestStep(t *testing.T) {
	failing := pool(12, wave.StatePending)
	failing[0].State, failing[5].State = wave.StateFailed, wave.StateFailed
	lost := pool(12, wave.StatePending)
	for i := range 4 {
		lost[i].State = wave.StateLost
	}
	proven := pool(12, wave.StatePending)
	for _, hosts := range [][]wave.Host{lost, proven} {
		hosts[4].State, hosts[8].State = wave.StateDone, wave.StateDone
	}
	apart := pool(12, wave.StatePending)
	for i := range 3 {
		apart[4*i].State, apart[4*i].Since = wave.StateFailed, start.Add(-2*time.Duration(i)*wave.DefaultFailureWindow)
	}
	ended := pool(3, wave.StateDone)
	ended[1].State = wave.StateLost
	tests := map[string]struct {
		view       wave.View
		want       wave.Verdict
		wantReason string
		wantStart  int
	}{
		"canaries first":                {wave.View{Hosts: pool(12, wave.StatePending), Need: 4, BudgetLeft: 1}, wave.Proceed, "", 2},
		"as many as the reserve allows": {wave.View{Hosts: proven, Need: 4, BudgetLeft: 1}, wave.Proceed, "", 6},
		"budget unknown":                {wave.View{Hosts: proven, Need: 4, BudgetLeft: math.NaN()}, wave.Hold, wave.ReasonBudget, 0},
		"failures far apart":            {wave.View{Hosts: apart, Need: 2, BudgetLeft: 1}, wave.Proceed, "", 1},
		"finished with a lost host":     {wave.View{Hosts: ended, Need: 1, BudgetLeft: 1}, wave.Finished, "", 0},
		"present failures count":        {wave.View{Hosts: lost, Need: 3, BudgetLeft: 1}, wave.Proceed, "", 2},
		"no spare capacity":             {wave.View{Hosts: pool(12, wave.StatePending), Need: 8, BudgetLeft: 1}, wave.Hold, wave.ReasonCapacity, 0},
		"budget spent":                  {wave.View{Hosts: pool(12, wave.StatePending), Need: 4, BudgetLeft: 0.1}, wave.Hold, wave.ReasonBudget, 0},
		"failures correlate":            {wave.View{Hosts: failing, Need: 2, BudgetLeft: 1}, wave.Stopped, wave.ReasonCorrelated, 0},
		"finished":                      {wave.View{Hosts: pool(12, wave.StateDone), Need: 4, BudgetLeft: 1}, wave.Finished, "", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := wave.New(wave.Config{}).Step(start, tc.view)
			if got.Verdict != tc.want || got.Reason != tc.wantReason {
				t.Errorf("got %s (%s), want %s (%s)", got.Verdict, got.Reason, tc.want, tc.wantReason)
			}
			if got, want := len(got.Start), tc.wantStart; got != want {
				t.Errorf("hosts taken down: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a wave that takes down hosts elsewhere because those of an evacuated
// data centre, which run nothing new, count as serving, and against one that spares
// the evacuated hosts although taking them down costs nothing.
func TestEvacuatedHosts(t *testing.T) {
	tests := map[string]struct {
		need      int
		evacuated int
		want      []string
		wantHold  string
	}{
		// Of nine that serve in three racks, six are left if a rack is lost.
		"none evacuated": {need: 6, want: []string{"host-00", "host-04", "host-08"}},
		// Of eight open hosts in two racks, four are left if one is lost.
		"others are needed":     {need: 6, evacuated: 4, want: []string{"host-00", "host-01", "host-02", "host-03"}},
		"others are spare":      {need: 2, evacuated: 4, want: []string{"host-00", "host-01", "host-02", "host-03", "host-04", "host-08", "host-05", "host-09"}},
		"all evacuated":         {need: 6, evacuated: 12, want: []string{"host-00", "host-01", "host-02", "host-03", "host-04", "host-05", "host-06", "host-07", "host-08", "host-09", "host-10", "host-11"}},
		"none is spare anyway":  {need: 8, wantHold: wave.ReasonCapacity},
		"two evacuated of four": {need: 8, evacuated: 2, want: []string{"host-00", "host-01"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			hosts := pool(12, wave.StatePending)
			for i := range tc.evacuated {
				hosts[i].Evacuated = true
			}
			view := wave.View{Hosts: hosts, Need: tc.need, BudgetLeft: 1, OtherPools: wave.Results{Done: 2}}
			got := wave.New(wave.Config{}).Step(start, view)
			if !slices.Equal(got.Start, tc.want) || got.Reason != tc.wantHold {
				t.Errorf("got %v (%s), want %v (%s)", got.Start, got.Reason, tc.want, tc.wantHold)
			}
		})
	}
}

func TestResume(t *testing.T) {
	tests := map[string]struct {
		operator bool
		repaired bool
		after    time.Duration
		want     wave.Verdict
	}{
		"not resumed":              {after: time.Minute, want: wave.Stopped},
		"operator":                 {operator: true, want: wave.Proceed},
		"repaired, too early":      {repaired: true, after: time.Minute, want: wave.Stopped},
		"repaired and cooled down": {repaired: true, after: wave.DefaultCoolDown, want: wave.Proceed},
		"time alone":               {after: 10 * wave.DefaultCoolDown, want: wave.Stopped},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			view := wave.View{Hosts: pool(12, wave.StatePending), Need: 2, BudgetLeft: 1}
			view.Hosts[0].State, view.Hosts[5].State = wave.StateFailed, wave.StateFailed
			w := wave.New(wave.Config{})
			w.Step(start, view)
			if tc.operator {
				w.Resume(view)
			}
			if tc.repaired {
				view.Hosts[0].State, view.Hosts[5].State = wave.StateDone, wave.StateDone
			}
			if got := w.Step(start.Add(tc.after), view).Verdict; got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// TestFaultyMaintenanceStops checks that a maintenance that breaks every host
// costs no more hosts than there are canaries, and that a repaired host counts
// again when it fails again.
func TestFaultyMaintenanceStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := pool(rapid.IntRange(14, 40).Draw(t, "hosts"), wave.StatePending)
		canaries := rapid.IntRange(2, 4).Draw(t, "canaries")
		w, now, lost := wave.New(wave.Config{Canaries: canaries}), start, 0
		verdict := wave.Proceed
		for range 20 {
			now = now.Add(time.Minute)
			decision := w.Step(now, wave.View{Hosts: hosts, Need: 1, BudgetLeft: 1})
			verdict = decision.Verdict
			lost += len(decision.Start)
			for _, name := range decision.Start {
				setState(hosts, name, wave.StatePending, wave.StateFailed)
			}
		}
		if want := wave.Stopped; verdict != want || lost > canaries {
			t.Fatalf("got %s with %d hosts lost, want %s with at most %d", verdict, lost, want, canaries)
		}
		view := wave.View{Hosts: hosts, Need: 1, BudgetLeft: 1}
		w.Resume(view)
		if got, want := w.Step(now, view).Verdict, wave.Proceed; got != want {
			t.Fatalf("after the operator's resume: got %s, want %s", got, want)
		}
		failed := slices.Clone(hosts)
		for i := range hosts {
			hosts[i].State = wave.StateDone
		}
		w.Step(now, view)
		if got, want := w.Step(now, wave.View{Hosts: failed, Need: 1, BudgetLeft: 1}).Verdict, wave.Stopped; got != want {
			t.Fatalf("the same hosts fail again: got %s, want %s", got, want)
		}
	})
}

// TestCanaries checks that results in other pools lift the canary limit or hold
// the wave, and that a larger weight of roll-out time allows more canaries.
func TestCanaries(t *testing.T) {
	tests := map[string]struct {
		otherPools wave.Results
		weight     float64
		want       int
		verdict    wave.Verdict
	}{
		"no results":                      {want: 2, verdict: wave.Proceed},
		"high weight of roll-out time":    {weight: 1.6, want: 4, verdict: wave.Proceed},
		"low weight of roll-out time":     {weight: 0.4, want: 2, verdict: wave.Proceed},
		"enough successes in other pools": {otherPools: wave.Results{Done: 2}, want: 6, verdict: wave.Proceed},
		"one success in another pool":     {otherPools: wave.Results{Done: 1}, want: 2, verdict: wave.Proceed},
		"failures in other pools":         {otherPools: wave.Results{Failed: 2}, want: 0, verdict: wave.Hold},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := wave.New(wave.Config{RollOutTime: tc.weight})
			got := w.Step(start, wave.View{Hosts: pool(12, wave.StatePending), Need: 4, BudgetLeft: 1, OtherPools: tc.otherPools})
			if got.Verdict != tc.verdict || len(got.Start) != tc.want {
				t.Errorf("got %+v, want %s of %d hosts", got, tc.verdict, tc.want)
			}
		})
	}
}

func TestFinishedListsSkippedHosts(t *testing.T) {
	hosts := pool(3, wave.StateDone)
	hosts[2].State = wave.StateLost
	got := wave.New(wave.Config{}).Step(start, wave.View{Hosts: hosts, BudgetLeft: 1}).Skipped
	if want := []string{"host-02"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestWaveKeepsReserve checks under random failures that a wave never takes down
// a host if the pool could then not carry its load after the loss of its largest
// rack.
func TestWaveKeepsReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := pool(rapid.IntRange(1, 40).Draw(t, "hosts"), wave.StatePending)
		need := rapid.IntRange(0, len(hosts)).Draw(t, "need")
		w := wave.New(wave.Config{MaxFailures: 3})
		now := start
		for range 200 {
			now = now.Add(time.Minute)
			decision := w.Step(now, wave.View{Hosts: hosts, Need: need, BudgetLeft: 1})
			for _, name := range decision.Start {
				setState(hosts, name, wave.StatePending, wave.StateDown)
			}
			if left := serving(hosts) - largestRack(hosts); len(decision.Start) > 0 && left < need {
				t.Fatalf("after a step: got %d hosts without the largest rack, want %d", left, need)
			}
			if decision.Verdict == wave.Stopped && len(decision.Start) > 0 {
				t.Fatalf("a stopped wave: got %v started, want none", decision.Start)
			}
			if decision.Verdict == wave.Finished {
				return
			}
			applyRandomEvents(t, hosts)
		}
	})
}

// applyRandomEvents completes maintenance, and fails and repairs hosts at random.
func applyRandomEvents(t *rapid.T, hosts []wave.Host) {
	for i := range hosts {
		event := rapid.IntRange(0, 19).Draw(t, "event")
		switch state := hosts[i].State; {
		case state == wave.StateDown && event < 10:
			hosts[i].State = wave.StateDone
		case state == wave.StateDown && event == 10:
			hosts[i].State = wave.StateFailed
		case state == wave.StatePending && event == 0:
			hosts[i].State = wave.StateLost
		case state == wave.StateLost && event < 5:
			hosts[i].State = wave.StatePending
		case state == wave.StateFailed && event < 5:
			hosts[i].State = wave.StateDone
		}
	}
}

func setState(hosts []wave.Host, name string, from, to wave.State) {
	for i := range hosts {
		if hosts[i].Name == name && hosts[i].State == from {
			hosts[i].State = to
			return
		}
	}
	panic("host " + name + " is not " + string(from))
}
