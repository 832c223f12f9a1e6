package share

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet holds the schedulers of three entries and the expected state of their
// tickets.
type fleet struct {
	t          *rapid.T
	now        time.Time
	capacity   int
	schedulers []*Scheduler
	waiting    []map[uint64]time.Time
	running    []map[uint64]bool
	lastID     uint64
}

const testQueueLimit = 5

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: epoch, capacity: rapid.IntRange(0, 12).Draw(t, "capacity")}
	for i := range 3 {
		f.schedulers = append(f.schedulers, New(Config{
			Entry: fmt.Sprintf("e%d", i), Capacity: f.capacity, QueueLimit: testQueueLimit,
			Weights: map[string]float64{"t0": 3},
		}))
		f.waiting = append(f.waiting, map[uint64]time.Time{})
		f.running = append(f.running, map[uint64]bool{})
	}
	return f
}

func (f *fleet) applyActions(i int, acts Actions) {
	for _, id := range acts.Start {
		deadline, ok := f.waiting[i][id]
		if !ok || !deadline.After(f.now) {
			f.t.Fatalf("ticket %d started, queued %v, deadline %v, now %v", id, ok, deadline, f.now)
		}
		delete(f.waiting[i], id)
		f.running[i][id] = true
	}
	for _, r := range acts.Refuse {
		if _, ok := f.waiting[i][r.ID]; !ok || r.RetryAfter <= 0 {
			f.t.Fatalf("ticket %d refused with %v, queued %v", r.ID, r.RetryAfter, ok)
		}
		delete(f.waiting[i], r.ID)
	}
}

func (f *fleet) submit(i int) {
	f.lastID++
	ticket := Ticket{
		ID:       f.lastID,
		Team:     fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(f.t, "team")),
		Class:    Class(rapid.IntRange(0, 2).Draw(f.t, "class")),
		Deadline: f.now.Add(time.Duration(rapid.IntRange(-10, 900).Draw(f.t, "patience")) * time.Millisecond),
	}
	switch out := f.schedulers[i].Submit(f.now, ticket); out.Decision {
	case Start:
		f.running[i][ticket.ID] = true
	case Queued:
		f.waiting[i][ticket.ID] = ticket.Deadline
	case Refused:
		if out.RetryAfter <= 0 {
			f.t.Fatalf("got retry after %v", out.RetryAfter)
		}
	}
}

// smallest returns the smallest ID in the set, so that runs are reproducible.
func smallest[V any](set map[uint64]V) uint64 {
	var best uint64
	for id := range set {
		if best == 0 || id < best {
			best = id
		}
	}
	return best
}

func (f *fleet) step() {
	i := rapid.IntRange(0, len(f.schedulers)-1).Draw(f.t, "entry")
	s := f.schedulers[i]
	switch rapid.IntRange(0, 6).Draw(f.t, "event") {
	case 0, 1:
		f.submit(i)
	case 2:
		if id := smallest(f.running[i]); id != 0 {
			delete(f.running[i], id)
			f.applyActions(i, s.Finish(f.now, id))
		}
	case 3:
		if id := smallest(f.waiting[i]); id != 0 {
			if !s.Cancel(f.now, id) {
				f.t.Fatalf("ticket %d was not queued", id)
			}
			delete(f.waiting[i], id)
		}
	case 4:
		from := rapid.IntRange(0, len(f.schedulers)-1).Draw(f.t, "from")
		f.applyActions(i, s.SetPeer(f.now, f.schedulers[from].Demand()))
	case 5:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(f.t, "pass")) * time.Millisecond)
	case 6:
		f.tick(i)
	}
}

func (f *fleet) tick(i int) {
	f.applyActions(i, f.schedulers[i].Tick(f.now))
	state := f.schedulers[i].State()
	for id, deadline := range f.waiting[i] {
		if !deadline.After(f.now) {
			f.t.Fatalf("ticket %d is still queued after its deadline %v at %v", id, deadline, f.now)
		}
	}
	if state.Queued > 0 && state.InFlight < state.Slots {
		f.t.Fatalf("got %d of %d slots used while %d wait", state.InFlight, state.Slots, state.Queued)
	}
	if state.Queued != len(f.waiting[i]) || state.InFlight != len(f.running[i]) {
		f.t.Fatalf("got %d queued, %d running, want %d, %d",
			state.Queued, state.InFlight, len(f.waiting[i]), len(f.running[i]))
	}
	for _, flow := range state.Flows {
		if flow.Queued > testQueueLimit {
			f.t.Fatalf("got %d queued for %v", flow.Queued, flow.Flow)
		}
	}
}

