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

// manager steps a planner. pending is decided but not yet committed. The lists
// of processes may be out of date.
type manager struct {
	planner     *limit.Planner
	pending     *table.Txn
	live, ended []limit.Member
}

func (s *simulation) restartManager(i int) {
	s.managers[i] = &manager{planner: limit.NewPlanner(limit.PlannerConfig{ReportTimeout: 2 * time.Second})}
	s.refresh(s.managers[i])
}

// refresh brings the manager's lists of processes up to date.
func (s *simulation) refresh(m *manager) {
	m.live, m.ended = nil, slices.Clone(s.ended)
	for _, p := range s.procs {
		if p.paused && s.mutations.leaseByClock {
			m.ended = append(m.ended, p.self)
			continue
		}
		m.live = append(m.live, p.self)
	}
}

// manage lets a manager read the row and decide. The commit follows later.
func (s *simulation) manage(i int) {
	m := s.managers[i]
	row, version, ok := s.row()
	if !ok {
		return
	}
	if s.intn(3) == 0 {
		s.refresh(m)
	}
	view := limit.View{Row: row, Limit: s.desiredLimit, LongestRun: longestRun, Live: m.live, Ended: m.ended}
	if s.mutations.noLongestRun {
		view.LongestRun = 0
	}
	decision := m.planner.Step(s.now, view)
	for _, request := range decision.Freezes {
		s.counts["freezes"]++
		s.toMember(request.To, func(p *process) { s.freeze(p, m, request) })
	}
	if decision.Action != limit.Commit {
		return
	}
	if s.mutations.dropGoneEarly {
		s.dropGone(decision.Next)
	}
	s.propose(m, decision.Next, version.Version)
}

// dropGone grants a live member the permits of a carried one whose work has
// ended.
func (s *simulation) dropGone(next limit.Allocation) {
	for gone, carry := range next.Carried {
		diedAt, dead := s.died[gone]
		if !dead || s.now.Before(diedAt.Add(longestRun)) || carry.Bound <= 0 {
			continue
		}
		for _, recipient := range slices.Sorted(maps.Keys(next.Granted)) {
			delete(next.Carried, gone)
			next.Granted[recipient] += carry.Bound
			break
		}
	}
}

func (s *simulation) propose(m *manager, next limit.Allocation, version uint64) {
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	m.pending = &table.Txn{Writes: []table.Write{{Key: limit.Key(team), Value: value}}}
	if !s.mutations.blindCommit {
		m.pending.Conditions = []table.Condition{{Key: limit.Key(team), Version: version}}
	}
}

func (s *simulation) freeze(p *process, m *manager, request limit.FreezeRequest) {
	if p.cut {
		return
	}
	report, ok := p.ledger.Freeze(request)
	if !ok {
		return
	}
	if s.mutations.reportNothingHeld {
		report.InUse, report.Holding = 0, 0
	}
	s.send(nil, func() { m.planner.HandleReport(report) })
}

func (s *simulation) commit(i int) {
	m := s.managers[i]
	if m.pending == nil {
		return
	}
	txn := *m.pending
	m.pending = nil
	switch err := s.store.Commit(context.Background(), txn); {
	case table.IsConflict(err):
		s.counts["conflict"]++
		return
	case table.IsUnknown(err):
		s.counts["lost answer"]++
	case err != nil:
		s.counts["commit refused"]++
		return
	}
	s.counts["commit"]++
	if row, _, ok := s.row(); ok {
		s.committedRows = append(s.committedRows, row)
		if len(row.Carried) > 1 {
			s.counts["carried group"]++
		}
	}
}
