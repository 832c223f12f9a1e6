package claim_test

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// recover lets time pass until every id is granted again, and returns how long
// the slowest one took. Roster and clock are looked at every 100 ms.
func (w *world) recover() time.Duration {
	const interval = 100 * time.Millisecond
	began := w.now
	for range 100 {
		w.now = w.now.Add(interval)
		refused := w.counts["answer-unknown"] + w.counts["answer-not-run"] + w.counts["answer-moved"]
		for _, p := range w.procs {
			w.refresh(p)
			w.carry(p, p.holder.Tick(w.now))
		}
		w.drain()
		for range 100 {
			w.ids = append(w.ids, claim.ID{Team: "t", Service: "s", Key: uuid(w.now, len(w.ids))})
			w.submit(w.any(), w.ids[len(w.ids)-1])
		}
		w.drain()
		if w.counts["answer-unknown"]+w.counts["answer-not-run"]+w.counts["answer-moved"] == refused {
			return w.now.Sub(began)
		}
	}
	return w.now.Sub(began)
}

// The ids of an entry that ended are served again soon after the roster shows
// it, in virtual time with a table that answers at once.
func TestRecovery(t *testing.T) {
	const limit = 1500 * time.Millisecond
	tests := map[string]func(w *world){
		"crash and restart": func(w *world) {
			w.procs[0].alive = false
			w.join(w.boot(w.procs[0].self.Name, 2))
		},
		"crash and removal": func(w *world) {
			gone := w.procs[0].self
			w.procs = w.procs[1:]
			w.change(func(r roster.Roster) (roster.Roster, bool) {
				return roster.Remove(r, gone, roster.EvidenceHostGone, w.now)
			})
		},
		"planned leave": func(w *world) {
			w.change(func(r roster.Roster) (roster.Roster, bool) { return roster.Leave(r, w.procs[0].self) })
		},
		"join":               func(w *world) { w.join(w.procs[3]) },
		"outage that begins": func(w *world) { w.setDown(true) },
		"outage that ends": func(w *world) {
			w.setDown(true)
			w.recover()
			w.setDown(false)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(seeded(1), rules{})
			w.prune()
			w.settle()
			disturb(w)
			got := w.recover()
			t.Logf("%s: all ids granted after %v", name, got)
			if got > limit {
				t.Errorf("got %v, want at most %v", got, limit)
			}
		})
	}
}