// maxExchanges limits the number of exchanges of demand at one point in time.
const maxExchanges = 5

// exchangeDemand exchanges demand between the entries until it no longer changes.
func (f *fleet) exchangeDemand() {
	var last []Demand
	for range maxExchanges {
		var demands []Demand
		for i, s := range f.schedulers {
			f.tick(i)
			demands = append(demands, s.Demand())
		}
		if reflect.DeepEqual(demands, last) {
			return
		}
		last = demands
		for i, s := range f.schedulers {
			for _, demand := range demands {
				f.applyActions(i, s.SetPeer(f.now, demand))
			}
		}
	}
	f.t.Fatalf("demand still changes after %d exchanges: %v", maxExchanges, last)
}

// TestSchedulers drives three schedulers with random events, and checks that they
// agree on a division once they have exchanged their demand.
func TestSchedulers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step()
		}
		f.exchangeDemand()
		demands, slots := []Demand{}, 0
		for _, s := range f.schedulers {
			demands = append(demands, s.Demand())
			slots += s.State().Slots
		}
		want := Divide(f.capacity, f.schedulers[0].cfg.Weights, demands)
		for _, s := range f.schedulers {
			got := s.State()
			for _, flow := range got.Flows {
				if d := flow.Quota - want.Quota[s.cfg.Entry][flow.Flow]; d > tolerance || d < -tolerance {
					t.Fatalf("%s %v: got quota %v, want %v", s.cfg.Entry, flow.Flow, flow.Quota, want.Quota)
				}
			}
		}
		if slots != f.capacity {
			t.Fatalf("got %d slots in all entries, want %d", slots, f.capacity)
		}
	})
}

// TestOverloadKeepsShares runs one entry at full load for 20 s of virtual time
// with runs of 100 ms, while one team requests ten times the capacity. Each team
// must get its share.
func TestOverloadKeepsShares(t *testing.T) {
	for name, tc := range map[string]struct {
		weights map[string]float64
		rates   map[string]int // arrivals each 10 ms
		want    map[string]float64
	}{
		"equal weights": {nil, map[string]int{"flood": 80, "small": 2}, map[string]float64{"flood": 4, "small": 4}},
		"weights":       {map[string]float64{"small": 3}, map[string]int{"flood": 80, "small": 2}, map[string]float64{"flood": 2, "small": 6}},
		"unused share":  {map[string]float64{"small": 3}, map[string]int{"flood": 80, "small": 0}, map[string]float64{"flood": 8}},
	} {
		t.Run(name, func(t *testing.T) {
			got := simulateFullEntry(tc.weights, tc.rates, 2000)
			for team, want := range tc.want {
				if got[team] < want*0.97 || got[team] > want*1.03 {
					t.Errorf("%s: got %.2f slots in use, want %.2f", team, got[team], want)
				}
			}
		})
	}
}

func simulateFullEntry(weights map[string]float64, rates map[string]int, steps int) map[string]float64 {
	s := New(Config{Entry: "e0", Capacity: 8, Weights: weights})
	ends, teams, used := map[int][]uint64{}, map[uint64]string{}, map[string]float64{}
	id := uint64(0)
	for step := range steps {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		begin := func(ids []uint64) {
			for _, started := range ids {
				ends[step+10] = append(ends[step+10], started)
				used[teams[started]] += 10 / float64(steps)
			}
		}
		for _, done := range ends[step] {
			begin(s.Finish(now, done).Start)
		}
		for _, team := range []string{"flood", "small"} {
			for range rates[team] {
				id++
				teams[id] = team
				if s.Submit(now, Ticket{ID: id, Team: team, Deadline: now.Add(time.Second)}).Decision == Start {
					begin([]uint64{id})
				}
			}
		}
		begin(s.Tick(now).Start)
	}
	return used
}

