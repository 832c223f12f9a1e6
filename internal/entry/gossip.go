package entry

import (
	"net/netip"

	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
)

// Fill implements node.Part: it adds demand, load and what draining hosts run.
func (e *Entry) Fill(state *peerpb.State) {
	state.Hosts = e.confirmations()
	e.eachService(func(name string, s *service) {
		demand, loads := s.gossip()
		state.Demands = append(state.Demands, demandMessage(name, demand))
		for _, load := range loads {
			state.Loads = append(state.Loads, &peerpb.EndpointLoad{
				Service: name, Address: load.Address.String(), InFlight: int32(load.InFlight),
			})
		}
	})
}

// Absorb implements node.Part: it takes another entry's demand and load.
func (e *Entry) Absorb(from roster.Identity, state *peerpb.State) {
	if !e.isEntry(from) {
		return
	}
	loads := loadsByService(state.GetLoads())
	now := e.now()
	for _, demand := range state.GetDemands() {
		service := demand.GetService()
		e.service(service).setPeer(now, decodeDemand(from.Name, demand), loads[service])
	}
}

// demandMessage encodes one service's demand.
func demandMessage(service string, demand share.Demand) *peerpb.Demand {
	m := &peerpb.Demand{Service: service, Debt: demand.Debt}
	for _, flow := range demand.Flows {
		m.Flows = append(m.Flows, &peerpb.Flow{
			Team: flow.Team, Class: uint32(flow.Class),
			InFlight: int32(flow.InFlight), Queued: int32(flow.Queued),
		})
	}
	return m
}

// decodeDemand decodes one service's demand at the named entry.
func decodeDemand(entry string, m *peerpb.Demand) share.Demand {
	demand := share.Demand{Entry: entry, Debt: m.GetDebt()}
	for _, flow := range m.GetFlows() {
		demand.Flows = append(demand.Flows, share.FlowDemand{
			Flow:     share.Flow{Team: flow.GetTeam(), Class: share.Class(flow.GetClass())},
			InFlight: int(flow.GetInFlight()), Queued: int(flow.GetQueued()),
		})
	}
	return demand
}

// loadsByService groups loads; an address that does not parse is left out.
func loadsByService(loads []*peerpb.EndpointLoad) map[string][]route.EndpointLoad {
	grouped := make(map[string][]route.EndpointLoad)
	for _, load := range loads {
		address, err := netip.ParseAddrPort(load.GetAddress())
		if err != nil {
			continue
		}
		grouped[load.GetService()] = append(grouped[load.GetService()], route.EndpointLoad{
			Address: address, InFlight: int(load.GetInFlight()),
		})
	}
	return grouped
}
