package ingress_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/ingress"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// overloaded is an outlook by which a new job of the pool would end after 30 s.
func overloaded() admission.Outlook {
	return admission.Outlook{Pools: map[string]admission.PoolOutlook{
		"p": {Cores: 10, ShortFor: 10 * time.Second, AheadByPriority: []float64{100}, LateByPriority: []float64{200}},
	}}
}

// overloadPolicy has a queue with an objective.
func overloadPolicy() *policy.Policy {
	return policy.New(policy.Config{
		Queues:   []policy.Queue{{Name: "jobs", HostName: "shop.example", PathPrefix: "/jobs/", Pool: "p", MaxAttempts: 2, Stretch: 1.6, Target: time.Second}},
		Accounts: []policy.Account{{Name: "tackle", Keys: []string{"k1"}}},
		Limits:   policy.Limits{BodyBytes: 2000},
	})
}

// countingJournal counts the lines of each event.
type countingJournal struct {
	mu     sync.Mutex
	counts map[string]int
}

func (j *countingJournal) Info(event string, _ ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.counts == nil {
		j.counts = map[string]int{}
	}
	j.counts[event]++
}

func (j *countingJournal) count(event string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[event]
}

// process is an ingress of several over one store.
type process struct {
	testIngress
	journal *countingJournal
}

type processConfig struct {
	// through is the store as the process reaches it; nil means directly.
	through table.Store
	// outlook is nil if the process has heard of no leader.
	outlook    *admission.Outlook
	outlookAge time.Duration
	admitAll   bool
	rowFormat  job.RowFormat
}

