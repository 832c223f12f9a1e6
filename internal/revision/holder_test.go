package revision_test

import (
	"math/rand"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/revision"
)

const (
	worldSteps     = 300
	worldsPerCheck = 10
)

// A revision that was superseded admits nothing after the bound, and no copy
// goes back, whatever is lost, cut, delayed, down or restarted.
func TestFreshCopiesHoldTheNewestRevision(t *testing.T) {
	provoked := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		// Seeds keep the choices cheap; rapid varies the number of steps.
		first := rapid.Int64().Draw(t, "seed")
		steps := rapid.IntRange(1, 4*worldSteps).Draw(t, "steps")
		for seed := first; seed < first+worldsPerCheck; seed++ {
			w := newWorld(rand.New(rand.NewSource(seed)).Intn, rules{})
			if err := w.run(steps); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for name, n := range w.provoked {
				provoked[name] += n
			}
		}
	})
	t.Logf("provoked: %v", provoked)
	for _, name := range []string{"commits", "commits-of-the-dead", "answers-given-up", "outages", "cuts", "crashes", "admissions", "planned-stops", "lost", "doubled", "fresh-in-outage"} {
		if provoked[name] == 0 {
			t.Errorf("%s: got none, want some", name)
		}
	}
}

// Each rule is needed: without it some run breaks the promise.
func TestBrokenRulesAreFound(t *testing.T) {
	tests := map[string]struct {
		broken rules
		// firstSeed is near a violation, which keeps the search short.
		firstSeed int64
	}{
		"poll without end":                  {broken: rules{pollOnly: true}},
		"last writer wins":                  {broken: rules{lastWriter: true}},
		"counts from the answer":            {broken: rules{answerTime: true}},
		"one peer is enough":                {broken: rules{onePeer: true}},
		"unsettled commits do not count":    {broken: rules{trustUnsettled: true}},
		"new managers are not announced":    {broken: rules{unannounced: true}, firstSeed: 7700},
		"dead managers do not count":        {broken: rules{goneIsGone: true}},
		"removed managers may still commit": {broken: rules{unguarded: true}, firstSeed: 4400},
		"the head is read before roster":    {broken: rules{headFirst: true}, firstSeed: 81100},
		"settled commits may still land":    {broken: rules{unsettledLate: true}},
	}
	const mostSeeds = 20000
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := tc.firstSeed; seed < tc.firstSeed+mostSeeds; seed++ {
				w := newWorld(rand.New(rand.NewSource(seed)).Intn, tc.broken)
				if err := w.run(worldSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no violation in %d runs, want one", mostSeeds)
		})
	}
}

func TestHolderMovesForwardOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := revision.NewReplica(revision.ReplicaConfig{})
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
			holder.ApplyChange(change)
			if got := holder.View().State.Revision; got != want {
				t.Fatalf("after %+v: got revision %d, want %d", change, got, want)
			}
		}
	})
}
