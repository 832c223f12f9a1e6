package pool_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	hostName   = "host-1"
	rosterRow  = "roster"
	longestRun = 10 * time.Second
	runs       = 120
	steps      = 500
)

// rules are the parts of the mechanism; a mutation takes one out.
type rules struct {
	rowVersion, rosterVersion, confirmations, longestRun bool
}

var allRules = rules{true, true, true, true}

// world is one host, entries that send work to it, and managers that move it.
// It is the oracle too: work is what really runs.
type world struct {
	random   *rand.Rand
	rules    rules
	now      time.Time
	store    *table.Memory
	next     uint64
	entries  []*sender
	members  []pool.Sender
	gone     []pool.Sender
	managers []*manager
	messages []func()
	work     map[int]work
	workID   int
	counts   map[string]int
	broken   string
}

// sender is an entry with its view of the host.
type sender struct {
	id       pool.Sender
	view     pool.Assignment
	inFlight int
	paused   bool
}

// work is one request that runs at the host.
type work struct {
	pool string
	by   *sender
	ends time.Time
}

// manager acts on rows that it read some time ago.
type manager struct {
	drains  *pool.DrainTracker
	row     table.Row
	roster  table.Row
	members []pool.Sender
	gone    []pool.Sender
}

func newWorld(seed uint64, rules rules) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), rules: rules, now: time.Unix(1000, 0),
		store: table.NewMemory(), work: make(map[int]work), counts: make(map[string]int),
	}
	first, err := json.Marshal(pool.Assign(hostName, "a"))
	if err != nil {
		panic(err)
	}
	w.commit(table.Txn{Writes: []table.Write{{Key: pool.Key(hostName), Value: first}, {Key: rosterRow}}})
	for range 3 {
		w.join()
	}
	for range 2 {
		w.managers = append(w.managers, &manager{drains: pool.NewDrainTracker()})
	}
	return w
}

func (w *world) commit(txn table.Txn) bool {
	w.store.SetFaults(table.Faults{LoseAnswers: w.random.IntN(10) == 0})
	defer w.store.SetFaults(table.Faults{})
	err := w.store.Commit(context.Background(), txn)
	if table.IsUnknown(err) {
		w.counts["lost answers"]++
	}
	return err == nil
}

func (w *world) read(key string) table.Row {
	rows, err := w.store.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return rows[0]
}

func (w *world) assignment() pool.Assignment {
	a, err := pool.Decode(w.read(pool.Key(hostName)))
	if err != nil {
		panic(err)
	}
	return a
}

// join adds an entry: it enters the roster first and reads the row after.
func (w *world) join() {
	w.next++
	e := &sender{id: pool.Sender{Name: "entry", Incarnation: w.next}}
	w.members = append(w.members, e.id)
	w.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	e.view = w.assignment()
	w.entries = append(w.entries, e)
}

// crash ends an entry; its work runs on, and the roster drops it.
func (w *world) crash() {
	i := w.random.IntN(len(w.entries))
	e := w.entries[i]
	w.entries = slices.Delete(w.entries, i, i+1)
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(s pool.Sender) bool { return s == e.id })
	w.gone = append(slices.Clone(w.gone), e.id)
	w.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	w.counts["crashes"]++
}

// send starts work if the entry's view lets it.
func (w *world) send(e *sender) {
	if e.view.Phase != pool.Serving || len(w.work) > 20 {
		return
	}
	w.workID++
	e.inFlight++
	w.work[w.workID] = work{pool: e.view.Pool, by: e, ends: w.now.Add(w.duration(longestRun))}
	w.counts["sent"]++
}

// look updates the entry's view and sends a confirmation, late and repeated.
func (w *world) look(e *sender) {
	e.view = w.assignment()
	confirmation := pool.Confirmation{Epoch: e.view.Epoch, InFlight: e.inFlight}
	for _, m := range w.managers {
		for range w.random.IntN(3) {
			w.messages = append(w.messages, func() { m.drains.Confirm(hostName, e.id, confirmation) })
		}
	}
}

