package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// freezeTimeout bounds one request to freeze a generation's transfers.
const freezeTimeout = time.Second

// limitLoop divides the permits of each team among the members.
func (m *Manager) limitLoop(ctx context.Context) {
	planner := limit.NewPlanner(limit.PlannerConfig{ReportTimeout: reportTimeout})
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-m.reports:
			planner.HandleReport(report)
			continue
		case <-m.wake:
		case <-ticker.C:
		}
		if err := m.planPermits(ctx, planner); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("could not divide the teams' permits", "reason", err.Error())
		}
	}
}

// planPermits steps the planner for each team whose row this manager owns.
func (m *Manager) planPermits(ctx context.Context, planner *limit.Planner) error {
	rows, err := m.node.Store().Scan(ctx, limit.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the teams' permit allocations")
	}
	byKey := make(map[string]table.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	state := m.node.Configuration().View().State
	for name, team := range state.Catalogue.Teams {
		key := limit.Key(name)
		if !m.owns(key, time.Now()) {
			continue
		}
		if err := m.planTeamPermits(ctx, planner, state.Catalogue, team, byKey[key]); err != nil {
			return err
		}
	}
	return nil
}

// planTeamPermits steps the planner for one team and executes its decision.
func (m *Manager) planTeamPermits(ctx context.Context, planner *limit.Planner, c catalogue.Catalogue, team catalogue.Team, row table.Row) error {
	allocation := limit.Allocation{Team: team.Name}
	if row.Version != table.Absent {
		var err error
		if allocation, err = limit.ParseAllocation(row.Value); err != nil {
			return errors.Wrapf(err, "decode row %q", row.Key)
		}
	}
	members, _ := m.node.Roster()
	decision := planner.Step(time.Now(), limit.View{
		Row: allocation, Limit: team.UpperLimit, LongestRun: longestTeamRun(c, team.Name),
		Live: activeMembers(members), Ended: departedMembers(allocation, members),
	})
	for _, freeze := range decision.Freezes {
		m.freeze(ctx, planner, freeze)
	}
	if decision.Action != limit.Commit {
		return nil
	}
	return m.commitAllocation(ctx, decision.Next, row)
}

// commitAllocation writes a team's row on condition of the version that was read.
func (m *Manager) commitAllocation(ctx context.Context, next limit.Allocation, row table.Row) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode permit allocation")
	}
	key := limit.Key(next.Team)
	err = m.node.Store().Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return errors.Wrapf(err, "write row %q", key)
	}
	m.config.Log.Info("permits divided", "team", next.Team, "generation", next.Generation, "limit", next.Limit)
	return nil
}

// freeze requests a member's report and passes it to the planner.
func (m *Manager) freeze(ctx context.Context, planner *limit.Planner, request limit.FreezeRequest) {
	if request.To == m.node.Member() {
		if report, ok := m.node.Ledger().Freeze(request); ok {
			planner.HandleReport(report)
		}
		return
	}
	member, ok := m.node.FindMember(request.To)
	if !ok {
		return
	}
	message, err := peer.FreezeMessage(request)
	if err != nil {
		m.config.Log.Error("could not encode freeze request", "reason", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freezeTimeout)
	defer cancel()
	reply, err := m.node.Dial(member).Freeze(ctx, message)
	if err == nil && reply.GetReport() != nil {
		planner.HandleReport(peer.Report(reply.GetReport()))
	}
}

// activeMembers returns the members that may hold permits, because they dispatch
// requests or tasks.
func activeMembers(members roster.Roster) []limit.Member {
	var names []limit.Member
	for _, member := range members.Members {
		if member.State == roster.StateActive {
			names = append(names, limit.Member(member.Identity.String()))
		}
	}
	return names
}

// departedMembers returns the members in the allocation that are no longer in the
// roster. The roster removes a member only on evidence that its process has
// ended.
func departedMembers(allocation limit.Allocation, members roster.Roster) []limit.Member {
	present := make(map[limit.Member]bool)
	for _, member := range members.Members {
		present[limit.Member(member.Identity.String())] = true
	}
	var names []limit.Member
	for name := range allocation.Granted {
		if !present[name] {
			names = append(names, name)
		}
	}
	for name := range allocation.Carried {
		if !present[name] {
			names = append(names, name)
		}
	}
	return names
}

// longestTeamRun returns the maximum run time of the entries that the team may
// use.
func longestTeamRun(c catalogue.Catalogue, team string) time.Duration {
	longest := time.Duration(0)
	for _, entry := range c.Entries {
		if entry.Admits(team) {
			longest = max(longest, entry.LongestRun)
		}
	}
	return longest
}
