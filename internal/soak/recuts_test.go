package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// Guards against recuts that no longer keep the times at which tasks ran twice.
func TestPlanOfRegularRecuts(t *testing.T) {
	duration := 2 * recutInterval
	first := []Fault{
		{Kind: DataCentreRestarts, At: 5 * time.Second, Duration: 600 * time.Millisecond},
		{Kind: LeaderKill, At: 7 * time.Second},
		{Kind: DataCentreCut, At: 7600 * time.Millisecond, Duration: 9 * time.Second},
	}
	var want, wantWithoutKill []Fault
	for n := range time.Duration(2) {
		for _, fault := range first {
			fault.At += n * 15 * time.Second
			want = append(want, fault)
			if fault.Kind != LeaderKill {
				wantWithoutKill = append(wantWithoutKill, fault)
			}
		}
	}
	tests := map[string]struct {
		seed  uint64
		kinds []Kind
		want  []Fault
	}{
		"regular":             {seed: 1, kinds: KindsOfRecuts(), want: want},
		"without kill":        {seed: 1, kinds: KindsOfRecutsWithoutKill(), want: wantWithoutKill},
		"regular among other": {seed: regularRecuts, kinds: KindsAroundRecuts(), want: want},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Plan(tc.seed, duration, 6, 12, tc.kinds); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("plan: got %v, want %v", got, tc.want)
			}
		})
	}
}

// recutSeeds is the number of seeds whose plans are checked, recutEndpoints that of endpoints.
const recutSeeds, recutEndpoints = 50, 12

func planOfRecuts(seed uint64) []Fault {
	return Plan(seed, time.Minute, 6, recutEndpoints, KindsAroundRecuts())
}

// Guards against recuts that lack a kind of fault, or whose targets do not exist.
func TestPlanOfRecuts(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(recutSeeds) {
		plan := planOfRecuts(seed)
		if again := planOfRecuts(seed); !reflect.DeepEqual(plan, again) {
			t.Errorf("plan of seed %d: got another one the second time", seed)
		}
		for _, fault := range plan {
			kinds[fault.Kind]++
			if fault.Target < 0 || fault.Target >= recutEndpoints {
				t.Errorf("seed %d: target of %s: got %d, want one below %d", seed, fault.Kind, fault.Target, recutEndpoints)
			}
		}
	}
	for _, kind := range KindsAroundRecuts() {
		if kinds[kind] == 0 {
			t.Errorf("kind %v in %d seeds: got none, want some", kind, recutSeeds)
		}
	}
}

// Guards against a cut that an earlier one ends, and against plans without several restarts, or several
// faults of the leader, before a cut.
func TestCutsOfRecuts(t *testing.T) {
	restartsInARow, leadersInARow := 0, 0
	for seed := range uint64(recutSeeds) {
		cutEnds, restarts, leaders := map[int]time.Duration{}, 0, 0
		for _, fault := range planOfRecuts(seed) {
			switch {
			case slices.Contains(recutRestarts, fault.Kind):
				restarts++
			case slices.Contains(recutLeaderFaults, fault.Kind):
				leaders++
			case fault.Kind == DataCentreCut:
				if fault.At < cutEnds[fault.Target] {
					t.Errorf("seed %d: cut of %d at %s, want none before the one until %s ends", seed, fault.Target, fault.At, cutEnds[fault.Target])
				}
				cutEnds[fault.Target] = fault.At + fault.Duration
				restartsInARow += max(0, restarts-1)
				leadersInARow += max(0, leaders-1)
				restarts, leaders = 0, 0
			}
		}
	}
	if restartsInARow == 0 || leadersInARow == 0 {
		t.Errorf("%d seeds: got %d restarts after another and %d faults of the leader after another, want some of both", recutSeeds, restartsInARow, leadersInARow)
	}
}
