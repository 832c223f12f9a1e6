package claim_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// requestClaim requests a claim for the ID from its primary with a new token and
// returns the answer.
func requestClaim(sim *simulation, id claim.ID, change func(*claim.Request)) claim.Answer {
	primary, _ := sim.processes[0].roster.Pair(claim.BucketKey(id.Bucket()))
	sim.sequence++
	request := claim.Request{
		ID:       id,
		Digest:   "d",
		Token:    claim.Token{Claimant: sim.processes[3].self, Primary: primary.Identity, Sequence: sim.sequence},
		Version:  sim.processes[0].roster.Version,
		RunLimit: time.Minute,
	}
	if change != nil {
		change(&request)
	}
	p := sim.find(primary.Identity)
	sim.execute(p, p.replica.Request(sim.now, request))
	for range 20 {
		for _, m := range sim.messages {
			if answer, ok := m.body.(claim.Answer); ok && answer.Token == request.Token {
				sim.messages = nil
				return answer
			}
		}
		calls := sim.calls
		sim.calls = nil
		for _, c := range calls {
			sim.callStep(c, false)
		}
		for i := len(sim.messages) - 1; i >= 0; i-- {
			if _, ok := sim.messages[i].body.(claim.Answer); !ok {
				sim.deliver(i)
			}
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.execute(p, p.replica.Tick(sim.now))
	}
	return claim.Answer{}
}

func TestOutcomes(t *testing.T) {
	id := claim.ID{Team: "t", Service: "s", Key: "order-1"}
	tests := map[string]struct {
		prepare func(sim *simulation)
		change  func(*claim.Request)
		want    claim.Outcome
		reason  claim.Reason
	}{
		"first":                {want: claim.OutcomeGranted},
		"first, table is down": {prepare: func(sim *simulation) { sim.setDown(true) }, want: claim.OutcomeGranted},
		"secondary is gone, table is down": {prepare: func(sim *simulation) {
			_, secondary := sim.processes[0].roster.Pair(claim.BucketKey(id.Bucket()))
			sim.find(secondary.Identity).alive = false
			sim.setDown(true)
		}, want: claim.OutcomeNotRun, reason: claim.ReasonSecondaryMissing},
		"repeat":                          {prepare: func(sim *simulation) { requestClaim(sim, id, nil) }, want: claim.OutcomeRunning},
		"repeat after the run limit":      {prepare: func(sim *simulation) { requestClaim(sim, id, nil); sim.now = sim.now.Add(2 * time.Minute) }, want: claim.OutcomeUnknown},
		"repeat with other content":       {prepare: func(sim *simulation) { requestClaim(sim, id, nil) }, change: func(r *claim.Request) { r.Digest = "e" }, want: claim.OutcomeConflict},
		"repeat after the retention":      {prepare: func(sim *simulation) { requestClaim(sim, id, nil); sim.now = sim.now.Add(25 * time.Hour) }, want: claim.OutcomeGranted},
		"token meant for another primary": {change: func(r *claim.Request) { r.Token.Primary.Incarnation++ }, want: claim.OutcomeMoved},
		"newer roster":                    {change: func(r *claim.Request) { r.Version++ }, want: claim.OutcomeMoved},
		"after a release": {prepare: func(sim *simulation) {
			answer := requestClaim(sim, id, nil)
			p := sim.find(answer.Token.Primary)
			sim.execute(p, p.replica.Release(sim.now, id, answer.Token))
		}, want: claim.OutcomeGranted},
		"after the run": {prepare: func(sim *simulation) {
			answer := requestClaim(sim, id, nil)
			p := sim.find(answer.Token.Primary)
			_, effects := p.replica.Finish(sim.now, answer.Record, claim.StateRan, &claim.Result{Status: 201})
			sim.execute(p, effects)
		}, want: claim.OutcomeRan},
		"after the loss of both replicas": {prepare: func(sim *simulation) { sim.loseReplicas(id) }, want: claim.OutcomeUnknown, reason: claim.ReasonReplicasLost},
		"after the loss and the retention": {prepare: func(sim *simulation) {
			sim.loseReplicas(id)
			sim.now = sim.now.Add(25 * time.Hour)
		}, want: claim.OutcomeGranted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(seededChooser(1), mutations{})
			sim.join(sim.processes[3])
			sim.stabilize()
			if tc.prepare != nil {
				tc.prepare(sim)
			}
			got := requestClaim(sim, id, tc.change)
			if got.Outcome != tc.want || got.Reason != tc.reason {
				t.Errorf("got %q (%q), want %q (%q)", got.Outcome, got.Reason, tc.want, tc.reason)
			}
			waits := got.Outcome == claim.OutcomeNotRun || got.Outcome == claim.OutcomeUnknown
			if waits && !got.RetryAt.After(sim.now.Add(-time.Second)) {
				t.Errorf("retry at: got %v, want a time in the future", got.RetryAt)
			}
		})
	}
}

