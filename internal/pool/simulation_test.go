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

// safeguards are the conditions that protect a move. A mutation removes one.
type safeguards struct {
	rowVersion, rosterVersion, confirmations, longestRun bool
}

var allSafeguards = safeguards{true, true, true, true}

// simulation simulates one host, entries that send work to it, and managers that
// move it between pools. It is also the oracle: work holds what really runs on
// the host.
type simulation struct {
	random       *rand.Rand
	safeguards   safeguards
	now          time.Time
	store        *table.Memory
	incarnations uint64
	entries      []*sender
	members      []pool.Sender
	gone         []pool.Sender
	managers     []*manager
	messages     []func()
	work         map[int]work
	workID       int
	counts       map[string]int
	violation    string
}

// sender is an entry with its view of the host's assignment.
type sender struct {
	id       pool.Sender
	view     pool.Assignment
	inFlight int
	paused   bool
}

// work is one request that runs on the host.
type work struct {
	pool   string
	sentBy *sender
	ends   time.Time
}

// manager acts on rows that it read some time ago and that may be stale.
type manager struct {
	drains  *pool.DrainTracker
	row     table.Row
	roster  table.Row
	members []pool.Sender
	gone    []pool.Sender
}

func newSimulation(seed uint64, safeguards safeguards) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), safeguards: safeguards, now: time.Unix(1000, 0),
		store: table.NewMemory(), work: make(map[int]work), counts: make(map[string]int),
	}
	first, err := json.Marshal(pool.Assign(hostName, "a"))
	if err != nil {
		panic(err)
	}
	w.commit(table.Txn{Writes: []table.Write{{Key: pool.Key(hostName), Value: first}, {Key: rosterRow}}})
	for range 3 {
		w.addEntry()
	}
	for range 2 {
		w.managers = append(w.managers, &manager{drains: pool.NewDrainTracker()})
	}
	return w
}

func (w *simulation) commit(txn table.Txn) bool {
	w.store.SetFaults(table.Faults{LoseAnswers: w.random.IntN(10) == 0})
	defer w.store.SetFaults(table.Faults{})
	err := w.store.Commit(context.Background(), txn)
	if table.IsUnknown(err) {
		w.counts["lost answers"]++
	}
	return err == nil
}

func (w *simulation) read(key string) table.Row {
	rows, err := w.store.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return rows[0]
}

func (w *simulation) assignment() pool.Assignment {
	a, err := pool.Decode(w.read(pool.Key(hostName)))
	if err != nil {
		panic(err)
	}
	return a
}

// addEntry adds an entry, which joins the roster before it reads the row.
func (w *simulation) addEntry() {
	w.incarnations++
	e := &sender{id: pool.Sender{Name: "entry", Incarnation: w.incarnations}}
	w.members = append(w.members, e.id)
	w.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	e.view = w.assignment()
	w.entries = append(w.entries, e)
}

// crashEntry removes a random entry from the roster; its work continues to run.
func (w *simulation) crashEntry() {
	i := w.random.IntN(len(w.entries))
	e := w.entries[i]
	w.entries = slices.Delete(w.entries, i, i+1)
	w.members = slices.DeleteFunc(slices.Clone(w.members), func(s pool.Sender) bool { return s == e.id })
	w.gone = append(slices.Clone(w.gone), e.id)
	w.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	w.counts["crashes"]++
}

// send starts work if the entry's view of the assignment allows it.
func (w *simulation) send(e *sender) {
	if e.view.Phase != pool.Serving || len(w.work) > 20 {
		return
	}
	w.workID++
	e.inFlight++
	w.work[w.workID] = work{pool: e.view.Pool, sentBy: e, ends: w.now.Add(w.duration(longestRun))}
	w.counts["sent"]++
}

