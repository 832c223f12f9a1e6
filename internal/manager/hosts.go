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
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// hostInterval is the time between two looks at draining hosts.
	hostInterval = 200 * time.Millisecond
	// hostRetries bounds how often a host's row is tried again after a race.
	hostRetries = 5
)

// hostWord is what one entry said of one host.
type hostWord struct {
	sender       pool.Sender
	host         string
	confirmation pool.Confirmation
}

// takeWords hands an entry's words on draining hosts to the host loop; one
// that is lost comes again.
func (m *Manager) takeWords(from roster.Identity, confirmations []*peerpb.HostConfirmation) {
	for _, c := range confirmations {
		word := hostWord{
			sender: pool.Sender(from), host: c.GetHost(),
			confirmation: pool.Confirmation{Epoch: c.GetEpoch(), InFlight: int(c.GetInFlight())},
		}
		select {
		case m.words <- word:
		default:
		}
	}
}

// hostLoop completes drains.
func (m *Manager) hostLoop(ctx context.Context) {
	drains := pool.NewDrainTracker()
	ticker := time.NewTicker(hostInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case word := <-m.words:
			drains.Confirm(word.host, word.sender, word.confirmation)
			continue
		case <-ticker.C:
		}
		if err := m.tendHosts(ctx, drains); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("drains not completed", "reason", err.Error())
		}
	}
}

// tendHosts settles each drain that this manager leads and that is complete.
func (m *Manager) tendHosts(ctx context.Context, drains *pool.DrainTracker) error {
	rows, err := m.node.Store().Scan(ctx, pool.KeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the hosts' assignments")
	}
	listed, err := m.config.Platform.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "read the host list")
	}
	workers := workersOf(listed)
	var leaving []string
	for _, row := range rows {
		current, err := pool.Decode(row)
		if err != nil {
			return err
		}
		if current.Phase != pool.Serving {
			leaving = append(leaving, current.Host)
		}
		if current.Phase != pool.Draining {
			continue
		}
		if err := m.settleHost(ctx, drains, row, current, workers[current.Host]); err != nil {
			return err
		}
	}
	m.shards.setLeaving(leaving)
	return nil
}

// settleHost commits the end of a drain if nothing runs at the host. The commit
// rests on the roster's row, so that an entry that joined unseen is not missed.
func (m *Manager) settleHost(ctx context.Context, drains *pool.DrainTracker, row table.Row, current pool.Assignment, worker bool) error {
	fences, ours := m.settles(row.Key, current, worker)
	if !ours {
		return nil
	}
	members, rowVersion := m.node.Roster()
	senders, gone := entriesOf(members)
	c := m.node.Configuration().View().State.Catalogue
	if !drains.IsDrained(time.Now(), current, senders, gone, longestOfAll(c)) {
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
		return errors.Wrapf(err, "settle the drain of %q", current.Host)
	}
	drains.Forget(current.Host)
	m.config.Log.Info("drain complete", "host", current.Host, "phase", next.Phase, "pool", next.Pool)
	return nil
}

// settles reports whether it is this manager's part to settle the host: a
// worker's is that of the process that manages its shard, which must have
// nothing there; the fence says that it still does.
func (m *Manager) settles(row string, current pool.Assignment, worker bool) (fences []table.Condition, ours bool) {
	if !worker || !m.shards.has(current.Pool) {
		return nil, m.leads(row, time.Now())
	}
	fence, drained := m.shards.drained(current.Pool, current.Host)
	return []table.Condition{fence}, drained
}

// workersOf returns the hosts that run tasks.
func workersOf(hosts []platform.Host) map[string]bool {
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

// assignedHosts is the platform's list with the pools of our own rows, which do
// not lag.
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

// entriesOf returns the processes that send requests to endpoints, and those
// that did and are proven gone.
func entriesOf(members roster.Roster) (senders, gone []pool.Sender) {
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

// longestOfAll bounds the work of any catalogue entry.
func longestOfAll(c catalogue.Catalogue) time.Duration {
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

// Busy implements node.Part.
func (m *Manager) IsUrgent() bool { return m.shards.busy() }

// Hosts returns the platform's hosts with their assignments.
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

// apiHost describes a host to an operator.
func apiHost(host platform.Host, assignment pool.Assignment) api.Host {
	return api.Host{
		Name: host.Name, DataCentre: host.DataCentre, Rack: host.Rack, Pool: assignment.Pool,
		Phase: string(assignment.Phase), Purpose: string(assignment.Purpose), Target: assignment.Target,
		Epoch: assignment.Epoch, Listed: true, State: string(host.State),
	}
}

// DrainHost has a host take no new work. A repeat of the same drain changes
// nothing. Errors: operator.ErrNotFound, *pool.PhaseError, the table's.
func (m *Manager) DrainHost(ctx context.Context, name string, purpose pool.Purpose, target string) (api.Host, error) {
	return m.changeHost(ctx, name, func(current pool.Assignment) (pool.Assignment, error) {
		if current.Phase != pool.Serving && current.Purpose == purpose && (current.Target == target || purpose == pool.Maintenance) {
			return current, nil
		}
		return pool.Drain(current, purpose, target)
	})
}

// ReturnHost has a host serve its pool again. A repeat changes nothing.
func (m *Manager) ReturnHost(ctx context.Context, name string) (api.Host, error) {
	return m.changeHost(ctx, name, func(current pool.Assignment) (pool.Assignment, error) {
		if current.Phase == pool.Serving {
			return current, nil
		}
		return pool.Return(current)
	})
}

// changeHost commits a change of a host's row, again after a race.
func (m *Manager) changeHost(ctx context.Context, name string, change func(pool.Assignment) (pool.Assignment, error)) (api.Host, error) {
	listed, err := m.findHost(ctx, name)
	if err != nil {
		return api.Host{}, err
	}
	for range hostRetries {
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
		next, err := change(current)
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
		// After a lost answer the row tells whether the change took effect.
		if !table.IsConflict(err) && !table.IsUnknown(err) {
			return api.Host{}, err
		}
	}
	return api.Host{}, errors.Wrapf(table.ErrUnknown, "host %q changes too quickly", name)
}

// findHost returns a host of the platform's list.
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
