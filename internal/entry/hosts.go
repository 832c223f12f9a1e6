package entry

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/route"
)

// hostView is the entry's view of the hosts: the platform's list, which lags,
// and the assignments to pools, which arrive without that lag.
type hostView struct {
	mu          sync.Mutex
	hosts       []platform.Host
	assignments map[string]pool.Assignment
	// applied are the assignments that the pickers already follow, and
	// configuration is the configuration whose evacuations they follow.
	applied       map[string]pool.Assignment
	configuration revision.State
}

// hostsLoop polls the platform's host list.
func (e *Entry) hostsLoop(ctx context.Context) {
	for {
		e.refreshHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(hostPollInterval):
		}
	}
}

// refreshHosts reads the platform's host list. On an error the previous list
// stays in use.
func (e *Entry) refreshHosts(ctx context.Context) {
	hosts, err := e.config.Hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.config.Log.Debug("cannot read the platform's host list", "reason", err.Error())
		}
		return
	}
	e.hostView.mu.Lock()
	e.hostView.hosts = hosts
	e.hostView.mu.Unlock()
	e.updateServices()
	e.hostsLoadedOnce.Do(func() { close(e.hostsLoaded) })
}

// HostsChanged implements node.Part.
func (e *Entry) HostsChanged(assignments map[string]pool.Assignment) {
	e.hostView.mu.Lock()
	e.hostView.assignments = assignments
	e.hostView.mu.Unlock()
	e.updateServices()
}

// updateServices updates the endpoints and weights of all services, and records
// which assignments they follow.
func (e *Entry) updateServices() {
	e.hostView.mu.Lock()
	defer e.hostView.mu.Unlock()
	now := e.now()
	state := e.node.Configuration().View().State
	endpoints := e.hostView.endpoints(state)
	entries := e.countActiveEntries()
	for name, entry := range state.Catalogue.Entries {
		if entry.Kind != catalogue.KindService {
			continue
		}
		s := e.service(name)
		listed := endpoints[name]
		s.setEndpoints(now, listed.list, entries, entry.Limit)
		s.setEvacuated(now, listed.onlyEvacuated())
		s.setWeights(now, teamWeights(state.Catalogue, entry))
		s.tick(now)
	}
	e.hostView.applied, e.hostView.configuration = e.hostView.assignments, state
	e.appliedRevision.Store(state.Revision)
}

// followEvacuations updates the services if the evacuations in the configuration
// have changed. It is called before each attempt, so that none starts in a data
// centre that this process knows to be evacuated.
func (e *Entry) followEvacuations() {
	state := &e.node.Configuration().View().State
	if e.appliedRevision.Load() >= state.Revision {
		return
	}
	e.hostView.mu.Lock()
	unchanged := maps.Equal(e.hostView.configuration.Evacuations, state.Evacuations)
	e.hostView.mu.Unlock()
	if unchanged {
		e.appliedRevision.Store(state.Revision)
		return
	}
	e.updateServices()
}

// serviceEndpoints are the endpoints of one service. open and evacuated count those
// that would get work but for an evacuation.
type serviceEndpoints struct {
	list            []route.Endpoint
	open, evacuated int
}

// onlyEvacuated reports whether the service has no endpoint left because of the
// evacuations.
func (s serviceEndpoints) onlyEvacuated() bool { return s.open == 0 && s.evacuated > 0 }

// add adds an endpoint of the host.
func (s *serviceEndpoints) add(host platform.Host, endpoint platform.Endpoint, leaving, evacuated bool) {
	s.list = append(s.list, route.Endpoint{
		Address: endpoint.Address, DataCentre: host.DataCentre,
		Slots: endpoint.Slots, Connections: endpoint.Connections, Leaving: leaving || evacuated,
	})
	switch {
	case leaving:
	case evacuated:
		s.evacuated++
	default:
		s.open++
	}
}

