package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

// schedulers runs one share.Scheduler for each entry. With gossip it is the
// product's policy; without, each entry divides an even part of the slots.
type schedulers struct {
	bench   *shareBench
	entries []*share.Scheduler
}

func newFleetSharing(interval time.Duration) func(*shareBench) sharePolicy {
	return func(b *shareBench) sharePolicy {
		p := newSchedulers(b, func(int) int { return b.deployment.slots() })
		for from := range p.entries {
			phase := time.Duration(b.delays.Int64N(int64(interval)))
			b.every(phase, interval, func() { p.gossip(from) })
		}
		return p
	}
}

func newLocalSharing(b *shareBench) sharePolicy {
	return newSchedulers(b, func(entry int) int {
		return evenPart(b.deployment.slots(), b.deployment.Entries, entry)
	})
}

func newSchedulers(b *shareBench, capacity func(entry int) int) *schedulers {
	p := &schedulers{bench: b}
	for i := range b.deployment.Entries {
		p.entries = append(p.entries, share.New(share.Config{
			Entry:            b.deployment.entry(i),
			Weights:          b.deployment.weights(),
			Capacity:         capacity(i),
			ExpectedDuration: b.deployment.RunTime,
		}))
	}
	return p
}

func (p *schedulers) gossip(from int) {
	demand := p.entries[from].Demand()
	for to := range p.entries {
		if to == from || p.bench.delays.Float64() < gossipLoss {
			continue
		}
		p.bench.after(p.bench.deployment.delay(from, to), func() {
			p.bench.apply(p.entries[to].SetPeer(p.bench.now, demand))
		})
	}
}

func (p *schedulers) submit(r *request) {
	submitTo(p.bench, p.entries[r.entry], r)
}

func (p *schedulers) finish(r *request) {
	p.bench.apply(p.entries[r.entry].Finish(p.bench.now, r.id))
}

func (p *schedulers) tick() {
	for _, s := range p.entries {
		p.bench.apply(s.Tick(p.bench.now))
	}
}

func submitTo(b *shareBench, s *share.Scheduler, r *request) {
	out := s.Submit(b.now, r.ticket)
	switch out.Decision {
	case share.Start:
		b.start(r)
	case share.Refused:
		b.refuse(r, out.RetryAfter)
	case share.Queued:
	}
}

// static gives each team at each entry a fixed part of the slots.
type static struct {
	bench *shareBench
	parts []map[string]*share.Scheduler // by entry and team
}

func newStatic(b *shareBench) sharePolicy {
	p := &static{bench: b, parts: make([]map[string]*share.Scheduler, b.deployment.Entries)}
	for entry := range p.parts {
		p.parts[entry] = map[string]*share.Scheduler{}
	}
	next, before := 0, 0.0
	for team := range b.deployment.Weights {
		after := before + b.deployment.share(team)
		slots := int(math.Round(after) - math.Round(before))
		before = after
		for k := range b.deployment.Entries {
			// The remainders go round the entries.
			entry := (next + k) % b.deployment.Entries
			p.parts[entry][b.deployment.team(team)] = share.New(share.Config{
				Entry:            fmt.Sprintf("%d/%d", entry, team),
				Capacity:         evenPart(slots, b.deployment.Entries, k),
				ExpectedDuration: b.deployment.RunTime,
			})
		}
		next += slots % b.deployment.Entries
	}
	return p
}

func (p *static) submit(r *request) {
	submitTo(p.bench, p.parts[r.entry][r.ticket.Team], r)
}

func (p *static) finish(r *request) {
	p.bench.apply(p.parts[r.entry][r.ticket.Team].Finish(p.bench.now, r.id))
}

func (p *static) tick() {
	for _, teams := range p.parts {
		for team := range p.bench.deployment.Weights {
			p.bench.apply(teams[p.bench.deployment.team(team)].Tick(p.bench.now))
		}
	}
}

// firstCome sends the oldest waiting request of the fleet to each free slot:
// the ideal of first come first served, with a single queue that knows all.
type firstCome struct {
	bench *shareBench
	queue []*request
}

func newFirstCome(b *shareBench) sharePolicy {
	return &firstCome{bench: b}
}

func (p *firstCome) submit(r *request) {
	p.queue = append(p.queue, r)
	p.tick()
}

func (p *firstCome) finish(*request) {
	p.tick()
}

func (p *firstCome) tick() {
	for len(p.queue) > 0 {
		r := p.queue[0]
		late := !r.ticket.Deadline.After(p.bench.now)
		if !late && p.bench.busy >= p.bench.deployment.slots() {
			return
		}
		p.queue = p.queue[1:]
		if late {
			p.bench.refuse(r, 0)
		} else {
			p.bench.start(r)
		}
	}
}

// evenPart is part i of n of a whole number.
func evenPart(whole, n, i int) int {
	part := whole / n
	if i < whole%n {
		part++
	}
	return part
}
