package entry

import (
	"context"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/route"
)

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

// readHosts takes the endpoints and shares of every service. When the list
// cannot be read the last one stays in force.
func (e *Entry) readHosts(ctx context.Context) {
	hosts, err := e.config.Hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.config.Log.Debug("host list not read", "reason", err.Error())
		}
		return
	}
	now := e.now()
	endpoints := endpointsByService(hosts)
	entries := e.activeEntries()
	state := e.node.Configuration().View().State
	for name, entry := range state.Catalogue.Entries {
		if entry.Kind != catalogue.KindService {
			continue
		}
		s := e.service(name)
		s.setEndpoints(now, endpoints[name], entries)
		s.setWeights(now, weights(state.Catalogue, entry))
		s.tick(now)
	}
	e.hostsOnce.Do(func() { close(e.hostsRead) })
}

// activeEntries returns how many entries share the endpoints' connections.
func (e *Entry) activeEntries() int {
	members, _ := e.node.Roster()
	return max(1, len(members.Active()))
}

// endpointsByService groups the hosts' endpoints.
func endpointsByService(hosts []platform.Host) map[string][]route.Endpoint {
	grouped := make(map[string][]route.Endpoint)
	for _, host := range hosts {
		for _, endpoint := range host.Endpoints {
			grouped[endpoint.Service] = append(grouped[endpoint.Service], route.Endpoint{
				Address: endpoint.Address, DataCentre: host.DataCentre,
				Slots: endpoint.Slots, Connections: endpoint.Connections,
				Leaving: host.State == platform.Leaving,
			})
		}
	}
	return grouped
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
