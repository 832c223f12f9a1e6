package claim_test

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
)

// attempt is a claimant's side of one token.
type attempt struct {
	id     claim.ID
	digest string
	state  string
	record claim.Record
}

// receive is the claimant's side of an answer.
func (w *world) receive(p *process, answer claim.Answer) {
	a := p.attempts[answer.Token]
	if a == nil {
		return
	}
	granted := answer.Outcome == claim.OutcomeGranted
	if w.rules.regrant && granted && a.state != "pending" {
		w.dispatch(a.id)
	}
	if a.state == "abandoned" && granted {
		w.sendHome(p, a.id, release{id: a.id, token: answer.Token})
	}
	if a.state != "pending" || answer.Outcome == claim.OutcomeMoved {
		return
	}
	a.record = answer.Record
	switch {
	case granted && w.pick(8) == 0:
		w.counts["declined"]++
		a.state = "abandoned"
		w.checkNotRun(a.id)
		w.sendHome(p, a.id, release{id: a.id, token: answer.Token})
	case granted:
		a.state = "dispatched"
		w.dispatch(a.id)
	default:
		delete(p.attempts, answer.Token)
	}
}

func (w *world) sendHome(p *process, id claim.ID, body any) {
	home, _ := p.view.Pair(claim.BucketKey(id.Bucket()))
	w.send(p.self, home.Identity, body)
}

// submit starts an attempt of the id at the process.
func (w *world) submit(p *process, id claim.ID) {
	w.sequence++
	home, _ := p.view.Pair(claim.BucketKey(id.Bucket()))
	token := claim.Token{Claimant: p.self, Primary: home.Identity, Sequence: w.sequence}
	a := &attempt{id: id, digest: "d", state: "pending"}
	if w.pick(16) == 0 {
		a.digest = "other"
	}
	p.attempts[token] = a
	p.tokens = append(p.tokens, token)
	if w.rules.dispatchFirst || w.rules.localMemory && !w.attempted(p, id, token) {
		a.state = "dispatched"
		w.dispatch(id)
	}
	w.request(p, token)
}

func (w *world) attempted(p *process, id claim.ID, but claim.Token) bool {
	for token, a := range p.attempts {
		if a.id == id && token != but {
			return true
		}
	}
	return false
}

func (w *world) request(p *process, token claim.Token) {
	a := p.attempts[token]
	home, _ := p.view.Pair(claim.BucketKey(a.id.Bucket()))
	if home.Identity != token.Primary {
		a.state = "abandoned"
		w.sendHome(p, a.id, release{id: a.id, token: token})
		w.submit(p, a.id)
		return
	}
	w.sendHome(p, a.id, claim.Request{ID: a.id, Digest: a.digest, Token: token, Version: p.view.Version, RunLimit: time.Minute})
}
