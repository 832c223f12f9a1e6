package claim_test

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// any returns one of the processes that run.
func (w *world) any() *process {
	var up []*process
	for _, p := range w.procs {
		if p.alive && !p.paused {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.pick(len(up))]
}

// id returns one of the ids in use, or a new one; every second is a UUIDv7. A
// focused world keeps to one id for longer.
func (w *world) id() claim.ID {
	if n := len(w.ids); n > 0 && w.pick(3*w.focus) > 0 {
		return w.ids[max(0, n-1-w.pick(4/w.focus))]
	}
	n := len(w.ids)
	key := fmt.Sprintf("order-%d", n)
	if w.pick(2) == 0 {
		key = uuid(w.now, n)
	}
	w.ids = append(w.ids, claim.ID{Team: "t", Service: "s", Key: key})
	return w.ids[n]
}

// uuid returns a UUIDv7 of the time.
func uuid(at time.Time, n int) string {
	stamp := fmt.Sprintf("%012x", at.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012d", stamp[:8], stamp[8:], n)
}

// holder returns home or second of the newest id, as one process sees them.
func (w *world) holder() *process {
	p := w.any()
	if p == nil || len(w.ids) == 0 {
		return nil
	}
	home, second := p.view.Pair(claim.BucketKey(w.ids[len(w.ids)-1].Bucket()))
	if w.pick(2) == 0 {
		return w.find(home.Identity)
	}
	return w.find(second.Identity)
}

// attempt runs f on a claimant's attempt in the state, if there is one.
func (w *world) attempt(state string, f func(*process, claim.Token, *attempt)) {
	p := w.any()
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
		token := tokens[w.pick(len(tokens))]
		f(p, token, p.attempts[token])
	}
}

func (w *world) left(p *process) bool {
	m, ok := p.view.Find(p.self.Name)
	return ok && m.State == roster.StateLeaving
}

func (w *world) setDown(down bool) {
	w.down = down
	w.store.SetFaults(table.Faults{Down: down})
}
