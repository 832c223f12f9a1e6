package claim_test

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
)

// attempt is the claimant's state of one token.
type attempt struct {
	id     claim.ID
	digest string
	state  string
	record claim.Record
}

// receiveAnswer handles an answer at the claimant.
func (sim *simulation) receiveAnswer(p *process, answer claim.Answer) {
	a := p.attempts[answer.Token]
	if a == nil {
		return
	}
	granted := answer.Outcome == claim.OutcomeGranted
	if sim.mutations.dispatchEveryGrant && granted && a.state != "pending" {
		sim.dispatch(a.id)
	}
	if a.state == "abandoned" && granted {
		sim.sendToPrimary(p, a.id, release{id: a.id, token: answer.Token})
	}
	if a.state != "pending" || answer.Outcome == claim.OutcomeMoved {
		return
	}
	a.record = answer.Record
	switch {
	case granted && sim.pick(8) == 0:
		sim.counts["declined"]++
		a.state = "abandoned"
		sim.checkNotRun(a.id)
		sim.sendToPrimary(p, a.id, release{id: a.id, token: answer.Token})
	case granted:
		a.state = "dispatched"
		sim.dispatch(a.id)
	default:
		delete(p.attempts, answer.Token)
	}
}

func (sim *simulation) sendToPrimary(p *process, id claim.ID, body any) {
	primary, _ := p.roster.Pair(claim.BucketKey(id.Bucket()))
	sim.send(p.self, primary.Identity, body)
}

// submit starts an attempt of the ID at the process.
func (sim *simulation) submit(p *process, id claim.ID) {
	sim.sequence++
	primary, _ := p.roster.Pair(claim.BucketKey(id.Bucket()))
	token := claim.Token{Claimant: p.self, Primary: primary.Identity, Sequence: sim.sequence}
	a := &attempt{id: id, digest: "d", state: "pending"}
	if sim.pick(16) == 0 {
		a.digest = "other"
	}
	p.attempts[token] = a
	p.tokens = append(p.tokens, token)
	if sim.mutations.dispatchBeforeClaim || sim.mutations.localMemory && !sim.hasAttempt(p, id, token) {
		a.state = "dispatched"
		sim.dispatch(id)
	}
	sim.request(p, token)
}

func (sim *simulation) hasAttempt(p *process, id claim.ID, except claim.Token) bool {
	for token, a := range p.attempts {
		if a.id == id && token != except {
			return true
		}
	}
	return false
}

func (sim *simulation) request(p *process, token claim.Token) {
	a := p.attempts[token]
	primary, _ := p.roster.Pair(claim.BucketKey(a.id.Bucket()))
	if primary.Identity != token.Primary {
		a.state = "abandoned"
		sim.sendToPrimary(p, a.id, release{id: a.id, token: token})
		sim.submit(p, a.id)
		return
	}
	sim.sendToPrimary(p, a.id, claim.Request{ID: a.id, Digest: a.digest, Token: token, Version: p.roster.Version, RunLimit: time.Minute})
}
