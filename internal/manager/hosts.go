package manager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// drainInterval is the time between two checks of the draining hosts.
	drainInterval = 200 * time.Millisecond
	// maxRowAttempts bounds the attempts of an update of a host's or a wave's
	// row that conflicts with other writers.
	maxRowAttempts = 5
)

// drainConfirmation is an entry's confirmation that it applies a host's row.
type drainConfirmation struct {
	sender       pool.Sender
	host         string
	confirmation pool.Confirmation
}

// enqueueConfirmations queues an entry's drain confirmations for drainLoop. One
// that is dropped because the queue is full is sent again by the entry.
func (m *Manager) enqueueConfirmations(from roster.Identity, confirmations []*peerpb.HostConfirmation) {
	for _, c := range confirmations {
		confirmation := drainConfirmation{
			sender: pool.Sender(from), host: c.GetHost(),
			confirmation: pool.Confirmation{Epoch: c.GetEpoch(), InFlight: int(c.GetInFlight())},
		}
		select {
		case m.confirmations <- confirmation:
		default:
		}
	}
}

// drainLoop collects the entries' confirmations and completes drains.
func (m *Manager) drainLoop(ctx context.Context) {
	drains := pool.NewDrainTracker()
	evacuations := &evacuationObserver{}
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case confirmation := <-m.confirmations:
			drains.Confirm(confirmation.host, confirmation.sender, confirmation.confirmation)
			continue
		case <-ticker.C:
		}
		if err := m.completeDrains(ctx, drains, evacuations); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("could not complete drains", "reason", err.Error())
		}
	}
}

// completeDrains commits the end of each drain that this manager owns and that is
// complete, and updates the shards' set of leaving workers and the count of tasks
// on evacuated hosts.
func (m *Manager) completeDrains(ctx context.Context, drains *pool.DrainTracker, evacuations *evacuationObserver) error {
	rows, err := m.node.Store().Scan(ctx, pool.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the hosts' assignments")
	}
	listed, err := m.config.Platform.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "read the host list")
	}
	state := m.currentState()
	evacuations.observe(m, state, listed)
	m.countEvacuatedTasks(state, listed)
	workers, dataCentres := workerHosts(listed), dataCentresByHost(listed)
	var leaving []string
	for _, row := range rows {
		current, err := pool.Decode(row)
		if err != nil {
			return err
		}
		if current.Phase != pool.Serving {
			leaving = append(leaving, current.Host)
		}
		if current.Phase != pool.Draining || !mayComplete(state, current, dataCentres) {
			continue
		}
		if err := m.completeDrain(ctx, drains, row, current, workers[current.Host]); err != nil {
			return err
		}
	}
	m.shards.setLeaving(leaving)
	return nil
}

// completeDrain commits the end of a drain if nothing runs on the host. The commit
// is conditional on the roster's row, because an entry that this manager does not
// know yet might still send requests to the host.
func (m *Manager) completeDrain(ctx context.Context, drains *pool.DrainTracker, row table.Row, current pool.Assignment, worker bool) error {
	fences, owned := m.ownsDrain(row.Key, current, worker)
	if !owned {
		return nil
	}
	members, rowVersion := m.node.Roster()
	senders, gone := entrySenders(members)
	c := m.node.Configuration().View().State.Catalogue
	if !drains.IsDrained(time.Now(), current, senders, gone, longestRunOverall(c)) {
		return nil
	}
	next, err := pool.CompleteDrain(current)
	if err != nil {
		return err
	}
	txn, err := pool.UpdateTxn(row, next)
	if err != nil {
		return err
	}
	txn.Conditions = append(txn.Conditions, table.Condition{Key: roster.Key, Version: rowVersion})
	txn.Conditions = append(txn.Conditions, fences...)
	err = m.node.Store().Commit(ctx, txn)
	if table.IsConflict(err) {
		return m.node.RefreshRoster(ctx)
	}
	if err != nil {
		return errors.Wrapf(err, "complete the drain of %q", current.Host)
	}
	drains.Forget(current.Host)
	m.config.Log.Info("drain complete", "host", current.Host, "phase", next.Phase, "pool", next.Pool)
	return nil
}

