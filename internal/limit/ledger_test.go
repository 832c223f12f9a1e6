package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/limit"
)

const gossipRound = 200 * time.Millisecond

// fleet is a set of ledgers with one planner and a reliable network.
type fleet struct {
	now     time.Time
	row     limit.Allocation
	view    limit.View
	planner *limit.Planner
	ledgers map[limit.Member]*limit.Ledger
	// outage stops the planner, as if the table were unavailable.
	outage bool
}

func newFleet(members, permits int) *fleet {
	f := &fleet{
		now:     time.Unix(1000, 0),
		row:     limit.Allocation{Team: team},
		view:    limit.View{Limit: permits, LongestRun: longestRun},
		planner: limit.NewPlanner(limit.PlannerConfig{ReportTimeout: time.Second}),
		ledgers: make(map[limit.Member]*limit.Ledger),
	}
	for i := range members {
		m := limit.Member(fmt.Sprintf("entry-%d/1", i))
		f.view.Live = append(f.view.Live, m)
		f.ledgers[m] = limit.New(limit.Config{Self: m})
	}
	f.round()
	return f
}

// member returns the ledger of the i-th live member.
func (f *fleet) member(i int) *limit.Ledger {
	return f.ledgers[f.view.Live[i]]
}

// crash ends the last member. The planner has evidence of it at once.
func (f *fleet) crash() {
	last := len(f.view.Live) - 1
	f.view.Ended = append(f.view.Ended, f.view.Live[last])
	delete(f.ledgers, f.view.Live[last])
	f.view.Live = f.view.Live[:last]
}

// round runs one gossip round and one step of the planner.
func (f *fleet) round() {
	f.now = f.now.Add(gossipRound)
	for _, m := range f.view.Live {
		f.ledgers[m].Tick(f.now)
		peers := make(map[limit.Member]limit.Status)
		for _, peer := range f.view.Live {
			if peer != m {
				peers[peer] = f.ledgers[peer].Status(team)
			}
		}
		f.requestPermits(m, peers)
	}
	if !f.outage {
		f.manage()
	}
}

// requestFrom makes one member request its missing permits from others.
func (f *fleet) requestFrom(from int, others ...int) {
	peers := make(map[limit.Member]limit.Status)
	for _, other := range others {
		peers[f.view.Live[other]] = f.member(other).Status(team)
	}
	f.requestPermits(f.view.Live[from], peers)
}

func (f *fleet) requestPermits(m limit.Member, peers map[limit.Member]limit.Status) {
	for _, request := range f.ledgers[m].TransferRequests(team, peers) {
		if transfer, ok := f.ledgers[request.To].HandleTransferRequest(request); ok {
			f.ledgers[m].Receive(transfer)
			f.ledgers[request.To].Confirm(transfer)
		}
	}
}

// manage runs one step of the planner and applies its decision.
func (f *fleet) manage() {
	f.view.Row = f.row
	decision := f.planner.Step(f.now, f.view)
	for _, request := range decision.Freezes {
		if ledger, ok := f.ledgers[request.To]; ok {
			if report, ok := ledger.Freeze(request); ok {
				f.planner.HandleReport(report)
			}
		}
	}
	if decision.Action == limit.Commit {
		f.row = decision.Next
	}
	for _, ledger := range f.ledgers {
		ledger.Apply(f.row)
	}
}

// start acquires up to n permits at the i-th member.
func (f *fleet) start(i, n int) int {
	for started := range n {
		if !f.member(i).Acquire(team) {
			return started
		}
	}
	return n
}

// finish ends one piece of work of the i-th member, if any runs.
func (f *fleet) finish(i int) {
	if f.member(i).Status(team).InUse > 0 {
		f.member(i).Release(team)
	}
}

func (f *fleet) holding() int {
	sum := 0
	for _, ledger := range f.ledgers {
		sum += ledger.Status(team).Holding
	}
	return sum
}