// loseReplicas ends both replicas of the ID before they have written their claims to
// the table.
func (sim *simulation) loseReplicas(id claim.ID) {
	primary, secondary := sim.processes[0].roster.Pair(claim.BucketKey(id.Bucket()))
	for _, m := range []roster.Member{primary, secondary} {
		sim.find(m.Identity).alive = false
		sim.changeRoster(func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, m.Identity, roster.EvidenceHostGone, sim.now)
		})
	}
	sim.processes = append(sim.processes[:0:0], sim.processes...)
	for i, p := range sim.processes {
		if p.alive {
			sim.processes[0], sim.processes[i] = p, sim.processes[0]
		}
	}
	sim.stabilize()
}

// TestFreshKeyAfterLoss checks that after the loss of both replicas only a key with
// a timestamp after the loss, and not in the future, is granted.
func TestFreshKeyAfterLoss(t *testing.T) {
	sim := newSimulation(seededChooser(1), mutations{})
	sim.join(sim.processes[3])
	sim.stabilize()
	before, after := sim.now, sim.now.Add(time.Minute)
	lost := claim.ID{Team: "t", Service: "s", Key: "order-1"}
	primary, secondary := sim.processes[0].roster.Pair(claim.BucketKey(lost.Bucket()))
	samePair := func(at time.Time) claim.ID {
		for n := 0; ; n++ {
			id := claim.ID{Team: "t", Service: "s", Key: uuid(at, n)}
			p, s := sim.processes[0].roster.Pair(claim.BucketKey(id.Bucket()))
			if p == primary && s == secondary {
				return id
			}
		}
	}
	old, fresh, future := samePair(before), samePair(after), samePair(after.Add(time.Hour))
	sim.loseReplicas(lost)
	sim.now = after
	for name, tc := range map[string]struct {
		id   claim.ID
		want claim.Outcome
	}{
		"before the loss": {old, claim.OutcomeUnknown},
		"after the loss":  {fresh, claim.OutcomeGranted},
		"in the future":   {future, claim.OutcomeUnknown},
	} {
		if got := requestClaim(sim, tc.id, nil).Outcome; got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// TestBoundAndSnapshot checks that the number of claims in memory is bounded and
// that the dump discloses no key.
func TestBoundAndSnapshot(t *testing.T) {
	sim := newSimulation(seededChooser(1), mutations{})
	sim.stabilize()
	p := sim.processes[0]
	p.replica = claim.New(claim.Config{Self: p.self, MaxEntries: 8})
	sim.applyRoster(p, p.roster, p.rosterRowVersion)
	sim.setDown(true)
	for range 200 {
		sim.submit(p, sim.anyID())
		sim.deliverAll()
	}
	snapshot := p.replica.Snapshot()
	if snapshot.Claims > 8 {
		t.Errorf("claims: got %d, want at most 8", snapshot.Claims)
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil || strings.Contains(string(encoded), "order-") {
		t.Errorf("dump: got %s, %v, want no key", encoded, err)
	}
}

// TestGroupCommit checks the throughput of group commit in virtual time, with a
// table that processes one transaction at a time.
func TestGroupCommit(t *testing.T) {
	const latency = 10 * time.Millisecond
	for _, offered := range []int{100, 400, 1600, 6400} {
		claims, transactions := groupCommit(offered, latency)
		t.Logf("offered %d/s at %v a transaction: %d claims in %d transactions in one second, %.1f each",
			offered, latency, claims, transactions, float64(claims)/float64(transactions))
		if got, limit := transactions, int(time.Second/latency); got > limit {
			t.Errorf("transactions: got %d, want at most %d", got, limit)
		}
		if got, want := claims, offered*9/10; got < want {
			t.Errorf("claims: got %d, want at least %d", got, want)
		}
	}
}

func groupCommit(offered int, latency time.Duration) (claims, transactions int) {
	sim := newSimulation(seededChooser(1), mutations{})
	p := sim.processes[0]
	p.replica = claim.New(claim.Config{Self: p.self, TableTimeout: time.Hour, MaxScans: claim.Buckets})
	p.rosterRowVersion = 0
	sim.stabilize()
	var sent int
	for range int(time.Second / latency) {
		calls := sim.calls
		sim.calls = nil
		for _, c := range calls {
			if _, ok := c.effect.(claim.Commit); ok {
				transactions++
			}
			sim.callStep(c, false)
		}
		for range offered * int(latency) / int(time.Second) {
			sent++
			id := claim.ID{Team: "t", Service: "s", Key: ownedKey(sim, p, &sent)}
			sim.execute(p, p.replica.Request(sim.now, claim.Request{ID: id, Digest: "d", Version: p.roster.Version, Token: claim.Token{Claimant: p.self, Primary: p.self, Sequence: uint64(sent)}}))
		}
		sim.now = sim.now.Add(latency)
	}
	return sim.counts["answer-granted"], transactions
}

// ownedKey returns the next key whose primary is the process.
func ownedKey(sim *simulation, p *process, n *int) string {
	for {
		*n++
		key := uuid(sim.now, *n)
		primary, _ := p.roster.Pair(claim.BucketKey(claim.ID{Team: "t", Service: "s", Key: key}.Bucket()))
		if primary.Identity == p.self {
			return key
		}
	}
}
