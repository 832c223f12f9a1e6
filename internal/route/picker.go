package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Config configures a Picker. Zero values take the defaults below.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// DataCentre is the data centre of this entry.
	DataCentre string
	// Choices is the number of randomly drawn endpoints to compare; 0 compares
	// all.
	Choices int
	// RemotePenalty is the load, in slots, added to endpoints in other data
	// centres; a negative value adds none.
	RemotePenalty float64
	// PeerWeight is the weight of a peer's request relative to one of this
	// entry. Peers' counts are up to a gossip interval old and the same at each
	// entry, so at full weight all entries would choose the same endpoint.
	PeerWeight float64
	// MaxEjected is the maximum fraction of endpoints ejected at a time.
	MaxEjected float64
	// EjectAfter is the number of consecutive failures that ejects an endpoint.
	EjectAfter int
	// BaseEjection is the length of the first ejection. It doubles with each
	// further one, up to MaxEjection.
	BaseEjection time.Duration
	// MaxEjection limits the length of an ejection.
	MaxEjection time.Duration
	// PeerTimeout is the time after which the load of a silent peer is dropped.
	PeerTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultRemotePenalty = 1.0
	DefaultPeerWeight    = 0.2
	DefaultMaxEjected    = 0.5
	DefaultEjectAfter    = 5
	DefaultBaseEjection  = time.Second
	DefaultMaxEjection   = time.Minute
	DefaultPeerTimeout   = time.Second
)

func (c *Config) setDefaults() {
	c.RemotePenalty = max(0, cmp.Or(c.RemotePenalty, DefaultRemotePenalty))
	c.PeerWeight = max(0, cmp.Or(c.PeerWeight, DefaultPeerWeight))
	c.MaxEjected = cmp.Or(c.MaxEjected, DefaultMaxEjected)
	c.EjectAfter = cmp.Or(c.EjectAfter, DefaultEjectAfter)
	c.BaseEjection = cmp.Or(c.BaseEjection, DefaultBaseEjection)
	c.MaxEjection = cmp.Or(c.MaxEjection, DefaultMaxEjection)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
}

// Picker chooses endpoints for one service at one entry. It is not safe for
// concurrent use: callers hold a lock per service.
type Picker struct {
	cfg       Config
	entries   int
	endpoints []*endpoint // sorted by address; unlisted ones stay while in use
	byAddress map[netip.AddrPort]*endpoint
	peers     map[string]*peer
	median    float64 // median run time of the endpoints in seconds
	samples   []float64
	usable    []*endpoint
}

// New returns a picker without endpoints.
func New(cfg Config) *Picker {
	cfg.setDefaults()
	return &Picker{cfg: cfg, entries: 1, byAddress: map[netip.AddrPort]*endpoint{}, peers: map[string]*peer{}}
}

// SetEndpoints replaces the list of endpoints. An endpoint that is added to an
// existing list, or that is no longer leaving, starts with limited load. Requests
// in flight at an endpoint that is no longer listed may finish.
func (p *Picker) SetEndpoints(_ time.Time, list []Endpoint) {
	first := len(p.endpoints) == 0
	for _, e := range p.endpoints {
		e.gone = true
	}
	for _, spec := range list {
		e, known := p.byAddress[spec.Address]
		if !known {
			e = &endpoint{}
			p.byAddress[spec.Address] = e
			p.endpoints = append(p.endpoints, e)
		}
		returned := known && e.Leaving && !spec.Leaving
		if (!known && !first) || returned {
			e.ramp = initialRamp
		}
		e.Endpoint, e.gone = spec, false
	}
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int { return a.Address.Compare(b.Address) })
	p.removeUnused()
	for _, peer := range p.peers {
		p.applyLoad(peer, peer.load)
	}
}

// SetEntries sets the number of entries that share the connections of each
// endpoint.
func (p *Picker) SetEntries(n int) {
	p.entries = max(1, n)
}

// SetPeerLoad records the gossiped load of a peer.
func (p *Picker) SetPeerLoad(now time.Time, name string, load []EndpointLoad) {
	if name == p.cfg.Entry {
		return
	}
	from, ok := p.peers[name]
	if !ok {
		from = &peer{}
		p.peers[name] = from
	}
	p.applyLoad(from, load)
	from.heardAt = now
}

// Load appends this entry's requests in flight at each endpoint to a slice, for
// gossip.
func (p *Picker) Load(to []EndpointLoad) []EndpointLoad {
	for _, e := range p.endpoints {
		if e.inFlight > 0 {
			to = append(to, EndpointLoad{Address: e.Address, InFlight: e.inFlight})
		}
	}
	return to
}

// Pick chooses an endpoint that is not excluded and counts a request in flight
// there until Done. It reports false if no endpoint is usable.
func (p *Picker) Pick(now time.Time, random Random, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	p.expirePeers(now)
	p.collectUsable(now, exclude, false)
	if len(p.usable) == 0 {
		p.collectUsable(now, exclude, true)
	}
	if len(p.usable) == 0 {
		return netip.AddrPort{}, false
	}
	leastLoaded := p.leastLoaded(now, random, p.panicking())
	leastLoaded.inFlight++
	return leastLoaded.Address, true
}

// Done records the result of a request that Pick counted.
func (p *Picker) Done(now time.Time, address netip.AddrPort, result Result, took time.Duration) {
	e, ok := p.byAddress[address]
	if !ok || e.inFlight == 0 {
		panic("route: Done for an endpoint without requests in flight")
	}
	e.inFlight--
	switch result {
	case Succeeded:
		e.recordSuccess(now, took)
		p.updateMedian()
	case Failed:
		if e.recordFailure(p.cfg.EjectAfter) {
			p.eject(now, e)
		}
	case Refused:
		e.refusedUntil = now.Add(refusalDuration)
	case Canceled:
	}
	if e.gone {
		p.removeUnused()
	}
}

