package entry

import (
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
)

// Fill implements node.Part: it adds demand, load and what draining hosts run.
func (e *Entry) FillState(state *peerpb.State) {
	state.Hosts = e.confirmations()
	said := e.said.get(e.now(), e.collect)
	state.Demands = said.demands
	state.Loads = said.loads
}

// sayings is what the entry tells all its peers in one gossip interval. A
// scheduler divides by the demand that it last published, so that all peers
// must get the same.
type sayings struct {
	at      time.Time
	demands []*peerpb.Demand
	loads   []*peerpb.EndpointLoad
}

// sayingsCache keeps the sayings of the present interval.
type sayingsCache struct {
	mu       sync.Mutex
	interval time.Duration
	current  sayings
}

// get returns the sayings of the interval, collected anew when it is over.
func (c *sayingsCache) get(now time.Time, collect func() sayings) sayings {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.current.at) >= c.interval {
		c.current = collect()
		c.current.at = now
	}
	return c.current
}

// collect takes the services' demand and load.
func (e *Entry) collect() sayings {
	var said sayings
	e.eachService(func(name string, s *service) {
		demand, loads := s.gossip()
		said.demands = append(said.demands, demandMessage(name, demand))
		for _, load := range loads {
			said.loads = append(said.loads, &peerpb.EndpointLoad{
				Service: name, Address: load.Address.String(), InFlight: int32(load.InFlight),
			})
		}
	})
	return said
}

// Busy implements node.Part: work runs or waits, or a host drains.
func (e *Entry) IsUrgent() bool {
	if len(e.confirmations()) > 0 {
		return true
	}
	busy := false
	e.eachService(func(_ string, s *service) { busy = busy || s.busy() })
	return busy
}

// Absorb implements node.Part: it takes another entry's demand and load.
func (e *Entry) ApplyState(from roster.Identity, state *peerpb.State) {
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
			InFlight: int32(flow.InFlight), Queued: int32(flow.Queued), Lag: flow.Lag,
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
			InFlight: int(flow.GetInFlight()), Queued: int(flow.GetQueued()), Lag: flow.GetLag(),
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
