package claim_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// ask submits the id at its home under an own token and returns what was told.
func ask(w *world, id claim.ID, change func(*claim.Request)) claim.Answer {
	home, _ := w.procs[0].view.Pair(claim.BucketKey(id.Bucket()))
	w.sequence++
	request := claim.Request{
		ID:       id,
		Digest:   "d",
		Token:    claim.Token{Claimant: w.procs[3].self, Primary: home.Identity, Sequence: w.sequence},
		Version:  w.procs[0].view.Version,
		RunLimit: time.Minute,
	}
	if change != nil {
		change(&request)
	}
	p := w.find(home.Identity)
	w.carry(p, p.holder.Request(w.now, request))
	for range 20 {
		for _, m := range w.messages {
			if answer, ok := m.body.(claim.Answer); ok && answer.Token == request.Token {
				w.messages = nil
				return answer
			}
		}
		calls := w.calls
		w.calls = nil
		for _, c := range calls {
			w.callStep(c, false)
		}
		for i := len(w.messages) - 1; i >= 0; i-- {
			if _, ok := w.messages[i].body.(claim.Answer); !ok {
				w.deliver(i)
			}
		}
		w.now = w.now.Add(100 * time.Millisecond)
		w.carry(p, p.holder.Tick(w.now))
	}
	return claim.Answer{}
}

func TestOutcomes(t *testing.T) {
	id := claim.ID{Team: "t", Service: "s", Key: "order-1"}
	tests := map[string]struct {
		prepare func(w *world)
		change  func(*claim.Request)
		want    claim.Outcome
		reason  claim.Reason
	}{
		"first":                {want: claim.OutcomeGranted},
		"first, table is down": {prepare: func(w *world) { w.setDown(true) }, want: claim.OutcomeGranted},
		"second is gone, table is down": {prepare: func(w *world) {
			_, second := w.procs[0].view.Pair(claim.BucketKey(id.Bucket()))
			w.find(second.Identity).alive = false
			w.setDown(true)
		}, want: claim.OutcomeNotRun, reason: claim.ReasonSecondaryMissing},
		"repeat":                       {prepare: func(w *world) { ask(w, id, nil) }, want: claim.OutcomeRunning},
		"repeat after the run limit":   {prepare: func(w *world) { ask(w, id, nil); w.now = w.now.Add(2 * time.Minute) }, want: claim.OutcomeUnknown},
		"repeat with other content":    {prepare: func(w *world) { ask(w, id, nil) }, change: func(r *claim.Request) { r.Digest = "e" }, want: claim.OutcomeConflict},
		"repeat after the retention":   {prepare: func(w *world) { ask(w, id, nil); w.now = w.now.Add(25 * time.Hour) }, want: claim.OutcomeGranted},
		"token meant for another home": {change: func(r *claim.Request) { r.Token.Primary.Incarnation++ }, want: claim.OutcomeMoved},
		"newer roster":                 {change: func(r *claim.Request) { r.Version++ }, want: claim.OutcomeMoved},
		"after a release": {prepare: func(w *world) {
			answer := ask(w, id, nil)
			p := w.find(answer.Token.Primary)
			w.carry(p, p.holder.Release(w.now, id, answer.Token))
		}, want: claim.OutcomeGranted},
		"after the run": {prepare: func(w *world) {
			answer := ask(w, id, nil)
			p := w.find(answer.Token.Primary)
			_, effects := p.holder.Finish(w.now, answer.Record, claim.StateRan, &claim.Result{Status: 201})
			w.carry(p, effects)
		}, want: claim.OutcomeRan},
		"after the loss of both holders": {prepare: func(w *world) { w.loseHolders(id) }, want: claim.OutcomeUnknown, reason: claim.ReasonReplicasLost},
		"after the loss and the retention": {prepare: func(w *world) {
			w.loseHolders(id)
			w.now = w.now.Add(25 * time.Hour)
		}, want: claim.OutcomeGranted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(seeded(1), rules{})
			w.join(w.procs[3])
			w.settle()
			if tc.prepare != nil {
				tc.prepare(w)
			}
			got := ask(w, id, tc.change)
			if got.Outcome != tc.want || got.Reason != tc.reason {
				t.Errorf("got %q (%q), want %q (%q)", got.Outcome, got.Reason, tc.want, tc.reason)
			}
			waits := got.Outcome == claim.OutcomeNotRun || got.Outcome == claim.OutcomeUnknown
			if waits && !got.RetryAt.After(w.now.Add(-time.Second)) {
				t.Errorf("retry at: got %v, want a time to come back", got.RetryAt)
			}
		})
	}
}

