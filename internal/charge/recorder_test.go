package charge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/claim"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// mutations selects the protections that a simulation disables.
type mutations struct {
	chargeEarly bool // a run is charged when it is dispatched
	freshIDs    bool // a repeated report gets a new run ID
	noMirror    bool // the peer confirms records that it does not hold
}

// run is the reference model's record of one attempt. The charge's Endpoint
// holds its unique name.
type run struct {
	charge   charge.Charge
	proven   bool
	reported bool
	// recordedBy lists the processes that hold the record, own or mirrored.
	recordedBy []roster.Identity
}

type process struct {
	self     roster.Identity
	recorder *charge.Recorder
	alive    bool
}

type message struct {
	to   roster.Identity
	body any
}

type simulation struct {
	mutations   mutations
	pick        func(int) int
	now         time.Time
	store       *table.Memory
	down        bool
	loseReplies bool
	procs       []*process
	roster      roster.Roster
	runs        []*run
	messages    []message
	calls       []func()
	counts      map[string]int
}

func newSimulation(pick func(int) int, broken mutations) *simulation {
	s := &simulation{mutations: broken, pick: pick, now: start, store: table.NewMemory(), counts: make(map[string]int)}
	for _, name := range []string{"a", "b", "c"} {
		s.startProcess(name, 1)
	}
	return s
}

func (s *simulation) startProcess(name string, incarnation uint64) {
	self := roster.Identity{Name: name, Incarnation: incarnation}
	p := &process{self: self, alive: true, recorder: charge.New(charge.Config{Self: self, MaxBatch: 3})}
	s.procs = append(s.procs, p)
	s.roster, _ = roster.Join(s.roster, roster.Member{Identity: self, Role: roster.RoleEntry, State: roster.StateActive}, s.now)
	for _, q := range s.procs {
		if q.alive {
			s.execute(q, q.recorder.ApplyRoster(s.now, s.roster))
		}
	}
}

func (s *simulation) find(id roster.Identity) *process {
	for _, p := range s.procs {
		if p.self == id && p.alive {
			return p
		}
	}
	return nil
}

func (s *simulation) randomProcess() *process {
	up := slices.DeleteFunc(slices.Clone(s.procs), func(p *process) bool { return !p.alive })
	return up[s.pick(len(up))]
}

func (s *simulation) execute(p *process, effects []charge.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case charge.Commit:
			s.calls = append(s.calls, func() { s.commit(p, effect) })
		case charge.Mirror:
			s.counts["mirror"]++
			if s.mutations.noMirror {
				s.messages = append(s.messages, message{p.self, charge.Confirm{To: p.self, From: effect.To.Identity, Held: effect.Records}})
				s.recordConfirmed(effect.To.Identity, effect.Records)
				continue
			}
			s.messages = append(s.messages, message{effect.To.Identity, effect})
		case charge.Confirm:
			s.recordConfirmed(p.self, effect.Held)
			s.messages = append(s.messages, message{effect.To, effect})
		case charge.Forget:
			s.messages = append(s.messages, message{effect.To, effect})
		}
	}
}

// recordConfirmed records that the process has confirmed to hold the records.
func (s *simulation) recordConfirmed(by roster.Identity, records []charge.Record) {
	for _, record := range records {
		for _, r := range s.runs {
			if r.charge.Endpoint == record.Charge.Endpoint && (record.Reason == "") == r.proven {
				r.recordedBy = append(r.recordedBy, by)
			}
		}
	}
}

func (s *simulation) commit(p *process, effect charge.Commit) {
	if s.pick(8) == 0 && !s.down {
		// The call times out and takes effect later.
		s.counts["late-commits"]++
		s.calls = append(s.calls, func() { _ = s.store.Commit(context.Background(), effect.Txn) })
		s.reply(p, effect, table.ErrUnknown)
		return
	}
	err := s.store.Commit(context.Background(), effect.Txn)
	if err == nil && s.loseReplies {
		s.counts["lost-answers"]++
		err = table.ErrUnknown
	}
	s.reply(p, effect, err)
}

func (s *simulation) reply(p *process, effect charge.Commit, err error) {
	if p.alive {
		s.execute(p, p.recorder.HandleTableResult(s.now, effect.Call, err))
	}
}

func (s *simulation) deliver(i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	p := s.find(m.to)
	if p == nil {
		return
	}
	switch body := m.body.(type) {
	case charge.Mirror:
		s.execute(p, p.recorder.HandleMirror(s.now, body))
	case charge.Confirm:
		s.execute(p, p.recorder.HandleConfirm(s.now, body))
	case charge.Forget:
		s.execute(p, p.recorder.HandleForget(s.now, body))
	}
}

// dispatch starts an attempt.
func (s *simulation) dispatch() {
	p := s.randomProcess()
	r := &run{charge: charge.Charge{Run: p.recorder.NewRunID(), Team: "t", Endpoint: fmt.Sprintf("run-%d", len(s.runs)), Started: s.now}}
	s.runs = append(s.runs, r)
	if s.mutations.chargeEarly {
		s.execute(p, p.recorder.RecordCharge(s.now, r.charge))
	}
}