// startProcess runs an ingress until the test ends.
func startProcess(t *testing.T, store *table.Memory, config processConfig) *process {
	t.Helper()
	p := &process{journal: &countingJournal{}}
	p.store, p.fleet = store, &fakeFleet{states: map[job.ID]job.State{}}
	if config.outlook != nil {
		p.fleet.outlook, p.fleet.outlookAge, p.fleet.hasOutlook = *config.outlook, config.outlookAge, true
	}
	if config.through == nil {
		config.through = store
	}
	if config.rowFormat == 0 {
		config.rowFormat = job.RowRefusal
	}
	p.handler = ingress.New(ingress.Config{
		Policy: staticPolicy{overloadPolicy()}, Store: config.through, Fleet: p.fleet, Codec: jsonCodec{}, Journal: p.journal,
		RowFormat: func() job.RowFormat { return config.rowFormat }, AdmitAll: config.admitAll,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		p.handler.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p
}

// learnVersion tells the process of the newest version of the store, as its feed of the
// operators' rows does each second.
func (p *process) learnVersion(t *testing.T) {
	t.Helper()
	p.handler.ObserveVersion(storedRow(t, p.store).Version)
}

// storedRow returns the job's row.
func storedRow(t *testing.T, store table.Store) table.Row {
	t.Helper()
	rows, err := store.Get(context.Background(), record.JobKey(someID))
	if err != nil {
		t.Fatal(err)
	}
	return rows[0]
}

// rowKind returns what a job's row is.
func rowKind(row table.Row) string {
	switch {
	case row.Version == table.Absent:
		return "none"
	case job.IsRefusal(row.Value):
		return "refusal"
	}
	submission, err := job.DecodeSubmission(row.Value)
	switch {
	case err != nil:
		return err.Error()
	case submission.Returned:
		return "returned job"
	default:
		return "job"
	}
}

// want fails the test unless a response has a status, and the job's row is of a kind.
func want(t *testing.T, what string, got *httptest.ResponseRecorder, status int, store table.Store, kind string) {
	t.Helper()
	if got.Code != status {
		t.Errorf("%s: got status %d (%s), want %d", what, got.Code, got.Body, status)
	}
	if hasRetryAfter := got.Header().Get("Retry-After") != ""; status == 503 && !hasRetryAfter {
		t.Errorf("%s: got no Retry-After, want one", what)
	}
	if got := rowKind(storedRow(t, store)); got != kind {
		t.Errorf("%s: got row %q, want %q", what, got, kind)
	}
}

func (p *process) submit() *httptest.ResponseRecorder { return p.call("POST", path, "k1", oneTask) }

func TestAdmission(t *testing.T) {
	overload := overloaded()
	label := admission.Outlook{UnavailableLabels: []string{"b"}}
	const labelled = `{"steps":[{"count":1,"requires":"b"}]}`
	tests := map[string]struct {
		config processConfig
		body   string
		want   int
		// wantRow is the kind of the job's row.
		wantRow string
	}{
		"no overload":              {config: processConfig{outlook: &admission.Outlook{}}, want: 200, wantRow: "job"},
		"overload":                 {config: processConfig{outlook: &overload}, want: 503, wantRow: "refusal"},
		"overload, persistent job": {config: processConfig{outlook: &overload}, body: `{"steps":[{"count":1,"lasting":true}]}`, want: 200, wantRow: "job"},
		"overload, scheduled job":  {config: processConfig{outlook: &overload}, body: `{"steps":[{"count":1}],"times":2}`, want: 200, wantRow: "job"},
		"overload, chain that makes 30 s tolerable": {config: processConfig{outlook: &overload}, body: `{"steps":[{"count":1,"estimate":9000000000},{"count":1,"estimate":9000000000,"after":[0]}]}`, want: 200, wantRow: "job"},
		"overload, two long steps beside":           {config: processConfig{outlook: &overload}, body: `{"steps":[{"count":1,"estimate":4000000000},{"count":1,"estimate":4000000000}]}`, want: 503, wantRow: "refusal"},
		"news of an overload that is old":           {config: processConfig{outlook: &overload, outlookAge: 4 * time.Second}, want: 200, wantRow: "job"},
		"no news":                                   {want: 200, wantRow: "job"},
		"overload, admission off":                   {config: processConfig{outlook: &overload, admitAll: true}, want: 200, wantRow: "job"},
		"overload, a member of an earlier version":  {config: processConfig{outlook: &overload, rowFormat: job.RowDeflated}, want: 200, wantRow: "job"},
		"no endpoint has the label":                 {config: processConfig{outlook: &label}, body: labelled, want: 503, wantRow: "refusal"},
		"no endpoint has another label":             {config: processConfig{outlook: &label}, want: 200, wantRow: "job"},
		"no data centre":                            {config: processConfig{outlook: &admission.Outlook{NoDataCentre: true}}, want: 503, wantRow: "refusal"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := table.NewMemory()
			p := startProcess(t, store, test.config)
			body := test.body
			if body == "" {
				body = oneTask
			}
			want(t, "submission", p.call("POST", path, "k1", body), test.want, store, test.wantRow)
			if got := p.fleet.acceptedCount() > 0; got && test.want != 200 {
				t.Error("the leader was notified of a refused job")
			}
		})
	}
}

// A refused job is not known, and returns once: it is then marked and not refused for
// load again.
func TestRefusedJobReturns(t *testing.T) {
	store, overload := table.NewMemory(), overloaded()
	first := startProcess(t, store, processConfig{outlook: &overload})
	want(t, "submission", first.submit(), 503, store, "refusal")
	if got := first.journal.count("request refused for load"); got != 1 {
		t.Errorf("lines of the refusal: got %d, want 1", got)
	}
	want(t, "state of a refused job", first.call("GET", path, "k1", ""), 410, store, "refusal")
	want(t, "cancel of a refused job", first.call("DELETE", path, "k1", ""), 410, store, "refusal")
	second := startProcess(t, store, processConfig{outlook: &overload})
	second.learnVersion(t)
	want(t, "return to another process", second.submit(), 200, store, "returned job")
	want(t, "repeat", first.submit(), 200, store, "returned job")
	if got := second.fleet.acceptedCount(); got != 1 {
		t.Errorf("jobs that the leader was notified of: got %d, want 1", got)
	}
}

// A refused job that returns when it can be served is marked as well.
func TestRefusedJobReturnsAfterOverload(t *testing.T) {
	store, overload := table.NewMemory(), overloaded()
	want(t, "submission", startProcess(t, store, processConfig{outlook: &overload}).submit(), 503, store, "refusal")
	calm := startProcess(t, store, processConfig{outlook: &admission.Outlook{}})
	calm.learnVersion(t)
	want(t, "return", calm.submit(), 200, store, "returned job")
}

// Guards against a job that is refused again and again by a process that does not reach
// the store's feed: it takes the first return for an attempt of before the refusal.
func TestReturnToProcessWithoutFeed(t *testing.T) {
	store, overload := table.NewMemory(), overloaded()
	want(t, "submission", startProcess(t, store, processConfig{outlook: &overload}).submit(), 503, store, "refusal")
	isolated := startProcess(t, store, processConfig{})
	want(t, "first return", isolated.submit(), 503, store, "refusal")
	want(t, "second return", isolated.submit(), 200, store, "returned job")
}

// A job that no endpoint may run is refused as often as it returns.
func TestUnavailableJobIsRefusedAgain(t *testing.T) {
	store := table.NewMemory()
	p := startProcess(t, store, processConfig{outlook: &admission.Outlook{NoDataCentre: true}})
	want(t, "submission", p.submit(), 503, store, "refusal")
	first := storedRow(t, store).Version
	p.learnVersion(t)
	want(t, "return", p.submit(), 503, store, "refusal")
	if got := storedRow(t, store).Version; got <= first {
		t.Errorf("version of the refusal: got %d, want more than %d, so that attempts to replace the first one fail", got, first)
	}
}

// delayedStore executes the first transaction only when told, and reports its answer as
// lost meanwhile.
type delayedStore struct {
	*table.Memory
	once    sync.Once
	waiting chan table.Txn
	// resume lets the caller of the first transaction go on.
	resume chan struct{}
}

func newDelayedStore(store *table.Memory) *delayedStore {
	return &delayedStore{Memory: store, waiting: make(chan table.Txn, 1), resume: make(chan struct{})}
}

func (s *delayedStore) Commit(ctx context.Context, txn table.Txn) error {
	isFirst := false
	s.once.Do(func() { isFirst = true })
	if !isFirst {
		return s.Memory.Commit(ctx, txn)
	}
	s.waiting <- txn
	<-s.resume
	return table.ErrUnknown
}

// Guards against a job that runs although its caller was told that it will not: the
// caller repeats a request under the same ID at another process, which refuses it, while
// the transaction of the first attempt is still on its way to the store.
func TestRefusalPreventsEarlierAttempt(t *testing.T) {
	tests := map[string]struct {
		// isExecutedFirst is true if the transaction is executed before the repeat.
		isExecutedFirst bool
		wantRepeat      int
		wantFirst       int
		wantRow         string
	}{
		"executed after the refusal":  {wantRepeat: 503, wantFirst: 503, wantRow: "refusal"},
		"executed before the refusal": {isExecutedFirst: true, wantRepeat: 200, wantFirst: 200, wantRow: "job"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, overload := table.NewMemory(), overloaded()
			delayed := newDelayedStore(store)
			first := startProcess(t, store, processConfig{through: delayed})
			second := startProcess(t, store, processConfig{outlook: &overload})
			answered := make(chan *httptest.ResponseRecorder, 1)
			go func() { answered <- first.submit() }()
			txn := <-delayed.waiting
			execute := func() { _ = store.Commit(context.Background(), txn) } // its answer is lost
			if test.isExecutedFirst {
				execute()
			}
			want(t, "repeat", second.submit(), test.wantRepeat, store, test.wantRow)
			if !test.isExecutedFirst {
				execute()
			}
			close(delayed.resume)
			want(t, "first attempt", <-answered, test.wantFirst, store, test.wantRow)
			first.learnVersion(t)
			if test.wantRow == "refusal" {
				want(t, "return", first.submit(), 200, store, "returned job")
			}
		})
	}
}

