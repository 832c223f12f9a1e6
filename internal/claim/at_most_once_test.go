package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// action is a kind of simulation step. weight is its relative frequency.
type action struct {
	name   string
	weight int
	run    func(sim *simulation)
}

var actions = []action{
	{"submit", 10, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil {
			sim.submit(p, sim.anyID())
		}
	}},
	{"submit-twice", 3, func(sim *simulation) {
		id := sim.anyID()
		for range 2 {
			if p := sim.anyProcess(); p != nil {
				sim.submit(p, id)
			}
		}
	}},
	{"deliver", 30, func(sim *simulation) {
		if n := len(sim.messages); n > 0 {
			sim.deliver(sim.pick(n))
		}
	}},
	{"double-message", 3, func(sim *simulation) {
		if n := len(sim.messages); n > 0 {
			sim.messages = append(sim.messages, sim.messages[sim.pick(n)])
		}
	}},
	{"lose-message", 3, func(sim *simulation) {
		if n := len(sim.messages); n > 0 {
			i := sim.pick(n)
			sim.messages = slices.Delete(sim.messages, i, i+1)
		}
	}},
	{"table-call", 30, func(sim *simulation) {
		if n := len(sim.calls); n > 0 {
			i := sim.pick(n)
			c := sim.calls[i]
			sim.calls = slices.Delete(sim.calls, i, i+1)
			sim.callStep(c, sim.pick(6) == 0)
		}
	}},
	{"drain", 8, func(sim *simulation) { sim.deliverAll() }},
	{"settle", 9, func(sim *simulation) { sim.stabilize() }},
	{"tick", 10, func(sim *simulation) {
		sim.now = sim.now.Add(time.Duration(sim.pick(700)) * time.Millisecond)
		if p := sim.anyProcess(); p != nil {
			sim.execute(p, p.replica.Tick(sim.now))
		}
	}},
	{"minutes-pass", 2, func(sim *simulation) { sim.now = sim.now.Add(2 * time.Minute) }},
	{"retry", 8, func(sim *simulation) {
		sim.withAttempt("pending", func(p *process, token claim.Token, _ *attempt) { sim.request(p, token) })
	}},
	{"give-up", 4, func(sim *simulation) {
		sim.withAttempt("pending", func(p *process, token claim.Token, a *attempt) {
			a.state = "abandoned"
			sim.sendToPrimary(p, a.id, release{id: a.id, token: token})
		})
	}},
	{"release-again", 2, func(sim *simulation) {
		sim.withAttempt("abandoned", func(p *process, token claim.Token, a *attempt) {
			sim.sendToPrimary(p, a.id, release{id: a.id, token: token})
		})
	}},
	{"finish", 6, func(sim *simulation) {
		sim.withAttempt("dispatched", func(p *process, _ claim.Token, a *attempt) {
			if a.record.Generation > 0 {
				sim.sendToPrimary(p, a.id, finish{record: a.record, state: claim.StateRan})
			}
		})
	}},
	{"crash", 2, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil {
			p.alive = false
		}
	}},
	{"restart", 5, func(sim *simulation) {
		for _, p := range sim.processes {
			if p.alive {
				continue
			}
			if sim.mutations.emptyRestart {
				next := sim.startProcess(p.self.Name, p.self.Incarnation)
				sim.applyRoster(next, p.roster, p.rosterRowVersion)
				return
			}
			sim.join(sim.startProcess(p.self.Name, p.self.Incarnation+1))
			return
		}
	}},
	{"join", 4, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil && !sim.isLeaving(p) {
			sim.join(p)
		}
	}},
	{"leave", 2, func(sim *simulation) {
		p := sim.anyProcess()
		if p != nil && len(p.roster.Active()) > 2 {
			sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) { return roster.Leave(r, p.self) })
		}
	}},
	{"remove", 5, func(sim *simulation) {
		acks := sim.acks()
		sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) {
			for _, m := range r.Members {
				if sim.find(m.Identity) == nil {
					return roster.Remove(r, m.Identity, roster.EvidenceHostGone, sim.now)
				}
				if m.State == roster.StateLeaving && acks[m.Identity] >= r.Version {
					sim.find(m.Identity).alive = false
					return roster.Remove(r, m.Identity, roster.EvidenceAcknowledged, sim.now)
				}
			}
			return r, false
		})
	}},
	{"prune", 3, func(sim *simulation) { sim.prune() }},
	{"refresh", 10, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil {
			sim.refresh(p)
		}
	}},
	{"gossip", 4, func(sim *simulation) {
		from, to := sim.anyProcess(), sim.anyProcess()
		if from != nil && !sim.cutLinks[linkName(from.self, to.self)] {
			sim.applyRoster(to, from.roster, from.rosterRowVersion)
		}
	}},
	{"pause", 3, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil {
			p.paused = true
		}
	}},
	{"resume", 6, func(sim *simulation) {
		for _, p := range sim.processes {
			p.paused = false
		}
	}},
	{"cut-link", 3, func(sim *simulation) {
		from, to := sim.anyProcess(), sim.anyProcess()
		if from != nil {
			sim.cutLinks[linkName(from.self, to.self)] = true
		}
	}},
	{"heal-links", 3, func(sim *simulation) { clear(sim.cutLinks) }},
	{"cut-from-table", 3, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil {
			p.cutFromTable = true
		}
	}},
	{"heal-table-links", 2, func(sim *simulation) {
		for _, p := range sim.processes {
			p.cutFromTable = false
		}
	}},
	{"grant-in-outage", 5, func(sim *simulation) {
		sim.setDown(true)
		if p := sim.anyProcess(); p != nil {
			sim.submit(p, sim.anyID())
		}
		sim.deliverAll()
		sim.setDown(false)
	}},
	{"replica-dies", 3, func(sim *simulation) {
		if p := sim.anyReplica(); p != nil {
			p.alive = false
			sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) {
				return roster.Remove(r, p.self, roster.EvidenceHostGone, sim.now)
			})
		}
	}},
	{"replica-cut-off", 2, func(sim *simulation) {
		if p := sim.anyReplica(); p != nil {
			p.cutFromTable = true
		}
	}},
	{"all-refresh", 5, func(sim *simulation) {
		for _, p := range sim.processes {
			if p.alive {
				sim.refresh(p)
			}
		}
	}},
	{"repeat", 6, func(sim *simulation) {
		if p := sim.anyProcess(); p != nil && len(sim.ids) > 0 {
			sim.submit(p, sim.ids[len(sim.ids)-1])
			sim.deliverAll()
		}
	}},
	{"outage", 4, func(sim *simulation) { sim.setDown(true) }},
	{"outage-ends", 4, func(sim *simulation) { sim.setDown(false) }},
	{"lose-answers", 3, func(sim *simulation) { sim.loseAnswers = true }},
	{"keep-answers", 3, func(sim *simulation) { sim.loseAnswers = false }},
}