// report passes an attempt's end to the recorder. A complete response may
// follow a timeout, and the same report may be made twice.
func (s *simulation) report(proven bool) {
	if len(s.runs) == 0 {
		return
	}
	r := s.runs[s.pick(len(s.runs))]
	p := s.find(r.charge.Run.Entry)
	if p == nil || r.proven && !proven {
		return
	}
	if s.mutations.freshIDs && r.reported {
		r.charge.Run = p.recorder.NewRunID()
	}
	if r.proven != proven || !r.reported {
		r.recordedBy = []roster.Identity{p.self}
	}
	r.proven, r.reported = proven, true
	if proven {
		s.counts["proven"]++
		s.execute(p, p.recorder.RecordCharge(s.now, r.charge))
		return
	}
	s.counts["unproven"]++
	s.execute(p, p.recorder.RecordUnproven(s.now, r.charge, charge.ReasonAborted))
}

var actions = map[string]func(s *simulation){
	"dispatch":   (*simulation).dispatch,
	"dispatch-2": (*simulation).dispatch,
	"answer":     func(s *simulation) { s.report(true) },
	"answer-2":   func(s *simulation) { s.report(true) },
	"cut":        func(s *simulation) { s.report(false) },
	"deliver":    (*simulation).deliverOne,
	"deliver-2":  (*simulation).deliverOne,
	"call":       (*simulation).callOne,
	"call-2":     (*simulation).callOne,
	"lose-message": func(s *simulation) {
		if n := len(s.messages); n > 0 {
			s.messages = slices.Delete(s.messages, n-1, n)
		}
	},
	"double-message": func(s *simulation) {
		if n := len(s.messages); n > 0 {
			s.messages = append(s.messages, s.messages[s.pick(n)])
		}
	},
	"tick": func(s *simulation) {
		s.now = s.now.Add(time.Duration(s.pick(3000)) * time.Millisecond)
		p := s.randomProcess()
		s.execute(p, p.recorder.Tick(s.now))
	},
	"outage":       func(s *simulation) { s.setDown(true) },
	"outage-ends":  func(s *simulation) { s.setDown(false) },
	"lose-answers": func(s *simulation) { s.loseReplies = !s.loseReplies },
	"crash": func(s *simulation) {
		p := s.randomProcess()
		p.alive = false
		s.startProcess(p.self.Name, p.self.Incarnation+1)
	},
}

func (s *simulation) deliverOne() {
	if n := len(s.messages); n > 0 {
		s.deliver(s.pick(n))
	}
}

func (s *simulation) callOne() {
	if n := len(s.calls); n > 0 {
		i := s.pick(n)
		call := s.calls[i]
		s.calls = slices.Delete(s.calls, i, i+1)
		call()
	}
}

func (s *simulation) setDown(down bool) {
	s.down = down
	s.store.SetFaults(table.Faults{Down: down})
}

// check compares the rows with the actual runs. At rest no run may be missing.
func (s *simulation) check(atRest bool) string {
	if s.down {
		return ""
	}
	charged, listed := s.rows(charge.Prefix), s.rows(charge.UnprovenPrefix)
	for _, r := range s.runs {
		name := r.charge.Endpoint
		if n := charged[name]; n > 1 || n == 1 && !r.proven {
			return fmt.Sprintf("%s: %d charges, proven %v", name, n, r.proven)
		}
		survives := slices.ContainsFunc(r.recordedBy, func(id roster.Identity) bool { return s.find(id) != nil })
		if !atRest || !survives || !r.reported {
			continue
		}
		if r.proven && charged[name] == 0 {
			return fmt.Sprintf("%s ran and is not charged", name)
		}
		if !r.proven && listed[name] == 0 {
			return fmt.Sprintf("%s is neither charged nor listed", name)
		}
	}
	return ""
}

func (s *simulation) rows(prefix string) map[string]int {
	rows, err := s.store.Scan(context.Background(), prefix)
	if err != nil {
		panic(err)
	}
	counts := make(map[string]int)
	for _, row := range rows {
		var c charge.Charge
		if err := json.Unmarshal(row.Value, &c); err != nil {
			panic(err)
		}
		counts[c.Endpoint]++
	}
	return counts
}

func (s *simulation) quiesce() {
	s.setDown(false)
	s.loseReplies = false
	for range 200 {
		s.now = s.now.Add(time.Second)
		for _, p := range s.procs {
			if p.alive {
				s.execute(p, p.recorder.Tick(s.now))
			}
		}
		for len(s.calls) > 0 {
			s.callOne()
		}
		for len(s.messages) > 0 {
			s.deliver(0)
		}
	}
}

