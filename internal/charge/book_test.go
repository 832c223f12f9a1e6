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

// rules are protections that a variant takes out.
type rules struct {
	chargeEarly bool // charged when dispatched
	freshIDs    bool // a repeated report gets another run id
	noMirror    bool // the peer confirms what it does not hold
}

// run is what the oracle knows of one attempt; id is in the charge's Endpoint.
type run struct {
	charge   charge.Charge
	proven   bool
	reported bool
	// safe lists the processes that have taken the report, own or mirrored.
	safe []roster.Identity
}

type process struct {
	self  roster.Identity
	book  *charge.Recorder
	alive bool
}

type message struct {
	to   roster.Identity
	body any
}

type world struct {
	rules    rules
	pick     func(int) int
	now      time.Time
	store    *table.Memory
	down     bool
	lose     bool
	procs    []*process
	roster   roster.Roster
	runs     []*run
	messages []message
	calls    []func()
	counts   map[string]int
}

func newWorld(pick func(int) int, r rules) *world {
	w := &world{rules: r, pick: pick, now: start, store: table.NewMemory(), counts: make(map[string]int)}
	for _, name := range []string{"a", "b", "c"} {
		w.boot(name, 1)
	}
	return w
}

func (w *world) boot(name string, incarnation uint64) {
	self := roster.Identity{Name: name, Incarnation: incarnation}
	p := &process{self: self, alive: true, book: charge.New(charge.Config{Self: self, MaxBatch: 3})}
	w.procs = append(w.procs, p)
	w.roster, _ = roster.Join(w.roster, roster.Member{Identity: self, Role: roster.RoleEntry, State: roster.StateActive}, w.now)
	for _, q := range w.procs {
		if q.alive {
			w.carry(q, q.book.ApplyRoster(w.now, w.roster))
		}
	}
}

func (w *world) find(id roster.Identity) *process {
	for _, p := range w.procs {
		if p.self == id && p.alive {
			return p
		}
	}
	return nil
}

func (w *world) any() *process {
	up := slices.DeleteFunc(slices.Clone(w.procs), func(p *process) bool { return !p.alive })
	return up[w.pick(len(up))]
}

func (w *world) carry(p *process, effects []charge.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case charge.Commit:
			w.calls = append(w.calls, func() { w.commit(p, effect) })
		case charge.Mirror:
			w.counts["mirror"]++
			if w.rules.noMirror {
				w.messages = append(w.messages, message{p.self, charge.Confirm{To: p.self, From: effect.To.Identity, Held: effect.Records}})
				w.confirmed(effect.To.Identity, effect.Records)
				continue
			}
			w.messages = append(w.messages, message{effect.To.Identity, effect})
		case charge.Confirm:
			w.confirmed(p.self, effect.Held)
			w.messages = append(w.messages, message{effect.To, effect})
		case charge.Forget:
			w.messages = append(w.messages, message{effect.To, effect})
		}
	}
}

// confirmed notes that the process promised to write the entries.
func (w *world) confirmed(by roster.Identity, entries []charge.Record) {
	for _, entry := range entries {
		for _, r := range w.runs {
			if r.charge.Endpoint == entry.Charge.Endpoint && (entry.Reason == "") == r.proven {
				r.safe = append(r.safe, by)
			}
		}
	}
}

func (w *world) commit(p *process, effect charge.Commit) {
	if w.pick(8) == 0 && !w.down {
		// The call times out and takes effect later.
		w.counts["late-commits"]++
		w.calls = append(w.calls, func() { _ = w.store.Commit(context.Background(), effect.Txn) })
		w.answer(p, effect, table.ErrUnknown)
		return
	}
	err := w.store.Commit(context.Background(), effect.Txn)
	if err == nil && w.lose {
		w.counts["lost-answers"]++
		err = table.ErrUnknown
	}
	w.answer(p, effect, err)
}