// Guards against the same, if the first attempt is a return that replaces a refusal.
func TestRenewedRefusalPreventsEarlierReturn(t *testing.T) {
	store := table.NewMemory()
	unavailable := startProcess(t, store, processConfig{outlook: &admission.Outlook{NoDataCentre: true}})
	want(t, "submission", unavailable.submit(), 503, store, "refusal")
	unavailable.learnVersion(t)
	delayed := newDelayedStore(store)
	returning := startProcess(t, store, processConfig{through: &secondCommit{delayedStore: delayed}})
	returning.learnVersion(t)
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() { answered <- returning.submit() }()
	txn := <-delayed.waiting
	want(t, "repeat", unavailable.submit(), 503, store, "refusal")
	_ = store.Commit(context.Background(), txn) // its answer is lost
	close(delayed.resume)
	want(t, "earlier return", <-answered, 503, store, "refusal")
}

// secondCommit delays the second transaction: the first one learns of the refusal.
type secondCommit struct {
	*delayedStore
	first sync.Once
}

func (s *secondCommit) Commit(ctx context.Context, txn table.Txn) error {
	isFirst := false
	s.first.Do(func() { isFirst = true })
	if isFirst {
		return s.Memory.Commit(ctx, txn)
	}
	return s.delayedStore.Commit(ctx, txn)
}

