package manager

import (
	"context"
	"sync"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// hostLoads holds what each other process last reported to run on the hosts that
// take no new work.
type hostLoads struct {
	mu        sync.Mutex
	byProcess map[roster.Identity]map[string]int
}

// newHostLoads returns hostLoads without reports.
func newHostLoads() *hostLoads {
	return &hostLoads{byProcess: make(map[roster.Identity]map[string]int)}
}

// record replaces the report of a process.
func (l *hostLoads) record(from roster.Identity, confirmations []*peerpb.HostConfirmation) {
	byHost := make(map[string]int, len(confirmations))
	for _, c := range confirmations {
		byHost[c.GetHost()] = int(c.GetInFlight())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byProcess[from] = byHost
}

// prune drops the reports of processes that have left the roster.
func (l *hostLoads) prune(members roster.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from := range l.byProcess {
		if !members.Contains(from) {
			delete(l.byProcess, from)
		}
	}
}

// count returns the number of requests that entries, and of tasks that managers,
// have reported for the host.
func (l *hostLoads) count(members roster.Roster, host string) (requests, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range members.Members {
		running := l.byProcess[member.Identity][host]
		if member.Role == roster.RoleEntry {
			requests += running
		} else {
			tasks += running
		}
	}
	return requests, tasks
}

// Evacuations implements operator.Evacuations.
func (m *Manager) Evacuations(ctx context.Context) ([]api.Evacuation, error) {
	state, err := revision.Load(ctx, m.node.Store())
	if err != nil || len(state.Evacuations) == 0 {
		return nil, err
	}
	hosts, err := m.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var list []api.Evacuation
	for _, name := range state.EvacuatedDataCentres() {
		list = append(list, m.apiEvacuation(state.Evacuations[name], hosts))
	}
	return list, nil
}

// apiEvacuation converts an evacuation to the operators' API, with what still runs
// on the data centre's hosts.
func (m *Manager) apiEvacuation(evacuation revision.Evacuation, hosts []api.Host) api.Evacuation {
	_, missing := m.node.InForce(evacuation.Revision)
	described := api.Evacuation{
		DataCentre: evacuation.DataCentre, Since: evacuation.Since, Revision: evacuation.Revision,
		Hosts: []api.EvacuatedHost{}, Missing: append([]string{}, missing...),
	}
	members, _ := m.node.Roster()
	ownTasks := m.evacuatedTasks.Load()
	for _, host := range hosts {
		if host.DataCentre != evacuation.DataCentre {
			continue
		}
		requests, tasks := m.hostLoads.count(members, host.Name)
		if ownTasks != nil {
			tasks += (*ownTasks)[host.Name]
		}
		described.Hosts = append(described.Hosts, api.EvacuatedHost{Name: host.Name, Pool: host.Pool, Requests: requests, Tasks: tasks})
	}
	return described
}

// evacuationConfirmations reports the tasks of this manager's shards on the hosts
// of evacuated data centres to the other managers.
func (m *Manager) evacuationConfirmations() []*peerpb.HostConfirmation {
	tasks := m.evacuatedTasks.Load()
	if tasks == nil {
		return nil
	}
	var confirmations []*peerpb.HostConfirmation
	for host, running := range *tasks {
		confirmations = append(confirmations, &peerpb.HostConfirmation{Host: host, InFlight: int32(running)})
	}
	return confirmations
}

// countEvacuatedTasks counts the tasks of this manager's shards on the hosts of
// evacuated data centres. Hosts without tasks are left out.
func (m *Manager) countEvacuatedTasks(state revision.State, listed []platform.Host) {
	tasks := make(map[string]int)
	for _, host := range listed {
		if !state.IsEvacuated(host.DataCentre) {
			continue
		}
		if running := m.shards.countTasks(host.Name); running > 0 {
			tasks[host.Name] = running
		}
	}
	m.evacuatedTasks.Store(&tasks)
}

// evacuationObserver logs, once for each change of the configuration, evacuations
// that leave no data centre or name an unknown one.
type evacuationObserver struct {
	revision uint64
}

// observe checks the evacuations against the platform's list of hosts.
func (o *evacuationObserver) observe(m *Manager, state revision.State, listed []platform.Host) {
	if o.revision == state.Revision {
		return
	}
	o.revision = state.Revision
	known := make(map[string]bool)
	open := false
	for _, host := range listed {
		known[host.DataCentre] = true
		open = open || !state.IsEvacuated(host.DataCentre)
	}
	if len(state.Evacuations) > 0 && len(listed) > 0 && !open {
		m.config.Log.Warn("all data centres are evacuated", "revision", state.Revision)
	}
	for _, name := range state.EvacuatedDataCentres() {
		if !known[name] {
			m.config.Log.Warn("evacuation names an unknown data centre", "data-centre", name, "revision", state.Revision)
		}
	}
}

// allowsMove returns *pool.EvacuatedError if the host's data centre is evacuated
// and the target pool needs capacity, that is, serves an entry of the catalogue. A
// pool without entries is a spare pool.
func allowsMove(state revision.State, host, dataCentre, target string) error {
	if state.IsEvacuated(dataCentre) && needsCapacity(state.Catalogue, target) {
		return &pool.EvacuatedError{Host: host, DataCentre: dataCentre, Target: target}
	}
	return nil
}

// needsCapacity reports whether an entry of the catalogue runs in the pool.
func needsCapacity(c catalogue.Catalogue, name string) bool {
	for _, entry := range c.Entries {
		if entry.Pool == name {
			return true
		}
	}
	return false
}

// isEntry reports whether the roster lists the process as an entry.
func (m *Manager) isEntry(id roster.Identity) bool {
	members, _ := m.node.Roster()
	member, ok := members.Find(id.Name)
	return ok && member.Identity == id && member.Role == roster.RoleEntry
}

// currentState returns the configuration that this manager applies.
func (m *Manager) currentState() revision.State { return m.node.Configuration().View().State }