// requiredCounts lists the counters that must be positive after a random run.
var requiredCounts = []string{
	"submit", "submit-twice", "crash", "restart", "pause", "cut-link", "cut-from-table", "outage", "outage-ends",
	"lost-answers", "late-commits", "double-message", "lose-message", "messages-lost", "roster-changes", "leave", "remove",
	"minutes-pass", "asked-secondary", "runs", "declined", "answer-granted", "answer-not-run", "answer-unknown",
	"answer-running", "answer-ran", "answer-conflict", "answer-moved", "outage-runs",
}

// runSimulation runs random steps and returns the violation that it found, if any.
func runSimulation(pick chooser, steps int, broken mutations, totals map[string]int) (found violation) {
	sim := newSimulation(pick, broken)
	defer func() {
		for kind, n := range sim.counts {
			totals[kind] += n
		}
		if v, ok := recover().(violation); ok {
			found = v
		}
	}()
	var weighted []action
	for _, a := range actions {
		weighted = append(weighted, slices.Repeat([]action{a}, a.weight)...)
	}
	for range steps {
		a := weighted[pick(len(weighted))]
		sim.counts[a.name]++
		sim.counts["steps"]++
		runs := sim.counts["runs"]
		a.run(sim)
		if sim.down {
			sim.counts["outage-runs"] += sim.counts["runs"] - runs
		}
		sim.now = sim.now.Add(time.Millisecond)
	}
	return ""
}

func logCounts(t *testing.T, totals map[string]int) {
	t.Helper()
	var kinds []string
	for kind := range totals {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var line strings.Builder
	for _, kind := range kinds {
		fmt.Fprintf(&line, " %s=%d", kind, totals[kind])
	}
	t.Logf("counts:%s", line.String())
}

// rapidChooser spreads rapid's choices, which are biased to small numbers, over the
// whole range.
func rapidChooser(t *rapid.T) chooser {
	const spread = 0x9e3779b97f4a7c15
	var step uint64
	return func(n int) int {
		step++
		x := (rapid.Uint64().Draw(t, "pick") + step) * spread
		return int((x >> 32) % uint64(n))
	}
}

// TestAtMostOnce checks, under random faults, that an idempotent request runs at
// most once, and that it has not run if that was reported.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	totals := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		pick := rapidChooser(t)
		if found := runSimulation(pick, 250, mutations{}, totals); found != "" {
			t.Fatal(found)
		}
	})
	logCounts(t, totals)
	for _, kind := range requiredCounts {
		if totals[kind] == 0 {
			t.Errorf("%s: got 0, want some", kind)
		}
	}
}

func seededChooser(seed uint64) chooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return source.IntN
}

// TestMutationsAreDetected checks that the simulation finds a violation for each
// protection that is removed.
func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	const (
		maxSeeds = 4000
		steps    = 250
	)
	tests := map[string]mutations{
		"claim in one process's memory":       {localMemory: true},
		"claim after dispatch":                {dispatchBeforeClaim: true},
		"new primary before the former flush": {unflushedMove: true},
		"restarted process as replica":        {emptyRestart: true},
		"primary grants without secondary":    {noSecondary: true},
		"dispatch on every grant":             {dispatchEveryGrant: true},
		"not-run without knowledge":           {unknownAsNotRun: true},
	}
	for name, broken := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			totals := make(map[string]int)
			for seed := range uint64(maxSeeds) {
				if found := runSimulation(seededChooser(seed), steps, broken, totals); found != "" {
					t.Logf("seed %d, %d steps: %s", seed, totals["steps"], found)
					return
				}
			}
			t.Errorf("got no violation in %d seeds, want one", maxSeeds)
		})
	}
}