// Guards against a caller who is told of a refusal that is not stored, and against a
// second refusal of a job whose first one did not reach its caller.
func TestLostAnswerOfRefusal(t *testing.T) {
	store, overload := table.NewMemory(), overloaded()
	p := startProcess(t, store, processConfig{outlook: &overload})
	store.SetFaults(table.Faults{LoseAnswers: true})
	want(t, "submission", p.submit(), 503, store, "refusal")
	store.SetFaults(table.Faults{})
	p.learnVersion(t)
	// The caller has not read the answer.
	want(t, "repeat", p.submit(), 200, store, "returned job")
}

// Guards against refusals for load that are not stored: with a store that is away an
// earlier attempt may still store the job.
func TestNoRefusalForLoadWithoutStore(t *testing.T) {
	tests := map[string]struct {
		through func(*table.Memory) table.Store
		faults  table.Faults
		want    int
	}{
		"store is away":            {faults: table.Faults{Down: true}, want: 503},
		"store executes no commit": {through: func(store *table.Memory) table.Store { return lostAnswerStore{store} }, want: 504},
		"conflict, and then away":  {through: func(store *table.Memory) table.Store { return conflictStore{store} }, want: 504},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, overload := table.NewMemory(), overloaded()
			config := processConfig{outlook: &overload}
			if test.through != nil {
				config.through = test.through(store)
			}
			p := startProcess(t, store, config)
			store.SetFaults(test.faults)
			got := p.submit()
			store.SetFaults(table.Faults{})
			want(t, "submission", got, test.want, store, "none")
			if lines := p.journal.count("request refused for load"); lines != 0 || strings.Contains(got.Body.String(), "more work") {
				t.Errorf("refusals for load: got %d lines and reason %q, want none", lines, got.Body)
			}
		})
	}
}

// conflictStore reports a conflict of each commit, and answers no read.
type conflictStore struct{ table.Store }

func (conflictStore) Commit(_ context.Context, txn table.Txn) error {
	return &table.ConflictError{Key: txn.Conditions[0].Key, Got: 9}
}

func (conflictStore) Get(context.Context, ...string) ([]table.Row, error) {
	return nil, table.ErrUnavailable
}

// Guards against the loss of a job that a leader had been told of before it died: the
// row is stored before the answer, and nothing is refused by the news of a dead leader.
func TestLeaderAcceptsAndDies(t *testing.T) {
	store, overload := table.NewMemory(), overloaded()
	p := startProcess(t, store, processConfig{outlook: &admission.Outlook{}})
	want(t, "submission", p.submit(), 200, store, "job")
	p.fleet.mu.Lock()
	p.fleet.isDown, p.fleet.outlook, p.fleet.outlookAge = true, overload, 3100*time.Millisecond
	p.fleet.mu.Unlock()
	want(t, "repeat", p.submit(), 200, store, "job")
	for _, id := range []string{"5c0e7a21d94b36f9", "5c0e7a21d94b36fa"} {
		if got := p.call("POST", "/jobs/"+id, "k1", oneTask).Code; got != 200 {
			t.Errorf("status of the next job: got %d, want 200", got)
		}
	}
	if got := p.journal.count("admission without news of the leader"); got != 1 {
		t.Errorf("lines of the outage: got %d, want 1", got)
	}
}