// Capacity returns the number of slots at the endpoints in use, for the division
// of shares. A returning endpoint counts only as many slots as all entries
// together allow it while it returns.
func (p *Picker) Capacity(now time.Time) int {
	slots := 0
	panicking := p.panicking()
	for _, e := range p.endpoints {
		switch {
		case !e.listed():
		case panicking || (!e.ejected(now) && e.ramp == 0):
			slots += e.Slots
		case !e.ejected(now):
			slots += min(e.Slots, e.ramp*p.entries)
		}
	}
	return slots
}

// refusalDuration is how long an endpoint counts as full after a refusal.
const refusalDuration = 20 * time.Millisecond

// collectUsable fills usable with the endpoints that may get a request. With
// ignoreRamp, returning endpoints may exceed their ramp, for when there are no
// others.
func (p *Picker) collectUsable(now time.Time, exclude []netip.AddrPort, ignoreRamp bool) {
	p.usable = p.usable[:0]
	panicking := p.panicking()
	for _, e := range p.endpoints {
		if !e.listed() || e.inFlight >= max(1, e.Connections/p.entries) {
			continue
		}
		if slices.Contains(exclude, e.Address) {
			continue
		}
		if panicking || (!e.ejected(now) && (ignoreRamp || e.ramp == 0 || e.inFlight < e.ramp)) {
			p.usable = append(p.usable, e)
		}
	}
}

// leastLoaded returns the least loaded of the usable endpoints, or of a random
// selection of them. Ties are broken at random.
func (p *Picker) leastLoaded(now time.Time, random Random, panicking bool) *endpoint {
	n := len(p.usable)
	compared := n
	if p.cfg.Choices > 0 {
		compared = min(n, p.cfg.Choices)
	}
	var leastLoaded *endpoint
	var lowest float64
	for i := range compared {
		j := i + random.IntN(n-i)
		p.usable[i], p.usable[j] = p.usable[j], p.usable[i]
		score := p.usable[i].relativeLoad()
		if !panicking {
			score = p.score(now, p.usable[i])
		}
		if leastLoaded == nil || score < lowest {
			leastLoaded, lowest = p.usable[i], score
		}
	}
	return leastLoaded
}

// score returns the load that an endpoint would have, as a multiple of its slots,
// with penalties for distance, slowness and failures. It is not used while most
// endpoints fail, because small differences between failing endpoints would
// direct all work to one of them.
func (p *Picker) score(now time.Time, e *endpoint) float64 {
	load := float64(e.inFlight+1) + p.cfg.PeerWeight*float64(e.peersInFlight)
	if e.DataCentre != p.cfg.DataCentre {
		load += p.cfg.RemotePenalty
	}
	slots := float64(max(1, e.Slots))
	score := load / slots * e.slowness(now, p.median) * (1 + failurePenalty*e.failureRatio)
	if e.inFlight >= e.Slots || e.refusedUntil.After(now) {
		score += fullPenalty
	}
	return score
}

const (
	failurePenalty = 10
	fullPenalty    = 100
)

// panicking reports whether so many endpoints fail that the cause is likely the
// service rather than the endpoints. Ejections are then ignored.
func (p *Picker) panicking() bool {
	failing, listed := 0, 0
	for _, e := range p.endpoints {
		if !e.listed() {
			continue
		}
		listed++
		if e.failing {
			failing++
		}
	}
	return failing > int(p.cfg.MaxEjected*float64(listed))
}

// eject ejects the endpoint unless too many would be ejected. When most endpoints
// fail, it ends all ejections, so that every endpoint is in use once the service
// recovers.
func (p *Picker) eject(now time.Time, e *endpoint) {
	if p.panicking() {
		for _, other := range p.endpoints {
			other.ejectedUntil = time.Time{}
		}
		return
	}
	ejected, listed := 0, 0
	for _, other := range p.endpoints {
		if !other.listed() {
			continue
		}
		listed++
		if other.ejected(now) && other != e {
			ejected++
		}
	}
	if ejected+1 > int(p.cfg.MaxEjected*float64(listed)) {
		return
	}
	e.eject(now, p.cfg.BaseEjection, p.cfg.MaxEjection)
}

func (p *Picker) updateMedian() {
	p.samples = p.samples[:0]
	for _, e := range p.endpoints {
		if e.runTime > 0 {
			p.samples = append(p.samples, e.runTime)
		}
	}
	slices.Sort(p.samples)
	p.median = p.samples[(len(p.samples)-1)/2]
}

// removeUnused removes endpoints that are neither listed nor in use.
func (p *Picker) removeUnused() {
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *endpoint) bool {
		unused := e.gone && e.inFlight == 0
		if unused {
			delete(p.byAddress, e.Address)
		}
		return unused
	})
}

func (p *Picker) expirePeers(now time.Time) {
	for name, from := range p.peers {
		if now.Sub(from.heardAt) > p.cfg.PeerTimeout {
			p.applyLoad(from, nil)
			delete(p.peers, name)
		}
	}
}

// applyLoad replaces a peer's load and updates each endpoint's sum over all peers.
func (p *Picker) applyLoad(from *peer, load []EndpointLoad) {
	from.load = append(from.load[:0], load...)
	for _, e := range p.endpoints {
		e.peersInFlight = 0
	}
	for _, other := range p.peers {
		for _, l := range other.load {
			if e, ok := p.byAddress[l.Address]; ok {
				e.peersInFlight += max(0, l.InFlight)
			}
		}
	}
}

// peer holds the last load received from another entry.
type peer struct {
	heardAt time.Time
	load    []EndpointLoad
}
