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
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), safeguards: safeguards, now: time.Unix(1000, 0),
		store: table.NewMemory(), work: make(map[int]work), counts: make(map[string]int),
	}
	first, err := json.Marshal(pool.Assign(hostName, "a"))
	if err != nil {
		panic(err)
	}
	s.commit(table.Txn{Writes: []table.Write{{Key: pool.Key(hostName), Value: first}, {Key: rosterRow}}})
	for range 3 {
		s.addEntry()
	}
	for range 2 {
		s.managers = append(s.managers, &manager{drains: pool.NewDrainTracker()})
	}
	return s
}

func (s *simulation) commit(txn table.Txn) bool {
	s.store.SetFaults(table.Faults{LoseAnswers: s.random.IntN(10) == 0})
	defer s.store.SetFaults(table.Faults{})
	err := s.store.Commit(context.Background(), txn)
	if table.IsUnknown(err) {
		s.counts["lost answers"]++
	}
	return err == nil
}

func (s *simulation) read(key string) table.Row {
	rows, err := s.store.Get(context.Background(), key)
	if err != nil {
		panic(err)
	}
	return rows[0]
}

func (s *simulation) assignment() pool.Assignment {
	a, err := pool.Decode(s.read(pool.Key(hostName)))
	if err != nil {
		panic(err)
	}
	return a
}

// addEntry adds an entry, which joins the roster before it reads the row.
func (s *simulation) addEntry() {
	s.incarnations++
	e := &sender{id: pool.Sender{Name: "entry", Incarnation: s.incarnations}}
	s.members = append(s.members, e.id)
	s.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	e.view = s.assignment()
	s.entries = append(s.entries, e)
}

// crashEntry removes a random entry from the roster; its work continues to run.
func (s *simulation) crashEntry() {
	i := s.random.IntN(len(s.entries))
	e := s.entries[i]
	s.entries = slices.Delete(s.entries, i, i+1)
	s.members = slices.DeleteFunc(slices.Clone(s.members), func(member pool.Sender) bool { return member == e.id })
	s.gone = append(slices.Clone(s.gone), e.id)
	s.commit(table.Txn{Writes: []table.Write{{Key: rosterRow}}})
	s.counts["crashes"]++
}

// send starts work if the entry's view of the assignment allows it.
func (s *simulation) send(e *sender) {
	if e.view.Phase != pool.Serving || len(s.work) > 20 {
		return
	}
	s.workID++
	e.inFlight++
	s.work[s.workID] = work{pool: e.view.Pool, sentBy: e, ends: s.now.Add(s.duration(longestRun))}
	s.counts["sent"]++
}

// refreshView updates the entry's view and queues confirmations, which may be
// lost, repeated or delivered late.
func (s *simulation) refreshView(e *sender) {
	e.view = s.assignment()
	confirmation := pool.Confirmation{Epoch: e.view.Epoch, InFlight: e.inFlight}
	for _, m := range s.managers {
		for range s.random.IntN(3) {
			s.messages = append(s.messages, func() { m.drains.Confirm(hostName, e.id, confirmation) })
		}
	}
}

// stepManager lets a manager read the rows, or act on those that it read last.
func (s *simulation) stepManager(m *manager) {
	if m.row.Version == table.Absent || s.random.IntN(3) == 0 {
		m.row = s.read(pool.Key(hostName))
		// The roster is polled separately and can be older than the row.
		if m.roster.Version == table.Absent || s.random.IntN(15) == 0 {
			m.roster, m.members, m.gone = s.read(rosterRow), s.members, s.gone
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
		if s.random.IntN(6) > 0 {
			return
		}
		target := map[string]string{"a": "b", "b": "a"}[current.Pool]
		next, err = pool.Drain(current, pool.Move, target)
	case pool.Draining:
		if s.random.IntN(30) == 0 {
			next, err = pool.Return(current)
			break
		}
		if !s.isDrained(m, current) {
			return
		}
		next, err = pool.CompleteDrain(current)
		s.counts["moves"]++
	}
	if err != nil {
		panic(err)
	}
	txn, err := pool.UpdateTxn(m.row, next)
	if err != nil {
		panic(err)
	}
	if s.safeguards.rosterVersion {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: rosterRow, Version: m.roster.Version})
	}
	if !s.safeguards.rowVersion {
		txn.Conditions = txn.Conditions[1:]
	}
	if s.commit(txn) {
		m.drains.Forget(hostName)
	} else {
		m.roster = table.Row{}
	}
	m.row = table.Row{}
}

func (s *simulation) isDrained(m *manager, current pool.Assignment) bool {
	if !s.safeguards.confirmations {
		return true
	}
	wait := longestRun
	if !s.safeguards.longestRun {
		wait = 0
	}
	return m.drains.IsDrained(s.now, current, m.members, m.gone, wait)
}

func (s *simulation) duration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// step performs one random action and checks the invariant.
func (s *simulation) step() {
	s.now = s.now.Add(s.duration(200 * time.Millisecond))
	for id, work := range s.work {
		if !work.ends.After(s.now) {
			work.sentBy.inFlight--
			delete(s.work, id)
		}
	}
	e := s.entries[s.random.IntN(len(s.entries))]
	switch s.random.IntN(12) {
	case 0, 1, 2:
		if !e.paused {
			s.send(e)
		}
	case 3, 4, 5:
		for _, e := range s.entries {
			if !e.paused {
				s.refreshView(e)
			}
		}
	case 6:
		e.paused = !e.paused && s.random.IntN(3) == 0
		s.counts["pauses"]++
	case 7:
		for range min(len(s.messages), 4) {
			// Deliver recent messages, some of them repeatedly.
			recent := min(len(s.messages), 20)
			s.messages[len(s.messages)-1-s.random.IntN(recent)]()
		}
	case 8:
		switch s.random.IntN(12) {
		case 0, 1:
			if len(s.entries) < 5 {
				s.addEntry()
			}
		case 2:
			if len(s.entries) > 2 {
				s.crashEntry()
			}
		}
	default:
		s.stepManager(s.managers[s.random.IntN(len(s.managers))])
	}
	s.checkOwnership()
}

// checkOwnership records a violation if work of a pool other than the row's runs
// on the host.
func (s *simulation) checkOwnership() {
	owner := s.assignment().Pool
	for _, work := range s.work {
		if work.pool != owner {
			s.violation = "work of pool " + work.pool + " runs on a host of pool " + owner
		}
	}
}

func (s *simulation) run() string {
	for range steps {
		s.step()
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

// TestHostServesOnePool checks that a host never runs work of two pools, while
// entries crash and pause, commits lose their answers and messages arrive late.
func TestHostServesOnePool(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(runs) {
		s := newSimulation(seed, allSafeguards)
		if got := s.run(); got != "" {
			t.Fatalf("seed %d: got %s, want none", seed, got)
		}
		for name, n := range s.counts {
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
		"row version":    func(s *safeguards) { s.rowVersion = false },
		"roster version": func(s *safeguards) { s.rosterVersion = false },
		"confirmations":  func(s *safeguards) { s.confirmations = false },
		"longest run":    func(s *safeguards) { s.longestRun = false },
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