// endpoints groups the endpoints by service. The endpoints of a host that is
// being taken out of service, by the platform or by its assignment, and of one in
// an evacuated data centre are marked as leaving.
func (v *hostView) endpoints(state revision.State) map[string]serviceEndpoints {
	grouped := make(map[string]serviceEndpoints)
	for _, host := range v.hosts {
		leaving := host.State != platform.Live
		if assignment, ok := v.assignments[host.Name]; ok && assignment.Phase != pool.Serving {
			leaving = true
		}
		for _, endpoint := range host.Endpoints {
			listed := grouped[endpoint.Service]
			listed.add(host, endpoint, leaving, state.IsEvacuated(host.DataCentre))
			grouped[endpoint.Service] = listed
		}
	}
	return grouped
}

// drainConfirmations returns, for each host out of service, the number of
// attempts that may still be running there.
func (e *Entry) drainConfirmations() []*peerpb.HostConfirmation {
	e.hostView.mu.Lock()
	defer e.hostView.mu.Unlock()
	now := e.now()
	addresses := e.hostView.addresses()
	var confirmations []*peerpb.HostConfirmation
	for name, assignment := range e.hostView.applied {
		if assignment.Phase == pool.Serving {
			continue
		}
		confirmations = append(confirmations, &peerpb.HostConfirmation{
			Host: name, Epoch: assignment.Epoch, InFlight: e.countOutstanding(addresses[name], now),
		})
	}
	return confirmations
}

// evacuationConfirmations returns the number of attempts that may still be running
// on each host of an evacuated data centre. Hosts that are out of service or have
// none are left out.
func (e *Entry) evacuationConfirmations() []*peerpb.HostConfirmation {
	e.hostView.mu.Lock()
	defer e.hostView.mu.Unlock()
	if len(e.hostView.configuration.Evacuations) == 0 {
		return nil
	}
	now := e.now()
	addresses := e.hostView.addresses()
	var confirmations []*peerpb.HostConfirmation
	for _, host := range e.hostView.hosts {
		assignment, assigned := e.hostView.applied[host.Name]
		if !e.hostView.configuration.IsEvacuated(host.DataCentre) || (assigned && assignment.Phase != pool.Serving) {
			continue
		}
		if inFlight := e.countOutstanding(addresses[host.Name], now); inFlight > 0 {
			confirmations = append(confirmations, &peerpb.HostConfirmation{
				Host: host.Name, Epoch: assignment.Epoch, InFlight: inFlight,
			})
		}
	}
	return confirmations
}

// countOutstanding returns the number of attempts that may still be running at the
// endpoints.
func (e *Entry) countOutstanding(addresses []netip.AddrPort, now time.Time) int32 {
	inFlight := 0
	for _, address := range addresses {
		inFlight += e.outstanding.count(address, now)
	}
	return int32(inFlight)
}

// addresses returns the addresses of the endpoints by host.
func (v *hostView) addresses() map[string][]netip.AddrPort {
	byHost := make(map[string][]netip.AddrPort)
	for _, host := range v.hosts {
		for _, endpoint := range host.Endpoints {
			byHost[host.Name] = append(byHost[host.Name], endpoint.Address)
		}
	}
	return byHost
}

// countActiveEntries returns the number of entries that share the endpoints'
// connections.
func (e *Entry) countActiveEntries() int {
	members, _ := e.node.Roster()
	return max(1, len(members.Active()))
}

// teamWeights returns the weight of each team that may use the catalogue entry.
func teamWeights(c catalogue.Catalogue, entry catalogue.Entry) map[string]float64 {
	byTeam := make(map[string]float64)
	for team := range c.Teams {
		if weight := c.Weight(entry, team); weight > 0 {
			byTeam[team] = float64(weight)
		}
	}
	return byTeam
}

// isEntry reports whether the roster lists the identity as an entry.
func (e *Entry) isEntry(id roster.Identity) bool {
	members, _ := e.node.Roster()
	member, ok := members.Find(id.Name)
	return ok && member.Identity == id && member.Role == roster.RoleEntry
}