func (w *world) answer(p *process, effect charge.Commit, err error) {
	if p.alive {
		w.carry(p, p.book.HandleTableResult(w.now, effect.Call, err))
	}
}

func (w *world) deliver(i int) {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	p := w.find(m.to)
	if p == nil {
		return
	}
	switch body := m.body.(type) {
	case charge.Mirror:
		w.carry(p, p.book.HandleMirror(w.now, body))
	case charge.Confirm:
		w.carry(p, p.book.HandleConfirm(w.now, body))
	case charge.Forget:
		w.carry(p, p.book.HandleForget(w.now, body))
	}
}

// dispatch starts an attempt.
func (w *world) dispatch() {
	p := w.any()
	r := &run{charge: charge.Charge{Run: p.book.NewRunID(), Team: "t", Endpoint: fmt.Sprintf("run-%d", len(w.runs)), Started: w.now}}
	w.runs = append(w.runs, r)
	if w.rules.chargeEarly {
		w.carry(p, p.book.RecordCharge(w.now, r.charge))
	}
}

// report tells the book of an attempt's end. A whole answer may follow a
// timeout, and the same report may be made twice.
func (w *world) report(proven bool) {
	if len(w.runs) == 0 {
		return
	}
	r := w.runs[w.pick(len(w.runs))]
	p := w.find(r.charge.Run.Entry)
	if p == nil || r.proven && !proven {
		return
	}
	if w.rules.freshIDs && r.reported {
		r.charge.Run = p.book.NewRunID()
	}
	if r.proven != proven || !r.reported {
		r.safe = []roster.Identity{p.self}
	}
	r.proven, r.reported = proven, true
	if proven {
		w.counts["proven"]++
		w.carry(p, p.book.RecordCharge(w.now, r.charge))
		return
	}
	w.counts["unproven"]++
	w.carry(p, p.book.RecordUnproven(w.now, r.charge, charge.ReasonAborted))
}

var actions = map[string]func(w *world){
	"dispatch":   (*world).dispatch,
	"dispatch-2": (*world).dispatch,
	"answer":     func(w *world) { w.report(true) },
	"answer-2":   func(w *world) { w.report(true) },
	"cut":        func(w *world) { w.report(false) },
	"deliver":    (*world).deliverOne,
	"deliver-2":  (*world).deliverOne,
	"call":       (*world).callOne,
	"call-2":     (*world).callOne,
	"lose-message": func(w *world) {
		if n := len(w.messages); n > 0 {
			w.messages = slices.Delete(w.messages, n-1, n)
		}
	},
	"double-message": func(w *world) {
		if n := len(w.messages); n > 0 {
			w.messages = append(w.messages, w.messages[w.pick(n)])
		}
	},
	"tick": func(w *world) {
		w.now = w.now.Add(time.Duration(w.pick(3000)) * time.Millisecond)
		p := w.any()
		w.carry(p, p.book.Tick(w.now))
	},
	"outage":       func(w *world) { w.setDown(true) },
	"outage-ends":  func(w *world) { w.setDown(false) },
	"lose-answers": func(w *world) { w.lose = !w.lose },
	"crash": func(w *world) {
		p := w.any()
		p.alive = false
		w.boot(p.self.Name, p.self.Incarnation+1)
	},
}

func (w *world) deliverOne() {
	if n := len(w.messages); n > 0 {
		w.deliver(w.pick(n))
	}
}

func (w *world) callOne() {
	if n := len(w.calls); n > 0 {
		i := w.pick(n)
		call := w.calls[i]
		w.calls = slices.Delete(w.calls, i, i+1)
		call()
	}
}

func (w *world) setDown(down bool) {
	w.down = down
	w.store.SetFaults(table.Faults{Down: down})
}

