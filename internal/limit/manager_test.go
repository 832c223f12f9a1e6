package limit_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// manager steps a planner; pending is decided but not yet committed. Its lists
// of processes lag behind.
type manager struct {
	planner     *limit.Planner
	pending     *table.Txn
	live, ended []limit.Member
}

func (w *world) restartManager(i int) {
	w.managers[i] = &manager{planner: limit.NewPlanner(limit.PlannerConfig{ReportTimeout: 2 * time.Second})}
	w.refresh(w.managers[i])
}

// refresh brings the manager's lists of processes up to date.
func (w *world) refresh(m *manager) {
	m.live, m.ended = nil, slices.Clone(w.ended)
	for _, p := range w.procs {
		if p.paused && w.rules.leaseByClock {
			m.ended = append(m.ended, p.self)
			continue
		}
		m.live = append(m.live, p.self)
	}
}

// manage lets a manager read and decide; it commits what it decided later.
func (w *world) manage(i int) {
	m := w.managers[i]
	row, version, ok := w.row()
	if !ok {
		return
	}
	if w.intn(3) == 0 {
		w.refresh(m)
	}
	view := limit.View{Row: row, Limit: w.desired, LongestRun: longestRun, Live: m.live, Ended: m.ended}
	if w.rules.noLongestRun {
		view.LongestRun = 0
	}
	decision := m.planner.Step(w.now, view)
	for _, request := range decision.Freezes {
		w.counts["freezes"]++
		w.toMember(request.To, func(p *process) { w.freeze(p, m, request) })
	}
	if decision.Action != limit.Commit {
		return
	}
	if w.rules.noGhosts {
		w.strikeOff(decision.Next)
	}
	w.propose(m, decision.Next, version.Version)
}

// strikeOff grants a live member what a carried one had whose work has ended.
func (w *world) strikeOff(next limit.Allocation) {
	for gone, carry := range next.Carried {
		diedAt, dead := w.died[gone]
		if !dead || w.now.Before(diedAt.Add(longestRun)) || carry.Bound <= 0 {
			continue
		}
		for _, taker := range slices.Sorted(maps.Keys(next.Granted)) {
			delete(next.Carried, gone)
			next.Granted[taker] += carry.Bound
			break
		}
	}
}

func (w *world) propose(m *manager, next limit.Allocation, version uint64) {
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	m.pending = &table.Txn{Writes: []table.Write{{Key: limit.Key(team), Value: value}}}
	if !w.rules.blindCommit {
		m.pending.Conditions = []table.Condition{{Key: limit.Key(team), Version: version}}
	}
}

func (w *world) freeze(p *process, m *manager, request limit.FreezeRequest) {
	if p.cut {
		return
	}
	report, ok := p.ledger.Freeze(request)
	if !ok {
		return
	}
	if w.rules.reportOfAnyAge {
		report.InUse, report.Holding = 0, 0
	}
	w.send(nil, func() { m.planner.HandleReport(report) })
}

func (w *world) commit(i int) {
	m := w.managers[i]
	if m.pending == nil {
		return
	}
	txn := *m.pending
	m.pending = nil
	switch err := w.store.Commit(context.Background(), txn); {
	case table.IsConflict(err):
		w.counts["conflict"]++
		return
	case table.IsUnknown(err):
		w.counts["lost answer"]++
	case err != nil:
		w.counts["commit refused"]++
		return
	}
	w.counts["commit"]++
	if row, _, ok := w.row(); ok {
		w.rows = append(w.rows, row)
		if len(row.Carried) > 1 {
			w.counts["carried group"]++
		}
	}
}