// ownsDrain reports whether this manager may complete the host's drain. The drain
// of a worker belongs to the process that manages the pool's shard, once no task is
// left on the worker. The fences are conditions that fail once another process
// manages the shard.
func (m *Manager) ownsDrain(row string, current pool.Assignment, worker bool) (fences []table.Condition, owned bool) {
	if !worker || !m.shards.hasPool(current.Pool) {
		return nil, m.owns(row, time.Now())
	}
	fence, drained := m.shards.isDrained(current.Pool, current.Host)
	return []table.Condition{fence}, drained
}

// mayComplete reports whether the drain may end. A move into a pool that needs
// capacity waits until the host's data centre is no longer evacuated. A host that
// the platform no longer lists takes no work.
func mayComplete(state revision.State, current pool.Assignment, dataCentres map[string]string) bool {
	dataCentre, listed := dataCentres[current.Host]
	if !listed || current.Purpose != pool.Move {
		return true
	}
	return allowsMove(state, current.Host, dataCentre, current.Target) == nil
}

// dataCentresByHost returns the data centre of each host.
func dataCentresByHost(hosts []platform.Host) map[string]string {
	byHost := make(map[string]string, len(hosts))
	for _, host := range hosts {
		byHost[host.Name] = host.DataCentre
	}
	return byHost
}

// workerHosts returns the names of the hosts that run workers.
func workerHosts(hosts []platform.Host) map[string]bool {
	workers := make(map[string]bool)
	for _, host := range hosts {
		for _, endpoint := range host.Endpoints {
			if endpoint.Service == platform.WorkerService {
				workers[host.Name] = true
			}
		}
	}
	return workers
}

// assignedHosts lists the platform's hosts with the pools of the assignment rows,
// which are more recent than the platform's list.
type assignedHosts struct {
	manager *Manager
}

// Hosts implements runner.Hosts.
func (a assignedHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	listed, err := a.manager.config.Platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	assignments := a.manager.assignments.Load()
	if assignments == nil {
		return listed, nil
	}
	for i := range listed {
		if assignment, ok := (*assignments)[listed[i].Name]; ok {
			listed[i].Pool = assignment.Pool
		}
	}
	return listed, nil
}

// entrySenders returns the entries, which send requests to endpoints, and the
// departed processes, which no longer do.
func entrySenders(members roster.Roster) (senders, gone []pool.Sender) {
	for _, member := range members.Members {
		if member.Role == roster.RoleEntry {
			senders = append(senders, pool.Sender(member.Identity))
		}
	}
	for _, departure := range members.Departures {
		gone = append(gone, pool.Sender(departure.Identity))
	}
	return senders, gone
}

// longestRunOverall returns the maximum run time of all catalogue entries.
func longestRunOverall(c catalogue.Catalogue) time.Duration {
	longest := time.Duration(0)
	for _, entry := range c.Entries {
		longest = max(longest, entry.LongestRun)
	}
	return longest
}

// HostsChanged implements node.Part.
func (m *Manager) HostsChanged(assignments map[string]pool.Assignment) {
	m.assignments.Store(&assignments)
}

// IsUrgent implements node.Part.
func (m *Manager) IsUrgent() bool { return m.shards.holdsPermits() }

// Hosts implements operator.Hosts. It returns the platform's hosts with their
// assignments.
func (m *Manager) Hosts(ctx context.Context) ([]api.Host, error) {
	listed, err := m.config.Platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := m.node.Store().Scan(ctx, pool.KeyPrefix)
	if err != nil {
		return nil, err
	}
	assigned := make(map[string]pool.Assignment)
	for _, row := range rows {
		assignment, err := pool.Decode(row)
		if err != nil {
			return nil, err
		}
		assigned[assignment.Host] = assignment
	}
	hosts := make([]api.Host, 0, len(listed))
	for _, host := range listed {
		assignment, ok := assigned[host.Name]
		if !ok {
			assignment = pool.Assign(host.Name, host.Pool)
			assignment.Epoch = 0
		}
		hosts = append(hosts, apiHost(host, assignment))
	}
	return hosts, nil
}