// TestOneMemberUsesLimit moves the whole load to one member while the table is
// unavailable. The member must obtain nearly all permits from its peers.
func TestOneMemberUsesLimit(t *testing.T) {
	const maxRounds, wantShare = 10, 0.95
	tests := map[string]struct {
		members, permits int
		// busy is the load that the other members had before, in permits each.
		busy int
	}{
		"7 members, 56 permits, idle before":    {members: 7, permits: 56},
		"7 members, 56 permits, busy before":    {members: 7, permits: 56, busy: 8},
		"7 members, 400 permits, idle before":   {members: 7, permits: 400},
		"7 members, 400 permits, busy before":   {members: 7, permits: 400, busy: 57},
		"32 members, 2700 permits, idle before": {members: 32, permits: 2700},
		"32 members, 2700 permits, busy before": {members: 32, permits: 2700, busy: 84},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.members, tc.permits)
			f.outage = true
			for i := 1; i < tc.members; i++ {
				f.start(i, tc.busy)
			}
			f.round()
			for i := 1; i < tc.members; i++ {
				for range f.member(i).Status(team).InUse {
					f.member(i).Release(team)
				}
			}
			rounds, running := 0, f.start(0, tc.permits)
			withoutTransfers := float64(running) / float64(tc.permits)
			for float64(running) < wantShare*float64(tc.permits) && rounds < maxRounds {
				f.round()
				running += f.start(0, tc.permits)
				rounds++
			}
			got := float64(running) / float64(tc.permits)
			t.Logf("share of the limit %.3f after %d gossip rounds, %.3f without transfers", got, rounds, withoutTransfers)
			if got < wantShare {
				t.Errorf("share of the limit: got %.3f, want %.2f", got, wantShare)
			}
		})
	}
}

// TestBusyMemberSharesWithPeer lets one member use the whole limit before a
// second one gets as much load. Both must end up with about half.
func TestBusyMemberSharesWithPeer(t *testing.T) {
	f := newFleet(2, 40)
	for range 5 {
		f.start(0, 40)
		f.round()
	}
	for range 20 {
		for range 10 {
			f.finish(0)
			f.start(0, 40)
			f.finish(1)
			f.start(1, 40)
		}
		f.round()
	}
	if got := f.member(1).Status(team).Holding; got < 18 || got > 22 {
		t.Errorf("second member holds %d of 40, want about half", got)
	}
}

// TestQuietMemberGetsPermitFromBusyPeers guards against starvation: two members
// use the whole limit and request each other's permits whenever work ends,
// while a third one requests a permit only once a round.
func TestQuietMemberGetsPermitFromBusyPeers(t *testing.T) {
	const permits, maxRounds = 12, 10
	f := newFleet(3, permits)
	for range 10 {
		f.start(0, permits)
		f.start(1, permits)
		f.round()
	}
	if got := f.member(2).Status(team).Holding; got != 0 {
		t.Fatalf("quiet member holds %d before it wants any, want 0", got)
	}
	f.outage = true
	for round := range maxRounds {
		if f.start(2, 1) == 1 {
			t.Logf("got a permit after %d rounds", round)
			return
		}
		f.requestFrom(2, 0, 1)
		for range permits / 2 {
			for from, to := range []int{1, 0} {
				f.finish(to)
				f.start(from, permits)
				f.requestFrom(from, to)
				f.start(from, permits)
			}
		}
		for i := range f.view.Live {
			f.member(i).Tick(f.now)
		}
	}
	t.Errorf("got no permit in %d rounds, want one", maxRounds)
}

func TestPermitsReclaimedAfterCrash(t *testing.T) {
	const permits = 56
	tests := map[string]struct{ busyRounds, wantLost int }{
		"even load":                      {wantLost: 8},
		"all load at the crashed member": {busyRounds: 10, wantLost: permits},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, permits)
			for range tc.busyRounds {
				f.start(6, permits)
				f.round()
			}
			f.crash()
			if got := permits - f.holding(); got != tc.wantLost {
				t.Errorf("permits lost: got %d, want %d", got, tc.wantLost)
			}
			ended := f.now
			for f.holding() < permits && f.now.Sub(ended) < 2*longestRun {
				f.round()
			}
			got := f.now.Sub(ended)
			t.Logf("%d of %d permits idle for %v after the evidence; longest run %v", tc.wantLost, permits, got, longestRun)
			if want := longestRun + 3*gossipRound; got > want {
				t.Errorf("idle time: got %v, want at most %v", got, want)
			}
		})
	}
}

