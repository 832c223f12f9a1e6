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

// hostView is what the entry knows of hosts: the platform's list, which lags,
// and our own assignments, which are known at once.
type hostView struct {
	mu          sync.Mutex
	hosts       []platform.Host
	assignments map[string]pool.Assignment
	// obeyed are the assignments that the pickers follow by now.
	obeyed map[string]pool.Assignment
}

// hostsLoop follows the platform's list of hosts.
func (e *Entry) hostsLoop(ctx context.Context) {
	for {
		e.readHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(hostsInterval):
		}
	}
}

// readHosts takes the platform's list. When it cannot be read the last one
// stays in force.
func (e *Entry) readHosts(ctx context.Context) {
	hosts, err := e.config.Hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.config.Log.Debug("host list not read", "reason", err.Error())
		}
		return
	}
	e.view.mu.Lock()
	e.view.hosts = hosts
	e.view.mu.Unlock()
	e.follow()
	e.hostsOnce.Do(func() { close(e.hostsRead) })
}

// HostsChanged implements node.Part.
func (e *Entry) HostsChanged(assignments map[string]pool.Assignment) {
	e.view.mu.Lock()
	e.view.assignments = assignments
	e.view.mu.Unlock()
	e.follow()
}

// follow gives the pickers the endpoints and the schedulers the shares, and
// notes which assignments are obeyed by then.
func (e *Entry) follow() {
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	now := e.now()
	endpoints := e.view.endpoints()
	entries := e.activeEntries()
	state := e.node.Configuration().View().State
	for name, entry := range state.Catalogue.Entries {
		if entry.Kind != catalogue.KindService {
			continue
		}
		s := e.service(name)
		s.setEndpoints(now, endpoints[name], entries, entry.Limit)
		s.setWeights(now, weights(state.Catalogue, entry))
		s.tick(now)
	}
	e.view.obeyed = e.view.assignments
}

// endpoints groups the endpoints by service; those of a host that the platform
// or we take out of service are leaving.
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

// confirmations tells of each host out of service how much may still run there.
func (e *Entry) confirmations() []*peerpb.HostConfirmation {
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	now := e.now()
	addresses := e.view.addresses()
	var confirmations []*peerpb.HostConfirmation
	for name, assignment := range e.view.obeyed {
		if assignment.Phase == pool.Serving {
			continue
		}
		inFlight := 0
		for _, address := range addresses[name] {
			inFlight += e.outstanding.at(address, now)
		}
		confirmations = append(confirmations, &peerpb.HostConfirmation{
			Host: name, Epoch: assignment.Epoch, InFlight: int32(inFlight),
		})
	}
	return confirmations
}

// addresses returns the endpoints' addresses by host.
func (v *hostView) addresses() map[string][]netip.AddrPort {
	byHost := make(map[string][]netip.AddrPort)
	for _, host := range v.hosts {
		for _, endpoint := range host.Endpoints {
			byHost[host.Name] = append(byHost[host.Name], endpoint.Address)
		}
	}
	return byHost
}

// activeEntries returns how many entries share the endpoints' connections.
func (e *Entry) activeEntries() int {
	members, _ := e.node.Roster()
	return max(1, len(members.Active()))
}

// weights returns each admitted team's weight for the entry.
func weights(c catalogue.Catalogue, entry catalogue.Entry) map[string]float64 {
	byTeam := make(map[string]float64)
	for team := range c.Teams {
		if weight := c.Weight(entry, team); weight > 0 {
			byTeam[team] = float64(weight)
		}
	}
	return byTeam
}

// isEntry reports whether the identity is an entry of the roster.
func (e *Entry) isEntry(id roster.Identity) bool {
	members, _ := e.node.Roster()
	member, ok := members.Find(id.Name)
	return ok && member.Identity == id && member.Role == roster.RoleEntry
}