// refreshView updates the entry's view and queues confirmations, which may be
// lost, repeated or delivered late.
func (w *simulation) refreshView(e *sender) {
	e.view = w.assignment()
	confirmation := pool.Confirmation{Epoch: e.view.Epoch, InFlight: e.inFlight}
	for _, m := range w.managers {
		for range w.random.IntN(3) {
			w.messages = append(w.messages, func() { m.drains.Confirm(hostName, e.id, confirmation) })
		}
	}
}

// stepManager lets a manager read the rows, or act on those that it read last.
func (w *simulation) stepManager(m *manager) {
	if m.row.Version == table.Absent || w.random.IntN(3) == 0 {
		m.row = w.read(pool.Key(hostName))
		// The roster is polled separately and can be older than the row.
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
		if !w.isDrained(m, current) {
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
	if w.safeguards.rosterVersion {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: rosterRow, Version: m.roster.Version})
	}
	if !w.safeguards.rowVersion {
		txn.Conditions = txn.Conditions[1:]
	}
	if w.commit(txn) {
		m.drains.Forget(hostName)
	} else {
		m.roster = table.Row{}
	}
	m.row = table.Row{}
}

func (w *simulation) isDrained(m *manager, current pool.Assignment) bool {
	if !w.safeguards.confirmations {
		return true
	}
	wait := longestRun
	if !w.safeguards.longestRun {
		wait = 0
	}
	return m.drains.IsDrained(w.now, current, m.members, m.gone, wait)
}

func (w *simulation) duration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// step performs one random action and checks the invariant.
func (w *simulation) step() {
	w.now = w.now.Add(w.duration(200 * time.Millisecond))
	for id, work := range w.work {
		if !work.ends.After(w.now) {
			work.sentBy.inFlight--
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
				w.refreshView(e)
			}
		}
	case 6:
		e.paused = !e.paused && w.random.IntN(3) == 0
		w.counts["pauses"]++
	case 7:
		for range min(len(w.messages), 4) {
			// Deliver recent messages, some of them repeatedly.
			recent := min(len(w.messages), 20)
			w.messages[len(w.messages)-1-w.random.IntN(recent)]()
		}
	case 8:
		switch w.random.IntN(12) {
		case 0, 1:
			if len(w.entries) < 5 {
				w.addEntry()
			}
		case 2:
			if len(w.entries) > 2 {
				w.crashEntry()
			}
		}
	default:
		w.stepManager(w.managers[w.random.IntN(len(w.managers))])
	}
	w.checkOwnership()
}

// checkOwnership records a violation if work of a pool other than the row's runs
// on the host.
func (w *simulation) checkOwnership() {
	owner := w.assignment().Pool
	for _, work := range w.work {
		if work.pool != owner {
			w.violation = "work of pool " + work.pool + " runs on a host of pool " + owner
		}
	}
}

func (w *simulation) run() string {
	for range steps {
		w.step()
		if w.violation != "" {
			return w.violation
		}
	}
	return ""
}

// TestHostServesOnePool checks that a host never runs work of two pools, while
// entries crash and pause, commits lose their answers and messages arrive late.
func TestHostServesOnePool(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(runs) {
		w := newSimulation(seed, allSafeguards)
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

// TestOracleDetectsMissingSafeguards checks that the simulation finds a
// violation when any one safeguard is removed.
func TestOracleDetectsMissingSafeguards(t *testing.T) {
	tests := map[string]func(*safeguards){
		"row version":    func(r *safeguards) { r.rowVersion = false },
		"roster version": func(r *safeguards) { r.rosterVersion = false },
		"confirmations":  func(r *safeguards) { r.confirmations = false },
		"longest run":    func(r *safeguards) { r.longestRun = false },
	}
	for name, mutate := range tests {
		t.Run(name, func(t *testing.T) {
			mutated := allSafeguards
			mutate(&mutated)
			for seed := range uint64(runs) {
				if got := newSimulation(seed, mutated).run(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Errorf("violations in %d runs: got none, want one", runs)
		})
	}
}