// TestLowerLimit lowers a limit under load. Running work must not be
// interrupted, and none may start until less runs than the new limit.
func TestLowerLimit(t *testing.T) {
	f := newFleet(3, 12)
	running := []int{f.start(0, 4), f.start(1, 4), f.start(2, 2)}
	f.view.Limit = 5
	f.round() // requests reports
	f.round() // requests that the members drain
	total := running[0] + running[1] + running[2]
	for total > 5 {
		for i := range running {
			if got := f.start(i, 1); got != 0 {
				t.Fatalf("member %d started with %d running, want nothing above 5", i, total)
			}
		}
		i := total % 3
		if running[i] == 0 {
			i = (i + 1) % 3
		}
		f.member(i).Release(team)
		running[i]--
		total--
		f.round()
	}
	f.round()
	f.member(0).Release(team)
	for range 3 {
		f.round()
		f.start(0, 12)
	}
	got := 0
	for i := range running {
		got += f.member(i).Status(team).InUse
	}
	if want := 5; got != want || f.row.Limit != want {
		t.Errorf("running %d under limit %d, want %d", got, f.row.Limit, want)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	const teams = 130
	ledger := limit.New(limit.Config{Self: "entry-1/1"})
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		ledger.Apply(limit.Allocation{Team: names[i], Generation: 1, Limit: 1000, Granted: map[limit.Member]int{"entry-1/1": 1000}})
	}
	for name, spread := range map[string]int{"one-team": 1, "130-teams": teams} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					name := names[i%spread]
					if ledger.Acquire(name) {
						ledger.Release(name)
					}
				}
			})
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, teams := range []int{10, 130, 1000} {
		b.Run(fmt.Sprintf("%d-teams", teams), func(b *testing.B) {
			ledger := limit.New(limit.Config{Self: "entry-1/1"})
			for i := range teams {
				ledger.Apply(limit.Allocation{Team: fmt.Sprint(i), Generation: 1, Limit: 9, Granted: map[limit.Member]int{"entry-1/1": 9}})
			}
			for b.Loop() {
				ledger.Tick(time.Unix(1, 0))
			}
		})
	}
}

func BenchmarkPlannerStep(b *testing.B) {
	for _, members := range []int{7, 32, 128} {
		b.Run(fmt.Sprintf("%d-members", members), func(b *testing.B) {
			f := newFleet(members, 2700)
			f.view.Row = f.row
			b.ReportAllocs()
			for b.Loop() {
				f.planner.Step(f.now, f.view)
			}
		})
	}
}

func TestParseAllocation(t *testing.T) {
	tests := map[string]struct {
		value   string
		wantErr bool
	}{
		"whole":            {value: `{"team":"a","generation":1,"limit":2,"granted":{"e/1":2}}`},
		"negative carry":   {value: `{"team":"a","generation":3,"limit":2,"carried":{"e/1":{"generation":1,"bound":-1},"e/2":{"generation":1,"bound":3}}}`},
		"not JSON":         {value: `{`, wantErr: true},
		"no team":          {value: `{"generation":1}`, wantErr: true},
		"no generation":    {value: `{"team":"a"}`, wantErr: true},
		"negative grant":   {value: `{"team":"a","generation":1,"limit":2,"granted":{"e/1":-1}}`, wantErr: true},
		"above its limit":  {value: `{"team":"a","generation":1,"limit":2,"granted":{"e/1":3}}`, wantErr: true},
		"carry over limit": {value: `{"team":"a","generation":2,"limit":2,"carried":{"e/1":{"generation":1,"bound":3}}}`, wantErr: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := limit.ParseAllocation([]byte(tc.value))
			if got := err != nil; got != tc.wantErr {
				t.Errorf("error: got %v, want error %v", err, tc.wantErr)
			}
		})
	}
}
