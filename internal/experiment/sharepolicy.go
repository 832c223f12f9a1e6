package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

// schedulerPolicy runs one share.Scheduler for each entry. With gossip it is the
// policy under test; without, each entry schedules an even share of the slots.
type schedulerPolicy struct {
	bench   *shareBench
	entries []*share.Scheduler
}

func newFleetSharing(interval time.Duration) func(*shareBench) sharePolicy {
	return func(b *shareBench) sharePolicy {
		p := newSchedulerPolicy(b, func(int) int { return b.deployment.slots() })
		for from := range p.entries {
			phase := time.Duration(b.gossipRandom.Int64N(int64(interval)))
			b.every(phase, interval, func() { p.gossip(from) })
		}
		return p
	}
}

func newLocalSharing(b *shareBench) sharePolicy {
	return newSchedulerPolicy(b, func(entry int) int {
		return evenShare(b.deployment.slots(), b.deployment.Entries, entry)
	})
}

func newSchedulerPolicy(b *shareBench, capacity func(entry int) int) *schedulerPolicy {
	p := &schedulerPolicy{bench: b}
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

func (p *schedulerPolicy) gossip(from int) {
	demand := p.entries[from].Demand()
	for to := range p.entries {
		if to == from || p.bench.gossipRandom.Float64() < gossipLoss {
			continue
		}
		p.bench.after(p.bench.deployment.delay(from, to), func() {
			p.bench.apply(p.entries[to].SetPeer(p.bench.now, demand))
		})
	}
}

func (p *schedulerPolicy) submit(r *shareRequest) {
	submitTo(p.bench, p.entries[r.entry], r)
}

func (p *schedulerPolicy) finish(r *shareRequest) {
	p.bench.apply(p.entries[r.entry].Finish(p.bench.now, r.id))
}

func (p *schedulerPolicy) tick() {
	for _, s := range p.entries {
		p.bench.apply(s.Tick(p.bench.now))
	}
}

func submitTo(b *shareBench, s *share.Scheduler, r *shareRequest) {
	out := s.Submit(b.now, r.ticket)
	switch out.Decision {
	case share.Start:
		b.start(r)
	case share.Refused:
		b.refuse(r, out.RetryAfter)
	case share.Queued:
	}
}

// staticPolicy gives each team a fixed number of slots at each entry.
type staticPolicy struct {
	bench      *shareBench
	schedulers []map[string]*share.Scheduler // by entry and team
}

func newStaticPolicy(b *shareBench) sharePolicy {
	p := &staticPolicy{bench: b, schedulers: make([]map[string]*share.Scheduler, b.deployment.Entries)}
	for entry := range p.schedulers {
		p.schedulers[entry] = map[string]*share.Scheduler{}
	}
	next, before := 0, 0.0
	for team := range b.deployment.Weights {
		after := before + b.deployment.share(team)
		slots := int(math.Round(after) - math.Round(before))
		before = after
		for k := range b.deployment.Entries {
			// Remainders are given to the entries in turn.
			entry := (next + k) % b.deployment.Entries
			p.schedulers[entry][b.deployment.team(team)] = share.New(share.Config{
				Entry:            fmt.Sprintf("%d/%d", entry, team),
				Capacity:         evenShare(slots, b.deployment.Entries, k),
				ExpectedDuration: b.deployment.RunTime,
			})
		}
		next += slots % b.deployment.Entries
	}
	return p
}

func (p *staticPolicy) submit(r *shareRequest) {
	submitTo(p.bench, p.schedulers[r.entry][r.ticket.Team], r)
}

func (p *staticPolicy) finish(r *shareRequest) {
	p.bench.apply(p.schedulers[r.entry][r.ticket.Team].Finish(p.bench.now, r.id))
}

func (p *staticPolicy) tick() {
	for _, teams := range p.schedulers {
		for team := range p.bench.deployment.Weights {
			p.bench.apply(teams[p.bench.deployment.team(team)].Tick(p.bench.now))
		}
	}
}

// fifoPolicy is ideal first come, first served scheduling: one queue for the whole
// fleet, whose oldest request gets each free slot.
type fifoPolicy struct {
	bench *shareBench
	queue []*shareRequest
}

func newFIFOPolicy(b *shareBench) sharePolicy {
	return &fifoPolicy{bench: b}
}

func (p *fifoPolicy) submit(r *shareRequest) {
	p.queue = append(p.queue, r)
	p.tick()
}

func (p *fifoPolicy) finish(*shareRequest) {
	p.tick()
}

func (p *fifoPolicy) tick() {
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

// evenShare returns share i of a total that is divided into n nearly equal integers.
func evenShare(total, n, i int) int {
	part := total / n
	if i < total%n {
		part++
	}
	return part
}