// check compares the rows with what ran; at rest nothing may be missing.
func (w *world) check(atRest bool) string {
	if w.down {
		return ""
	}
	charged, listed := w.rows(charge.Prefix), w.rows(charge.UnprovenPrefix)
	for _, r := range w.runs {
		name := r.charge.Endpoint
		if n := charged[name]; n > 1 || n == 1 && !r.proven {
			return fmt.Sprintf("%s: %d charges, proven %v", name, n, r.proven)
		}
		survives := slices.ContainsFunc(r.safe, func(id roster.Identity) bool { return w.find(id) != nil })
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

func (w *world) rows(prefix string) map[string]int {
	rows, err := w.store.Scan(context.Background(), prefix)
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

func (w *world) rest() {
	w.setDown(false)
	w.lose = false
	for range 200 {
		w.now = w.now.Add(time.Second)
		for _, p := range w.procs {
			if p.alive {
				w.carry(p, p.book.Tick(w.now))
			}
		}
		for len(w.calls) > 0 {
			w.callOne()
		}
		for len(w.messages) > 0 {
			w.deliver(0)
		}
	}
}

func steps(pick func(int) int, n int, r rules, totals map[string]int) string {
	w := newWorld(pick, r)
	var names []string
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	defer func() {
		for kind, count := range w.counts {
			totals[kind] += count
		}
	}()
	for range n {
		name := names[pick(len(names))]
		w.counts[name]++
		actions[name](w)
		if found := w.check(false); found != "" {
			return found
		}
	}
	w.rest()
	for _, p := range w.procs {
		if p.alive && !p.book.Drained() {
			return fmt.Sprintf("%s did not drain: %+v", p.self, p.book.Snapshot())
		}
	}
	return w.check(true)
}

// The charges are exactly the proven runs, once each.
func TestChargesAreRuns(t *testing.T) {
	totals := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		const spread = 0x9e3779b97f4a7c15
		var step uint64
		pick := func(n int) int {
			step++
			return int(((rapid.Uint64().Draw(t, "pick") + step) * spread >> 32) % uint64(n))
		}
		if found := steps(pick, 150, rules{}, totals); found != "" {
			t.Fatal(found)
		}
	})
	t.Logf("provoked: %v", totals)
	for _, kind := range []string{"proven", "unproven", "mirror", "crash", "outage", "lost-answers", "late-commits", "lose-message", "double-message"} {
		if totals[kind] == 0 {
			t.Errorf("%s: got 0, want some", kind)
		}
	}
}

func TestOracleCatchesNaiveWays(t *testing.T) {
	tests := map[string]rules{
		"charged when dispatched": {chargeEarly: true},
		"an id for each report":   {freshIDs: true},
		"not mirrored":            {noMirror: true},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				source := rand.New(rand.NewPCG(seed, 1))
				if found := steps(source.IntN, 150, r, make(map[string]int)); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Error("got no violation in 500 seeds, want one")
		})
	}
}

// A full buffer drops and counts, and keeps the charges that it has.
func TestOverflow(t *testing.T) {
	book := charge.New(charge.Config{Self: roster.Identity{Name: "a"}, MaxRecords: 10})
	for range 25 {
		book.RecordCharge(start, charge.Charge{Run: book.NewRunID()})
	}
	got := book.Snapshot()
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
	cut := table.Row{Version: 1, Value: encode(charge.Unproven{Charge: charge.Charge{Run: id}, Reason: charge.ReasonAborted})}
	tests := map[string]struct {
		rows  []table.Row
		claim claim.State
		want  string
	}{
		"charged":                   {rows: []table.Row{row, {}}, claim: claim.StateRan, want: "charged"},
		"charged after a timeout":   {rows: []table.Row{row, cut}, claim: claim.StateRan, want: "charged"},
		"charged, claim has gone":   {rows: []table.Row{row, {}}, want: "charged claim-missing"},
		"charged, claim is not run": {rows: []table.Row{row, {}}, claim: claim.StateNotRun, want: "charged claim-not-run"},
		"listed":                    {rows: []table.Row{{}, cut}, want: "unproven"},
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

func TestRunIDReadsBack(t *testing.T) {
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
