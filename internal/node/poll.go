package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/limit"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// pollTimeout bounds one poll of the table.
const pollTimeout = 2 * time.Second

// PollNow requests a poll of the table before the next interval.
func (n *Node) PollNow() {
	select {
	case n.pollNow <- struct{}{}:
	default:
	}
}

// pollLoop polls the table each interval, in case a push was lost.
func (n *Node) pollLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(jitter(n.config.PollInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.pollNow:
			timer.Stop()
		case <-timer.C:
		}
		if err := n.poll(ctx); err != nil && ctx.Err() == nil {
			n.config.Log.Debug("table not read", "reason", err.Error())
		}
	}
}

// poll reads roster, configuration, permits and host assignments.
func (n *Node) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := n.pollHead(ctx); err != nil {
		return err
	}
	if err := n.pollLimits(ctx); err != nil {
		return err
	}
	return n.pollHosts(ctx)
}

// pollHead reads the roster and the head revision in one consistent call, and
// loads the configuration if it is newer.
func (n *Node) pollHead(ctx context.Context) error {
	started := time.Now()
	rows, err := n.config.Store.Get(ctx, revision.HeadKey, roster.Key)
	if err != nil {
		return errors.Wrap(err, "read the head revision and the roster")
	}
	newest, err := revision.HeadRevision(rows[0])
	if err != nil {
		return err
	}
	members, err := roster.Decode(rows[1].Value)
	if err != nil {
		return err
	}
	n.observeRoster(members, rows[1].Version)
	n.configuration.ObserveRoster(started, managersOf(members), newest)
	if newest > n.configuration.View().State.Revision {
		return n.load(ctx)
	}
	return nil
}

// load reads the whole configuration.
func (n *Node) load(ctx context.Context) error {
	state, err := revision.Load(ctx, n.config.Store)
	if err != nil {
		return errors.Wrap(err, "load the configuration")
	}
	if n.configuration.Update(state) {
		n.config.Log.Info("configuration in force", "revision", state.Revision, "source", "table")
		n.LogEvacuations("table")
	}
	return nil
}

// pollLimits reads the teams' permit allocations.
func (n *Node) pollLimits(ctx context.Context) error {
	rows, err := n.config.Store.Scan(ctx, limit.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the teams' permit allocations")
	}
	for _, row := range rows {
		allocation, err := limit.ParseAllocation(row.Value)
		if err != nil {
			return errors.Wrapf(err, "decode row %q", row.Key)
		}
		n.ledger.Apply(allocation)
	}
	n.permitsChanged()
	return nil
}

// pollHosts reads the hosts' assignments.
func (n *Node) pollHosts(ctx context.Context) error {
	rows, err := n.config.Store.Scan(ctx, pool.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the hosts' assignments")
	}
	assignments := make(map[string]pool.Assignment, len(rows))
	for _, row := range rows {
		assignment, err := pool.Decode(row)
		if err != nil {
			return err
		}
		assignments[assignment.Host] = assignment
	}
	for _, part := range n.parts {
		part.HostsChanged(assignments)
	}
	return nil
}

// permitsChanged notifies the parts that permits may have been received.
func (n *Node) permitsChanged() {
	for _, part := range n.parts {
		part.PermitsChanged()
	}
}

// managersOf returns the members that may commit configuration changes.
func managersOf(members roster.Roster) []revision.Member {
	var managers []revision.Member
	for _, member := range members.Members {
		if member.Role == roster.RoleManager {
			managers = append(managers, revision.Member(member.Identity))
		}
	}
	return managers
}
