package claim_test

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// anyProcess returns a random running process, or nil if there is none.
func (sim *simulation) anyProcess() *process {
	var up []*process
	for _, p := range sim.processes {
		if p.alive && !p.paused {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[sim.pick(len(up))]
}

// anyID returns an ID in use or a new one. About half of the new ones are UUIDv7
// keys. A higher idReuse repeats the newest ID more often.
func (sim *simulation) anyID() claim.ID {
	if n := len(sim.ids); n > 0 && sim.pick(3*sim.idReuse) > 0 {
		return sim.ids[max(0, n-1-sim.pick(4/sim.idReuse))]
	}
	n := len(sim.ids)
	key := fmt.Sprintf("order-%d", n)
	if sim.pick(2) == 0 {
		key = uuid(sim.now, n)
	}
	sim.ids = append(sim.ids, claim.ID{Team: "t", Service: "s", Key: key})
	return sim.ids[n]
}

// uuid returns a UUIDv7 with the timestamp.
func uuid(at time.Time, n int) string {
	stamp := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012d", stamp[:8], stamp[8:], n)
}

// anyReplica returns the primary or the secondary of the newest ID, according to
// the roster of a random process.
func (sim *simulation) anyReplica() *process {
	p := sim.anyProcess()
	if p == nil || len(sim.ids) == 0 {
		return nil
	}
	primary, secondary := p.roster.Pair(claim.BucketKey(sim.ids[len(sim.ids)-1].Bucket()))
	if sim.pick(2) == 0 {
		return sim.find(primary.Identity)
	}
	return sim.find(secondary.Identity)
}

// withAttempt runs f on a random attempt in the state, if there is one.
func (sim *simulation) withAttempt(state string, f func(*process, claim.Token, *attempt)) {
	p := sim.anyProcess()
	if p == nil {
		return
	}
	var tokens []claim.Token
	for _, token := range p.tokens {
		if a := p.attempts[token]; a != nil && a.state == state {
			tokens = append(tokens, token)
		}
	}
	if len(tokens) > 0 {
		token := tokens[sim.pick(len(tokens))]
		f(p, token, p.attempts[token])
	}
}

func (sim *simulation) isLeaving(p *process) bool {
	m, ok := p.roster.Find(p.self.Name)
	return ok && m.State == roster.StateLeaving
}

func (sim *simulation) setDown(down bool) {
	sim.down = down
	sim.store.SetFaults(table.Faults{Down: down})
}