func runSimulation(pick func(int) int, n int, broken mutations, totals map[string]int) string {
	s := newSimulation(pick, broken)
	var names []string
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	defer func() {
		for kind, count := range s.counts {
			totals[kind] += count
		}
	}()
	for range n {
		name := names[pick(len(names))]
		s.counts[name]++
		actions[name](s)
		if found := s.check(false); found != "" {
			return found
		}
	}
	s.quiesce()
	for _, p := range s.procs {
		if p.alive && !p.recorder.Drained() {
			return fmt.Sprintf("%s did not drain: %+v", p.self, p.recorder.Snapshot())
		}
	}
	return s.check(true)
}

// TestProvenRunsAreChargedOnce checks that the charges are exactly the proven
// runs, once each, despite outages, crashes and lost or duplicated messages.
func TestProvenRunsAreChargedOnce(t *testing.T) {
	totals := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		const spread = 0x9e3779b97f4a7c15
		var step uint64
		pick := func(n int) int {
			step++
			return int(((rapid.Uint64().Draw(t, "pick") + step) * spread >> 32) % uint64(n))
		}
		if found := runSimulation(pick, 150, mutations{}, totals); found != "" {
			t.Fatal(found)
		}
	})
	t.Logf("events: %v", totals)
	for _, kind := range []string{"proven", "unproven", "mirror", "crash", "outage", "lost-answers", "late-commits", "lose-message", "double-message"} {
		if totals[kind] == 0 {
			t.Errorf("%s: got 0, want some", kind)
		}
	}
}

// TestSimulationDetectsMutations disables one protection at a time. The check
// must then find a violation.
func TestSimulationDetectsMutations(t *testing.T) {
	tests := map[string]mutations{
		"charged when dispatched": {chargeEarly: true},
		"an id for each report":   {freshIDs: true},
		"not mirrored":            {noMirror: true},
	}
	for name, broken := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				source := rand.New(rand.NewPCG(seed, 1))
				if found := runSimulation(source.IntN, 150, broken, make(map[string]int)); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Error("got no violation in 500 seeds, want one")
		})
	}
}

// TestFullBufferDropsRuns checks that a full buffer drops and counts new runs
// and keeps the charges that it has.
func TestFullBufferDropsRuns(t *testing.T) {
	recorder := charge.New(charge.Config{Self: roster.Identity{Name: "a"}, MaxRecords: 10})
	for range 25 {
		recorder.RecordCharge(start, charge.Charge{Run: recorder.NewRunID()})
	}
	got := recorder.Snapshot()
	if got.Own != 10 || got.Dropped != 15 {
		t.Errorf("got %d buffered and %d dropped, want 10 and 15", got.Own, got.Dropped)
	}
}

func TestTrace(t *testing.T) {
	id := charge.RunID{Entry: roster.Identity{Name: "a", Incarnation: 1}, Sequence: 7}
	encode := func(value any) []byte {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	row := table.Row{Version: 1, Value: encode(charge.Charge{Run: id, ClaimRow: "claim/1"})}
	aborted := table.Row{Version: 1, Value: encode(charge.Unproven{Charge: charge.Charge{Run: id}, Reason: charge.ReasonAborted})}
	tests := map[string]struct {
		rows  []table.Row
		claim claim.State
		want  string
	}{
		"charged":                   {rows: []table.Row{row, {}}, claim: claim.StateRan, want: "charged"},
		"charged after a timeout":   {rows: []table.Row{row, aborted}, claim: claim.StateRan, want: "charged"},
		"charged, claim has gone":   {rows: []table.Row{row, {}}, want: "charged claim-missing"},
		"charged, claim is not run": {rows: []table.Row{row, {}}, claim: claim.StateNotRun, want: "charged claim-not-run"},
		"listed":                    {rows: []table.Row{{}, aborted}, want: "unproven"},
		"nothing known":             {rows: []table.Row{{}, {}}, want: "missing"},
		"broken row":                {rows: []table.Row{{Version: 1}, {}}, want: "error"},
		"too few rows":              {rows: []table.Row{row}, want: "error"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			trace, claimRow, err := charge.NewTrace(id, tc.rows)
			if err == nil && claimRow != "" {
				record := table.Row{}
				if tc.claim != "" {
					record = table.Row{Version: 1, Value: encode(claim.Record{State: tc.claim})}
				}
				trace, err = trace.WithClaim(record)
			}
			got := strings.Trim(fmt.Sprint(trace.Findings), "[]")
			if err != nil {
				got = "error"
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestRunIDRoundTrip(t *testing.T) {
	want := charge.RunID{Entry: roster.Identity{Name: "entry-1", Incarnation: 17}, Sequence: 4}
	got, err := charge.ParseRunID(want.String())
	if err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, text := range []string{"", "entry-1", "entry-1.x.4", "entry-1.17.y", "entry-1.17.4.5"} {
		if got, err := charge.ParseRunID(text); err == nil {
			t.Errorf("%q: got %v, want an error", text, got)
		}
	}
}