func TestRefusalReturnsDrainTime(t *testing.T) {
	s := New(Config{Entry: "e0", Capacity: 1, ExpectedDuration: time.Second})
	for i, want := range []Outcome{
		{Decision: Start},
		{Decision: Queued},
		{Decision: Queued},
		{Decision: Refused, RetryAfter: 3 * time.Second},
		{Decision: Refused, RetryAfter: 4 * time.Second},
	} {
		ticket := Ticket{ID: uint64(i), Team: "a", Deadline: epoch.Add(2500 * time.Millisecond)}
		if got := s.Submit(epoch, ticket); got != want {
			t.Errorf("ticket %d: got %v, want %v", i, got, want)
		}
		s.Tick(epoch)
	}
}

func TestSilentPeerLosesSlots(t *testing.T) {
	s := New(Config{Entry: "e0", Capacity: 8})
	flow := FlowDemand{Flow: Flow{Team: "a"}, InFlight: 8, Queued: 90}
	s.SetPeer(epoch, Demand{Entry: "e1", Flows: []FlowDemand{flow}})
	for id := range uint64(20) {
		s.Submit(epoch, Ticket{ID: id, Team: "a", Deadline: epoch.Add(time.Hour)})
	}
	s.Tick(epoch)
	if got := s.State().InFlight; got != 4 {
		t.Errorf("with the peer: got %d in flight, want 4", got)
	}
	s.Tick(epoch.Add(DefaultPeerTimeout + 1))
	if got := s.State().InFlight; got != 8 {
		t.Errorf("after the peer's timeout: got %d in flight, want 8", got)
	}
}

// TestPauseDoesNotAccumulateLag checks that a pause of the process, or NaN from a
// peer, does not push the lag beyond its limit.
func TestPauseDoesNotAccumulateLag(t *testing.T) {
	s := New(Config{Entry: "e0", Capacity: 2})
	for id := range uint64(9) {
		s.Submit(epoch, Ticket{ID: id, Team: []string{"a", "b"}[id%2], Deadline: epoch.Add(time.Hour)})
	}
	s.SetPeer(epoch, Demand{Entry: "e1", Debt: math.NaN(), Flows: []FlowDemand{
		{Flow: Flow{Team: "a"}, Queued: 9, Lag: math.NaN()},
	}})
	for _, pause := range []time.Duration{10 * time.Millisecond, 10 * time.Minute} {
		s.Tick(epoch.Add(pause))
	}
	for _, d := range s.Demand().Flows {
		if limit := lagTimeConstant.Seconds(); math.IsNaN(d.Lag) || math.Abs(d.Lag) > limit {
			t.Errorf("%s: got a lag of %v slot-seconds, want at most %v", d.Team, d.Lag, limit)
		}
	}
	if got := s.State().Slots; got < 0 || got > 2 {
		t.Errorf("got %d slots of 2", got)
	}
}

func BenchmarkSubmitFinish(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		s, now := New(Config{Entry: "e0", Capacity: 80}), epoch
		for id := uint64(1); pb.Next(); id++ {
			now = now.Add(time.Microsecond)
			s.Submit(now, Ticket{ID: id, Team: "a", Deadline: now.Add(time.Second)})
			s.Finish(now, id)
		}
	})
}

// BenchmarkFull submits and finishes requests of six teams with all slots in use
// and six peers.
func BenchmarkFull(b *testing.B) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		s, now := New(Config{Entry: "e0", Capacity: 80}), epoch
		teams := []string{"a", "b", "c", "d", "e", "f"}
		for i := range 6 {
			demand := Demand{Entry: fmt.Sprintf("e%d", i+1)}
			for _, team := range teams {
				demand.Flows = append(demand.Flows, FlowDemand{Flow: Flow{Team: team, Class: Normal}, InFlight: 2, Queued: 20})
			}
			s.SetPeer(now, demand)
		}
		var running []uint64
		for id := uint64(1); pb.Next(); id++ {
			now = now.Add(10 * time.Microsecond)
			team := teams[id%uint64(len(teams))]
			if s.Submit(now, Ticket{ID: id, Team: team, Class: Normal, Deadline: now.Add(500 * time.Millisecond)}).Decision == Start {
				running = append(running, id)
			}
			if len(running) > 8 {
				done := running[0]
				running = append(running[:0], running[1:]...)
				running = append(running, s.Finish(now, done).Start...)
			}
			if id%1000 == 0 {
				running = append(running, s.Tick(now).Start...)
			}
		}
	})
}
