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

// action is one kind of step; weight is how often it is chosen.
type action struct {
	name   string
	weight int
	run    func(w *world)
}

var actions = []action{
	{"submit", 10, func(w *world) {
		if p := w.any(); p != nil {
			w.submit(p, w.id())
		}
	}},
	{"submit-twice", 3, func(w *world) {
		id := w.id()
		for range 2 {
			if p := w.any(); p != nil {
				w.submit(p, id)
			}
		}
	}},
	{"deliver", 30, func(w *world) {
		if n := len(w.messages); n > 0 {
			w.deliver(w.pick(n))
		}
	}},
	{"double-message", 3, func(w *world) {
		if n := len(w.messages); n > 0 {
			w.messages = append(w.messages, w.messages[w.pick(n)])
		}
	}},
	{"lose-message", 3, func(w *world) {
		if n := len(w.messages); n > 0 {
			i := w.pick(n)
			w.messages = slices.Delete(w.messages, i, i+1)
		}
	}},
	{"table-call", 30, func(w *world) {
		if n := len(w.calls); n > 0 {
			i := w.pick(n)
			c := w.calls[i]
			w.calls = slices.Delete(w.calls, i, i+1)
			w.callStep(c, w.pick(6) == 0)
		}
	}},
	{"drain", 8, func(w *world) { w.drain() }},
	{"settle", 9, func(w *world) { w.settle() }},
	{"tick", 10, func(w *world) {
		w.now = w.now.Add(time.Duration(w.pick(700)) * time.Millisecond)
		if p := w.any(); p != nil {
			w.carry(p, p.holder.Tick(w.now))
		}
	}},
	{"minutes-pass", 2, func(w *world) { w.now = w.now.Add(2 * time.Minute) }},
	{"retry", 8, func(w *world) {
		w.attempt("pending", func(p *process, token claim.Token, _ *attempt) { w.request(p, token) })
	}},
	{"give-up", 4, func(w *world) {
		w.attempt("pending", func(p *process, token claim.Token, a *attempt) {
			a.state = "abandoned"
			w.sendHome(p, a.id, release{id: a.id, token: token})
		})
	}},
	{"release-again", 2, func(w *world) {
		w.attempt("abandoned", func(p *process, token claim.Token, a *attempt) {
			w.sendHome(p, a.id, release{id: a.id, token: token})
		})
	}},
	{"finish", 6, func(w *world) {
		w.attempt("dispatched", func(p *process, _ claim.Token, a *attempt) {
			if a.record.Generation > 0 {
				w.sendHome(p, a.id, finish{record: a.record, state: claim.StateRan})
			}
		})
	}},
	{"crash", 2, func(w *world) {
		if p := w.any(); p != nil {
			p.alive = false
		}
	}},
	{"restart", 5, func(w *world) {
		for _, p := range w.procs {
			if p.alive {
				continue
			}
			if w.rules.emptyRestart {
				next := w.boot(p.self.Name, p.self.Incarnation)
				w.learn(next, p.view, p.row)
				return
			}
			w.join(w.boot(p.self.Name, p.self.Incarnation+1))
			return
		}
	}},
	{"join", 4, func(w *world) {
		if p := w.any(); p != nil && !w.left(p) {
			w.join(p)
		}
	}},
	{"leave", 2, func(w *world) {
		p := w.any()
		if p != nil && len(p.view.Active()) > 2 {
			w.change(func(r roster.Roster) (roster.Roster, bool) { return roster.Leave(r, p.self) })
		}
	}},
	{"remove", 5, func(w *world) {
		acks := w.acks()
		w.change(func(r roster.Roster) (roster.Roster, bool) {
			for _, m := range r.Members {
				if w.find(m.Identity) == nil {
					return roster.Remove(r, m.Identity, roster.EvidenceHostGone, w.now)
				}
				if m.State == roster.StateLeaving && acks[m.Identity] >= r.Version {
					w.find(m.Identity).alive = false
					return roster.Remove(r, m.Identity, roster.EvidenceAcknowledged, w.now)
				}
			}
			return r, false
		})
	}},
	{"prune", 3, func(w *world) { w.prune() }},
	{"refresh", 10, func(w *world) {
		if p := w.any(); p != nil {
			w.refresh(p)
		}
	}},
	{"gossip", 4, func(w *world) {
		from, to := w.any(), w.any()
		if from != nil && !w.links[linkOf(from.self, to.self)] {
			w.learn(to, from.view, from.row)
		}
	}},
	{"pause", 3, func(w *world) {
		if p := w.any(); p != nil {
			p.paused = true
		}
	}},
	{"resume", 6, func(w *world) {
		for _, p := range w.procs {
			p.paused = false
		}
	}},
	{"cut-link", 3, func(w *world) {
		from, to := w.any(), w.any()
		if from != nil {
			w.links[linkOf(from.self, to.self)] = true
		}
	}},
	{"heal-links", 3, func(w *world) { clear(w.links) }},
	{"cut-from-table", 3, func(w *world) {
		if p := w.any(); p != nil {
			p.cut = true
		}
	}},
	{"heal-table-links", 2, func(w *world) {
		for _, p := range w.procs {
			p.cut = false
		}
	}},
	{"grant-in-outage", 5, func(w *world) {
		w.setDown(true)
		if p := w.any(); p != nil {
			w.submit(p, w.id())
		}
		w.drain()
		w.setDown(false)
	}},
	{"holder-dies", 3, func(w *world) {
		if p := w.holder(); p != nil {
			p.alive = false
			w.change(func(r roster.Roster) (roster.Roster, bool) {
				return roster.Remove(r, p.self, roster.EvidenceHostGone, w.now)
			})
		}
	}},
	{"holder-cut-off", 2, func(w *world) {
		if p := w.holder(); p != nil {
			p.cut = true
		}
	}},
	{"all-refresh", 5, func(w *world) {
		for _, p := range w.procs {
			if p.alive {
				w.refresh(p)
			}
		}
	}},
	{"repeat", 6, func(w *world) {
		if p := w.any(); p != nil && len(w.ids) > 0 {
			w.submit(p, w.ids[len(w.ids)-1])
			w.drain()
		}
	}},
	{"outage", 4, func(w *world) { w.setDown(true) }},
	{"outage-ends", 4, func(w *world) { w.setDown(false) }},
	{"lose-answers", 3, func(w *world) { w.lose = true }},
	{"keep-answers", 3, func(w *world) { w.lose = false }},
}

