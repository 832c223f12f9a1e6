package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Config constructs a Picker. Zero values take the defaults below.
type Config struct {
	// Entry is this entry's name.
	Entry string
	// DataCentre is this entry's data centre.
	DataCentre string
	// Choices is how many endpoints, drawn at random, are compared; 0 is all.
	Choices int
	// RemotePenalty is the load, in slots, that a remote data centre adds;
	// negative is none.
	RemotePenalty float64
	// PeerWeight is how much a peer's request counts beside one of this entry.
	// Peers' counts are old by a gossip interval and the same at each entry, so
	// that at full weight all entries choose the same endpoint.
	PeerWeight float64
	// MaxEjected is the largest fraction of endpoints ejected at a time.
	MaxEjected float64
	// EjectAfter is the consecutive failures that eject an endpoint.
	EjectAfter int
	// BaseEjection is the first ejection's length; it doubles up to MaxEjection.
	BaseEjection time.Duration
	// MaxEjection caps the length of an ejection.
	MaxEjection time.Duration
	// PeerTimeout is the silence after which a peer's load is dropped.
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
// concurrent use: callers lock per service.
type Picker struct {
	cfg       Config
	entries   int
	endpoints []*endpoint // in address order; gone ones stay until unused
	byAddress map[netip.AddrPort]*endpoint
	peers     map[string]*peer
	median    float64 // run time in seconds over endpoints
	samples   []float64
	usable    []*endpoint
}

// New returns a picker without endpoints.
func New(cfg Config) *Picker {
	cfg.setDefaults()
	return &Picker{cfg: cfg, entries: 1, byAddress: map[netip.AddrPort]*endpoint{}, peers: map[string]*peer{}}
}

// SetEndpoints replaces the list. An endpoint that joins a list in use, or
// that stops leaving, takes load slowly at first. Requests in flight at one
// that is no longer listed end undisturbed.
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
			e.ramp = firstRamp
		}
		e.Endpoint, e.gone = spec, false
	}
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int { return a.Address.Compare(b.Address) })
	p.purge()
	for _, peer := range p.peers {
		p.applyLoad(peer, peer.load)
	}
}

// SetEntries sets the number of entries that share each endpoint's connections.
func (p *Picker) SetEntries(n int) {
	p.entries = max(1, n)
}

// SetPeerLoad takes a peer's gossiped load.
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
	from.heard = now
}

// Load appends this entry's requests in flight by endpoint, for gossip.
func (p *Picker) Load(to []EndpointLoad) []EndpointLoad {
	for _, e := range p.endpoints {
		if e.inFlight > 0 {
			to = append(to, EndpointLoad{Address: e.Address, InFlight: e.inFlight})
		}
	}
	return to
}

// Pick chooses an endpoint that is not excluded and counts a request in flight
// there until Done. It reports false when no endpoint may be used.
func (p *Picker) Pick(now time.Time, random Random, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	p.expirePeers(now)
	p.collect(now, exclude, false)
	if len(p.usable) == 0 {
		p.collect(now, exclude, true)
	}
	if len(p.usable) == 0 {
		return netip.AddrPort{}, false
	}
	best := p.best(now, random, p.panicking())
	best.inFlight++
	return best.Address, true
}

// Done ends a request that Pick counted.
func (p *Picker) Done(now time.Time, address netip.AddrPort, result Result, took time.Duration) {
	e, ok := p.byAddress[address]
	if !ok || e.inFlight == 0 {
		panic("route: request done at an endpoint that has none in flight")
	}
	e.inFlight--
	switch result {
	case Succeeded:
		e.succeed(now, took)
		p.updateMedian()
	case Failed:
		if e.fail(p.cfg.EjectAfter) {
			p.eject(now, e)
		}
	case Refused:
		e.refusedUntil = now.Add(refusalMemory)
	case Canceled:
	}
	if e.gone {
		p.purge()
	}
}

// Capacity is the slots of the endpoints in use, for the division of shares. A
// returning endpoint counts with what the entries' ramps allow.
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

// refusalMemory is how long an endpoint that refused counts as full.
const refusalMemory = 20 * time.Millisecond

// collect fills usable; without others, also returning endpoints take more
// than their ramp allows.
func (p *Picker) collect(now time.Time, exclude []netip.AddrPort, ignoreRamp bool) {
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

// best returns the least loaded of the usable endpoints, or of a random
// selection of them; equals are drawn from at random.
func (p *Picker) best(now time.Time, random Random, panicking bool) *endpoint {
	n := len(p.usable)
	compared := n
	if p.cfg.Choices > 0 {
		compared = min(n, p.cfg.Choices)
	}
	var best *endpoint
	var least float64
	for i := range compared {
		j := i + random.IntN(n-i)
		p.usable[i], p.usable[j] = p.usable[j], p.usable[i]
		score := p.usable[i].relativeLoad()
		if !panicking {
			score = p.score(now, p.usable[i])
		}
		if best == nil || score < least {
			best, least = p.usable[i], score
		}
	}
	return best
}

// score is the load an endpoint would have, as a multiple of its slots, made
// worse by distance, slowness and failures. When most fail, only load counts:
// small differences between failing endpoints would draw all work to one.
func (p *Picker) score(now time.Time, e *endpoint) float64 {
	load := float64(e.inFlight+1) + p.cfg.PeerWeight*float64(e.peers)
	if e.DataCentre != p.cfg.DataCentre {
		load += p.cfg.RemotePenalty
	}
	slots := float64(max(1, e.Slots))
	score := load / slots * e.slowness(now, p.median) * (1 + failurePenalty*e.failures)
	if e.inFlight >= e.Slots || e.refusedUntil.After(now) {
		score += fullPenalty
	}
	return score
}

const (
	failurePenalty = 10
	fullPenalty    = 100
)

// panicking reports that so many endpoints fail that the service, not they,
// must be at fault; ejections are then ignored.
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

// eject takes the endpoint out unless too many would be out. When most fail,
// all come back, so that they are in use once the service recovers.
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

// purge forgets endpoints that are neither listed nor in use.
func (p *Picker) purge() {
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
		if now.Sub(from.heard) > p.cfg.PeerTimeout {
			p.applyLoad(from, nil)
			delete(p.peers, name)
		}
	}
}

// applyLoad replaces a peer's load and keeps each endpoint's sum over peers.
func (p *Picker) applyLoad(from *peer, load []EndpointLoad) {
	from.load = append(from.load[:0], load...)
	for _, e := range p.endpoints {
		e.peers = 0
	}
	for _, other := range p.peers {
		for _, l := range other.load {
			if e, ok := p.byAddress[l.Address]; ok {
				e.peers += max(0, l.InFlight)
			}
		}
	}
}

// peer is the last message of another entry.
type peer struct {
	heard time.Time
	load  []EndpointLoad
}