// loseHolders ends both holders of the id without a flush.
func (w *world) loseHolders(id claim.ID) {
	home, second := w.procs[0].view.Pair(claim.BucketKey(id.Bucket()))
	for _, m := range []roster.Member{home, second} {
		w.find(m.Identity).alive = false
		w.change(func(r roster.Roster) (roster.Roster, bool) {
			return roster.Remove(r, m.Identity, roster.EvidenceHostGone, w.now)
		})
	}
	w.procs = append(w.procs[:0:0], w.procs...)
	for i, p := range w.procs {
		if p.alive {
			w.procs[0], w.procs[i] = p, w.procs[0]
		}
	}
	w.settle()
}

// A key that carries a time after the loss is fresh, one before it is not.
func TestFreshKeyAfterLoss(t *testing.T) {
	w := newWorld(seeded(1), rules{})
	w.join(w.procs[3])
	w.settle()
	before, after := w.now, w.now.Add(time.Minute)
	lost := claim.ID{Team: "t", Service: "s", Key: "order-1"}
	home, second := w.procs[0].view.Pair(claim.BucketKey(lost.Bucket()))
	samePair := func(at time.Time) claim.ID {
		for n := 0; ; n++ {
			id := claim.ID{Team: "t", Service: "s", Key: uuid(at, n)}
			h, s := w.procs[0].view.Pair(claim.BucketKey(id.Bucket()))
			if h == home && s == second {
				return id
			}
		}
	}
	old, fresh, future := samePair(before), samePair(after), samePair(after.Add(time.Hour))
	w.loseHolders(lost)
	w.now = after
	for name, tc := range map[string]struct {
		id   claim.ID
		want claim.Outcome
	}{
		"before the loss": {old, claim.OutcomeUnknown},
		"after the loss":  {fresh, claim.OutcomeGranted},
		"in the future":   {future, claim.OutcomeUnknown},
	} {
		if got := ask(w, tc.id, nil).Outcome; got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// Memory stays bounded, and the dump discloses no key.
func TestBoundAndSnapshot(t *testing.T) {
	w := newWorld(seeded(1), rules{})
	w.settle()
	p := w.procs[0]
	p.holder = claim.New(claim.Config{Self: p.self, MaxEntries: 8})
	w.learn(p, p.view, p.row)
	w.setDown(true)
	for range 200 {
		w.submit(p, w.id())
		w.drain()
	}
	snapshot := p.holder.Snapshot()
	if snapshot.Claims > 8 {
		t.Errorf("claims: got %d, want at most 8", snapshot.Claims)
	}
	encoded, err := json.Marshal(snapshot)
	if err != nil || strings.Contains(string(encoded), "order-") {
		t.Errorf("dump: got %s, %v, want no key", encoded, err)
	}
}

// Group commit, in virtual time: a table that takes one transaction at a time.
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
	w := newWorld(seeded(1), rules{})
	p := w.procs[0]
	p.holder = claim.New(claim.Config{Self: p.self, TableTimeout: time.Hour, MaxScans: claim.Buckets})
	p.row = 0
	w.settle()
	var sent int
	for range int(time.Second / latency) {
		calls := w.calls
		w.calls = nil
		for _, c := range calls {
			if _, ok := c.effect.(claim.Commit); ok {
				transactions++
			}
			w.callStep(c, false)
		}
		for range offered * int(latency) / int(time.Second) {
			sent++
			id := claim.ID{Team: "t", Service: "s", Key: ownedKey(w, p, &sent)}
			w.carry(p, p.holder.Request(w.now, claim.Request{ID: id, Digest: "d", Version: p.view.Version, Token: claim.Token{Claimant: p.self, Primary: p.self, Sequence: uint64(sent)}}))
		}
		w.now = w.now.Add(latency)
	}
	return w.counts["answer-granted"], transactions
}

// ownedKey returns the next key whose home is the process.
func ownedKey(w *world, p *process, n *int) string {
	for {
		*n++
		key := uuid(w.now, *n)
		home, _ := p.view.Pair(claim.BucketKey(claim.ID{Team: "t", Service: "s", Key: key}.Bucket()))
		if home.Identity == p.self {
			return key
		}
	}
}