// provoked lists the counts that a fuzz run must have seen.
var provoked = []string{
	"submit", "submit-twice", "crash", "restart", "pause", "cut-link", "cut-from-table", "outage", "outage-ends",
	"lost-answers", "late-commits", "double-message", "lose-message", "messages-lost", "roster-changes", "leave", "remove",
	"minutes-pass", "asked-second", "runs", "declined", "answer-granted", "answer-not-run", "answer-unknown",
	"answer-running", "answer-ran", "answer-conflict", "answer-moved", "outage-runs",
}

// run takes steps and returns what the oracle found.
func run(pick chooser, steps int, r rules, totals map[string]int) (found violation) {
	w := newWorld(pick, r)
	defer func() {
		for kind, n := range w.counts {
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
		w.counts[a.name]++
		w.counts["steps"]++
		runs := w.counts["runs"]
		a.run(w)
		if w.down {
			w.counts["outage-runs"] += w.counts["runs"] - runs
		}
		w.now = w.now.Add(time.Millisecond)
	}
	return ""
}

func report(t *testing.T, totals map[string]int) {
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
	t.Logf("provoked:%s", line.String())
}

// drawn spreads rapid's choices, which lean to small numbers, over the range.
func drawn(t *rapid.T) chooser {
	const spread = 0x9e3779b97f4a7c15
	var step uint64
	return func(n int) int {
		step++
		x := (rapid.Uint64().Draw(t, "pick") + step) * spread
		return int((x >> 32) % uint64(n))
	}
}

// A marked request runs at most once, and "not run" is true when it is said.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	totals := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		pick := drawn(t)
		if found := run(pick, 250, rules{}, totals); found != "" {
			t.Fatal(found)
		}
	})
	report(t, totals)
	for _, kind := range provoked {
		if totals[kind] == 0 {
			t.Errorf("%s: got 0, want some", kind)
		}
	}
}

func seeded(seed uint64) chooser {
	source := rand.New(rand.NewPCG(seed, 1))
	return source.IntN
}

// The same oracle notices each rule that is taken out.
func TestOracleCatchesNaiveWays(t *testing.T) {
	t.Parallel()
	const (
		maxSeeds = 4000
		steps    = 250
	)
	tests := map[string]rules{
		"claim in one entry's memory":      {localMemory: true},
		"claim after dispatch":             {dispatchFirst: true},
		"new home before the former flush": {unflushedMove: true},
		"restarted process as holder":      {emptyRestart: true},
		"home grants without second":       {noSecond: true},
		"dispatch on every grant":          {regrant: true},
		"not-run without knowledge":        {forgetfulHomes: true},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			totals := make(map[string]int)
			for seed := range uint64(maxSeeds) {
				if found := run(seeded(seed), steps, r, totals); found != "" {
					t.Logf("seed %d, %d steps: %s", seed, totals["steps"], found)
					return
				}
			}
			t.Errorf("got no violation in %d seeds, want one", maxSeeds)
		})
	}
}
