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

// FillState implements node.Part. It adds the demand, the load and the number
// of attempts at draining and evacuated hosts.
func (e *Entry) FillState(state *peerpb.State) {
	state.Hosts = append(e.drainConfirmations(), e.evacuationConfirmations()...)
	data := e.gossipCache.get(e.now(), e.collectGossip)
	state.Demands = data.demands
	state.Loads = data.loads
}

// gossipData is what the entry sends to all its peers in one gossip interval.
// All peers must get the same, because the scheduler divides slots by the
// demand that it last published.
type gossipData struct {
	collectedAt time.Time
	demands     []*peerpb.Demand
	loads       []*peerpb.EndpointLoad
}

// gossipDataCache keeps the gossipData of the current interval.
type gossipDataCache struct {
	mu       sync.Mutex
	interval time.Duration
	current  gossipData
}

// get returns the data of the current interval and collects it anew when the
// interval is over.
func (c *gossipDataCache) get(now time.Time, collect func() gossipData) gossipData {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.current.collectedAt) >= c.interval {
		c.current = collect()
		c.current.collectedAt = now
	}
	return c.current
}

// collectGossip collects the demand and load of all services.
func (e *Entry) collectGossip() gossipData {
	var data gossipData
	e.forEachService(func(name string, s *service) {
		demand, loads := s.demandAndLoad()
		data.demands = append(data.demands, demandMessage(name, demand))
		for _, load := range loads {
			data.loads = append(data.loads, &peerpb.EndpointLoad{
				Service: name, Address: load.Address.String(), InFlight: int32(load.InFlight),
			})
		}
	})
	return data
}

// IsUrgent implements node.Part. It reports whether requests are running or
// queued, or a host is out of service.
func (e *Entry) IsUrgent() bool {
	if len(e.drainConfirmations()) > 0 {
		return true
	}
	busy := false
	e.forEachService(func(_ string, s *service) { busy = busy || s.isBusy() })
	return busy
}

// ApplyState implements node.Part. It applies the demand and load of another
// entry.
func (e *Entry) ApplyState(from roster.Identity, state *peerpb.State) {
	if !e.isEntry(from) {
		return
	}
	loads := loadsByService(state.GetLoads())
	now := e.now()
	for _, demand := range state.GetDemands() {
		service := demand.GetService()
		e.service(service).setPeerState(now, decodeDemand(from.Name, demand), loads[service])
	}
}

// demandMessage encodes the demand for one service.
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

// decodeDemand decodes the named entry's demand for one service.
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

// loadsByService groups loads by service and skips addresses that do not parse.
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
