package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/route"
)

// hostView is the entry's view of the hosts: the platform's list, which lags,
// and the assignments to pools, which arrive without that lag.
type hostView struct {
	mu          sync.Mutex
	hosts       []platform.Host
	assignments map[string]pool.Assignment
	// applied are the assignments that the pickers already follow.
	applied map[string]pool.Assignment
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
	endpoints := e.hostView.endpoints()
	entries := e.countActiveEntries()
	state := e.node.Configuration().View().State
	for name, entry := range state.Catalogue.Entries {
		if entry.Kind != catalogue.KindService {
			continue
		}
		s := e.service(name)
		s.setEndpoints(now, endpoints[name], entries, entry.Limit)
		s.setWeights(now, teamWeights(state.Catalogue, entry))
		s.tick(now)
	}
	e.hostView.applied = e.hostView.assignments
}

// endpoints groups the endpoints by service. The endpoints of a host that is
// being taken out of service, by the platform or by its assignment, are marked
// as leaving.
func (v *hostView) endpoints() map[string][]route.Endpoint {
	grouped := make(map[string][]route.Endpoint)
	for _, host := range v.hosts {
		leaving := host.State != platform.Live
		if assignment, ok := v.assignments[host.Name]; ok && assignment.Phase != pool.Serving {
			leaving = true
		}
		for _, endpoint := range host.Endpoints {
			grouped[endpoint.Service] = append(grouped[endpoint.Service], route.Endpoint{
				Address: endpoint.Address, DataCentre: host.DataCentre,
				Slots: endpoint.Slots, Connections: endpoint.Connections, Leaving: leaving,
			})
		}
	}
	return grouped
}

// hostConfirmations returns, for each host out of service, the number of
// attempts that may still be running there.
func (e *Entry) hostConfirmations() []*peerpb.HostConfirmation {
	e.hostView.mu.Lock()
	defer e.hostView.mu.Unlock()
	now := e.now()
	addresses := e.hostView.addresses()
	var confirmations []*peerpb.HostConfirmation
	for name, assignment := range e.hostView.applied {
		if assignment.Phase == pool.Serving {
			continue
		}
		inFlight := 0
		for _, address := range addresses[name] {
			inFlight += e.outstanding.count(address, now)
		}
		confirmations = append(confirmations, &peerpb.HostConfirmation{
			Host: name, Epoch: assignment.Epoch, InFlight: int32(inFlight),
		})
	}
	return confirmations
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