// act has a manager do something on the rows that it read last.
func (w *world) act(m *manager) {
	if m.row.Version == table.Absent || w.random.IntN(3) == 0 {
		m.row = w.read(pool.Key(hostName))
		// The roster is polled apart and can be older than the row.
		if m.roster.Version == table.Absent || w.random.IntN(15) == 0 {
			m.roster, m.members, m.gone = w.read(rosterRow), w.members, w.gone
		}
		return
	}
	current, err := pool.Decode(m.row)
	if err != nil {
		panic(err)
	}
	next := current
	switch current.Phase {
	case pool.Serving:
		if w.random.IntN(6) > 0 {
			return
		}
		target := map[string]string{"a": "b", "b": "a"}[current.Pool]
		next, err = pool.Drain(current, pool.Move, target)
	case pool.Draining:
		if w.random.IntN(30) == 0 {
			next, err = pool.Return(current)
			break
		}
		if !w.quiet(m, current) {
			return
		}
		next, err = pool.CompleteDrain(current)
		w.counts["moves"]++
	}
	if err != nil {
		panic(err)
	}
	txn, err := pool.UpdateTxn(m.row, next)
	if err != nil {
		panic(err)
	}
	if w.rules.rosterVersion {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: rosterRow, Version: m.roster.Version})
	}
	if !w.rules.rowVersion {
		txn.Conditions = txn.Conditions[1:]
	}
	if w.commit(txn) {
		m.drains.Forget(hostName)
	} else {
		m.roster = table.Row{}
	}
	m.row = table.Row{}
}

func (w *world) quiet(m *manager, current pool.Assignment) bool {
	if !w.rules.confirmations {
		return true
	}
	wait := longestRun
	if !w.rules.longestRun {
		wait = 0
	}
	return m.drains.IsDrained(w.now, current, m.members, m.gone, wait)
}

func (w *world) duration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// step does one random thing and lets the oracle judge.
func (w *world) step() {
	w.now = w.now.Add(w.duration(200 * time.Millisecond))
	for id, work := range w.work {
		if !work.ends.After(w.now) {
			work.by.inFlight--
			delete(w.work, id)
		}
	}
	e := w.entries[w.random.IntN(len(w.entries))]
	switch w.random.IntN(12) {
	case 0, 1, 2:
		if !e.paused {
			w.send(e)
		}
	case 3, 4, 5:
		for _, e := range w.entries {
			if !e.paused {
				w.look(e)
			}
		}
	case 6:
		e.paused = !e.paused && w.random.IntN(3) == 0
		w.counts["pauses"]++
	case 7:
		for range min(len(w.messages), 4) {
			// Mostly recent messages, now and then an old one again.
			recent := min(len(w.messages), 20)
			w.messages[len(w.messages)-1-w.random.IntN(recent)]()
		}
	case 8:
		switch w.random.IntN(12) {
		case 0, 1:
			if len(w.entries) < 5 {
				w.join()
			}
		case 2:
			if len(w.entries) > 2 {
				w.crash()
			}
		}
	default:
		w.act(w.managers[w.random.IntN(len(w.managers))])
	}
	w.judge()
}

// judge finds work that runs at the host for another pool than the row's.
func (w *world) judge() {
	owner := w.assignment().Pool
	for _, work := range w.work {
		if work.pool != owner {
			w.broken = "work of pool " + work.pool + " runs at a host of pool " + owner
		}
	}
}

func (w *world) run() string {
	for range steps {
		w.step()
		if w.broken != "" {
			return w.broken
		}
	}
	return ""
}

func TestHostServesOnePool(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(runs) {
		w := newWorld(seed, allRules)
		if got := w.run(); got != "" {
			t.Fatalf("seed %d: got %s, want none", seed, got)
		}
		for name, n := range w.counts {
			counts[name] += n
		}
	}
	t.Logf("%d steps: %v", runs*steps, counts)
	for _, name := range []string{"moves", "crashes", "pauses", "lost answers", "sent"} {
		if counts[name] == 0 {
			t.Errorf("%s: got 0, want some", name)
		}
	}
}

func TestOracleFindsMissingRules(t *testing.T) {
	tests := map[string]func(*rules){
		"row version":    func(r *rules) { r.rowVersion = false },
		"roster version": func(r *rules) { r.rosterVersion = false },
		"confirmations":  func(r *rules) { r.confirmations = false },
		"longest run":    func(r *rules) { r.longestRun = false },
	}
	for name, mutate := range tests {
		t.Run(name, func(t *testing.T) {
			mutated := allRules
			mutate(&mutated)
			for seed := range uint64(runs) {
				if got := newWorld(seed, mutated).run(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Errorf("violations in %d runs: got none, want one", runs)
		})
	}
}
