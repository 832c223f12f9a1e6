package revision_test

import (
	"math/rand"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

const (
	simulationSteps     = 300
	simulationsPerCheck = 10
)

// TestFreshReplicasHaveNewestRevision checks that a superseded revision admits
// no work after the bound, and that no replica goes back to an older revision,
// despite lost and delayed messages, partitions, outages and restarts.
func TestFreshReplicasHaveNewestRevision(t *testing.T) {
	events := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		// Seeds keep the choices cheap; rapid varies the number of steps.
		first := rapid.Int64().Draw(t, "seed")
		steps := rapid.IntRange(1, 4*simulationSteps).Draw(t, "steps")
		for seed := first; seed < first+simulationsPerCheck; seed++ {
			s := newSimulation(rand.New(rand.NewSource(seed)).Intn, mutations{})
			if err := s.run(steps); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for name, n := range s.events {
				events[name] += n
			}
		}
	})
	t.Logf("events: %v", events)
	for _, name := range []string{"commits", "commits-of-the-dead", "answers-given-up", "outages", "cuts", "crashes", "admissions", "planned-stops", "lost", "doubled", "fresh-in-outage"} {
		if events[name] == 0 {
			t.Errorf("%s: got none, want some", name)
		}
	}
}

// TestSimulationDetectsMutations breaks one rule of the protocol at a time. The
// check must then find a violation.
func TestSimulationDetectsMutations(t *testing.T) {
	tests := map[string]struct {
		broken mutations
		// firstSeed is near a violation, which keeps the search short.
		firstSeed int64
	}{
		"fresh without end":                 {broken: mutations{pollOnly: true}},
		"last writer wins":                  {broken: mutations{lastWriter: true}},
		"counts from the reply":             {broken: mutations{answerTime: true}},
		"one peer is enough":                {broken: mutations{onePeer: true}},
		"unresolved commits do not count":   {broken: mutations{trustUnresolved: true}},
		"new managers are not announced":    {broken: mutations{unannounced: true}, firstSeed: 7700},
		"dead managers do not count":        {broken: mutations{ignoreDead: true}},
		"removed managers may still commit": {broken: mutations{unguarded: true}, firstSeed: 4400},
		"the head is read before roster":    {broken: mutations{headFirst: true}, firstSeed: 81100},
		"resolved commits may still land":   {broken: mutations{unresolvedLate: true}},
	}
	const maxSeeds = 20000
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := tc.firstSeed; seed < tc.firstSeed+maxSeeds; seed++ {
				s := newSimulation(rand.New(rand.NewSource(seed)).Intn, tc.broken)
				if err := s.run(simulationSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no violation in %d runs, want one", maxSeeds)
		})
	}
}

func TestReplicaMovesForwardOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := revision.NewReplica(revision.ReplicaConfig{})
		var want uint64
		for range 20 {
			change := revision.Change{
				Base:     rapid.Uint64Range(0, 5).Draw(t, "base"),
				Revision: rapid.Uint64Range(0, 6).Draw(t, "revision"),
				Whole:    rapid.Bool().Draw(t, "whole"),
			}
			if change.Revision > want && (change.Whole || change.Base == want) {
				want = change.Revision
			}
			replica.ApplyChange(change)
			if got := replica.View().State.Revision; got != want {
				t.Fatalf("after %+v: got revision %d, want %d", change, got, want)
			}
		}
	})
}