// apiHost converts a host and its assignment to the operators' API.
func apiHost(host platform.Host, assignment pool.Assignment) api.Host {
	return api.Host{
		Name: host.Name, DataCentre: host.DataCentre, Rack: host.Rack, Pool: assignment.Pool,
		Phase: string(assignment.Phase), Purpose: string(assignment.Purpose), Target: assignment.Target,
		Epoch: assignment.Epoch, Listed: true, State: string(host.State),
	}
}

// DrainHost starts to drain a host, which then gets no new work. It does nothing
// if the host already has the same drain. It returns operator.ErrNotFound,
// *pool.PhaseError, *pool.EvacuatedError or the table's errors.
func (m *Manager) DrainHost(ctx context.Context, name string, purpose pool.Purpose, target string) (api.Host, error) {
	listed, err := m.findHost(ctx, name)
	if err != nil {
		return api.Host{}, err
	}
	if purpose == pool.Move {
		if err := allowsMove(m.currentState(), name, listed.DataCentre, target); err != nil {
			return api.Host{}, err
		}
	}
	return m.updateHost(ctx, listed, func(current pool.Assignment) (pool.Assignment, error) {
		if current.Phase != pool.Serving && current.Purpose == purpose && (current.Target == target || purpose == pool.Maintenance) {
			return current, nil
		}
		return pool.Drain(current, purpose, target)
	})
}

// ReturnHost makes a host serve its pool again. It does nothing if the host
// already serves.
func (m *Manager) ReturnHost(ctx context.Context, name string) (api.Host, error) {
	listed, err := m.findHost(ctx, name)
	if err != nil {
		return api.Host{}, err
	}
	return m.updateHost(ctx, listed, func(current pool.Assignment) (pool.Assignment, error) {
		if current.Phase == pool.Serving {
			return current, nil
		}
		return pool.Return(current)
	})
}

// updateHost commits an update of a listed host's row, and repeats it after a
// conflict or a lost answer.
func (m *Manager) updateHost(ctx context.Context, listed platform.Host, update func(pool.Assignment) (pool.Assignment, error)) (api.Host, error) {
	name := listed.Name
	for range maxRowAttempts {
		rows, err := m.node.Store().Get(ctx, pool.Key(name))
		if err != nil {
			return api.Host{}, err
		}
		current := pool.Assign(name, listed.Pool)
		if rows[0].Version != table.Absent {
			if current, err = pool.Decode(rows[0]); err != nil {
				return api.Host{}, err
			}
		}
		next, err := update(current)
		if err != nil || next == current {
			return apiHost(listed, next), err
		}
		txn, err := pool.UpdateTxn(rows[0], next)
		if err != nil {
			return api.Host{}, err
		}
		err = m.node.Store().Commit(ctx, txn)
		if err == nil {
			m.node.PollNow()
			return apiHost(listed, next), nil
		}
		// After a lost answer, the next read shows whether the update took effect.
		if !table.IsConflict(err) && !table.IsUnknown(err) {
			return api.Host{}, err
		}
	}
	return api.Host{}, errors.Wrapf(table.ErrUnknown, "host %q changes too quickly", name)
}

// findHost returns a host from the platform's list, or operator.ErrNotFound.
func (m *Manager) findHost(ctx context.Context, name string) (platform.Host, error) {
	listed, err := m.config.Platform.Hosts(ctx)
	if err != nil {
		return platform.Host{}, err
	}
	for _, host := range listed {
		if host.Name == name {
			return host, nil
		}
	}
	return platform.Host{}, errors.Wrapf(operator.ErrNotFound, "host %q", name)
}
