package claim_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// timeToRecover advances the time until every new ID is granted, and returns how
// long that took. Processes refresh their roster and tick every 100 ms.
func (sim *simulation) timeToRecover() time.Duration {
	const interval = 100 * time.Millisecond
	started := sim.now
	for range 100 {
		sim.now = sim.now.Add(interval)
		refused := sim.counts["answer-unknown"] + sim.counts["answer-not-run"] + sim.counts["answer-moved"]
		for _, p := range sim.processes {
			sim.refresh(p)
			sim.execute(p, p.replica.Tick(sim.now))
		}
		sim.deliverAll()
		for range 100 {
			sim.ids = append(sim.ids, claim.ID{Team: "t", Service: "s", Key: uuid(sim.now, len(sim.ids))})
			sim.submit(sim.anyProcess(), sim.ids[len(sim.ids)-1])
		}
		sim.deliverAll()
		if sim.counts["answer-unknown"]+sim.counts["answer-not-run"]+sim.counts["answer-moved"] == refused {
			return sim.now.Sub(started)
		}
	}
	return sim.now.Sub(started)
}

// TestRecovery checks that all IDs are granted again soon after a roster change or
// a table outage, in virtual time with a table without latency.
func TestRecovery(t *testing.T) {
	const limit = 1500 * time.Millisecond
	tests := map[string]func(sim *simulation){
		"crash and restart": func(sim *simulation) {
			sim.processes[0].alive = false
			sim.join(sim.startProcess(sim.processes[0].self.Name, 2))
		},
		"crash and removal": func(sim *simulation) {
			gone := sim.processes[0].self
			sim.processes = sim.processes[1:]
			sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) {
				return roster.Remove(r, gone, roster.EvidenceHostGone, sim.now)
			})
		},
		"planned leave": func(sim *simulation) {
			sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) { return roster.Leave(r, sim.processes[0].self) })
		},
		"join":               func(sim *simulation) { sim.join(sim.processes[3]) },
		"outage that begins": func(sim *simulation) { sim.setDown(true) },
		"outage that ends": func(sim *simulation) {
			sim.setDown(true)
			sim.timeToRecover()
			sim.setDown(false)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(seededChooser(1), mutations{})
			sim.prune()
			sim.stabilize()
			injectFault(sim)
			got := sim.timeToRecover()
			t.Logf("%s: all ids granted after %v", name, got)
			if got > limit {
				t.Errorf("got %v, want at most %v", got, limit)
			}
		})
	}
}
