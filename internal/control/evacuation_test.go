package control

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const testEvacuationPrefix = "op//test-evacuations/"

// testEvacuationRows decodes the rows of these tests.
type testEvacuationRows struct{}

func (testEvacuationRows) Prefix() string { return testEvacuationPrefix }

func (testEvacuationRows) Decode(rows []table.Row, version uint64) evacuation.Set {
	var dataCentres []string
	for _, row := range rows {
		dataCentres = append(dataCentres, strings.TrimPrefix(row.Key, testEvacuationPrefix))
	}
	return evacuation.NewSet(version, dataCentres...)
}

// refusingFeed is the feed of a process that does not reach the store.
type refusingFeed struct{ Feed }

func (refusingFeed) ScanAt(context.Context, string) ([]table.Row, uint64, error) {
	return nil, 0, table.ErrUnavailable
}

// directFeed reads a store that is at a version.
type directFeed struct {
	Feed
	rows    table.Store
	version uint64
}

func (f directFeed) ScanAt(ctx context.Context, prefix string) ([]table.Row, uint64, error) {
	rows, err := f.rows.Scan(ctx, prefix)
	return rows, f.version, err
}

// Guards against a new leader that starts tasks in an evacuated data centre since it has not read
// the request, or since a peer's view is older than the rows that it has read.
func TestNewLeaderReadsEvacuations(t *testing.T) {
	tests := map[string]struct {
		// isRefused is true if the store answers only peers.
		isRefused bool
		// held is what the process's holder has.
		held evacuation.Set
		// rows are the requests in the store, which is at version 9, written from version 5 on.
		rows       []string
		wantStarts int
		want       []string
	}{
		"no request":                            {wantStarts: 1},
		"in the store":                          {rows: []string{"suva"}, want: []string{"suva"}},
		"in the store, through a peer":          {isRefused: true, rows: []string{"suva"}, want: []string{"suva"}},
		"another data centre":                   {rows: []string{"nadi"}, want: []string{"nadi"}, wantStarts: 1},
		"withdrawn since the holder's set":      {held: evacuation.NewSet(3, "suva"), wantStarts: 1},
		"requested since the holder's set":      {held: evacuation.NewSet(3), rows: []string{"suva"}, want: []string{"suva"}},
		"requested since, through a peer":       {isRefused: true, held: evacuation.NewSet(3), rows: []string{"suva"}, want: []string{"suva"}},
		"holder's set is newer":                 {held: evacuation.NewSet(12, "suva"), want: []string{"suva"}},
		"withdrawal in the holder's set":        {held: evacuation.NewSet(12), rows: []string{"suva"}, wantStarts: 1},
		"holder's set is newer, through a peer": {isRefused: true, held: evacuation.NewSet(12, "suva"), want: []string{"suva"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			rows := storeWithRequests(t, test.rows)
			var feed Feed = directFeed{rows: rows, version: 9}
			if test.isRefused {
				feed = refusingFeed{}
			}
			holder := evacuation.New(evacuation.Config{Journal: discardJournal{}})
			holder.Update(test.held, "test")
			control := New(Config{Store: rows, Feed: feed, Journal: discardJournal{}, Evacuations: holder, EvacuationRows: testEvacuationRows{}})
			loading := newTerm(ctx, control, record.Claim{Token: 1}, 1)
			read, err := loading.readRows()
			if err != nil {
				t.Fatal(err)
			}
			loading.initLeader(read)
			if got := holder.Current().DataCentres; !slices.Equal(got, test.want) {
				t.Errorf("evacuated: got %v, want %v", got, test.want)
			}
			now := time.Now()
			addEndpointAndJob(loading.leader, now)
			if got := len(loading.leader.Step(now, now).Starts); got != test.wantStarts {
				t.Errorf("starts: got %d, want %d", got, test.wantStarts)
			}
		})
	}
}

// storeWithRequests returns a store with evacuation requests of version 5 and later.
func storeWithRequests(t *testing.T, dataCentres []string) *table.Memory {
	t.Helper()
	keys := []string{"t/p/k", "t/p/k", "t/p/k", "t/p/k"}
	for _, dataCentre := range dataCentres {
		keys = append(keys, testEvacuationPrefix+dataCentre)
	}
	rows := table.NewMemory()
	for _, key := range keys {
		if err := rows.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	return rows
}

// addEndpointAndJob adds an endpoint in Suva that can take the one task of a new job.
func addEndpointAndJob(leader *fleet.Leader, now time.Time) {
	leader.SetPolicy(policy.New(policy.Config{
		Queues: []policy.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []policy.Pool{{Name: "p", Guarded: true}},
	}))
	row := endpointRow(1000)
	row.DataCentre = "suva"
	leader.UpdateEndpoint(row, now)
	leader.HandleReport("i-1", fleet.LeaseRenewal{}, now, fleet.Report{Clock: time.Hour, StartedAt: time.UnixMilli(1000)}, now)
	leader.ConfirmLeadership(now)
	leader.AddJob(&job.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", Steps: []job.Step{
		{Count: 1, Resources: policy.Resources{CPU: 500, Memory: 256}},
	}}, now, now)
}

// Guards against starts that are decided before the request and sent after it: the request comes
// while the start waits for its endpoint, and no step has been taken since.
func TestQueuedStartInEvacuatedDataCentre(t *testing.T) {
	tests := map[string]struct {
		updates []evacuation.Set
		want    int
	}{
		"no request":          {want: 1},
		"requested":           {updates: []evacuation.Set{evacuation.NewSet(5, "suva")}},
		"requested elsewhere": {updates: []evacuation.Set{evacuation.NewSet(5, "nadi")}, want: 1},
		"requested and withdrawn": {
			updates: []evacuation.Set{evacuation.NewSet(5, "suva"), evacuation.NewSet(6)}, want: 1,
		},
		"older view without the request": {
			updates: []evacuation.Set{evacuation.NewSet(5, "suva"), evacuation.NewSet(4)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := &recordingEndpoints{}
			holder := evacuation.New(evacuation.Config{Journal: discardJournal{}})
			control := New(Config{Store: table.NewMemory(), Endpoints: endpoints, Journal: discardJournal{}, Evacuations: holder})
			current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
			now := time.Now()
			current.leader.Load(nil, now, now)
			addEndpointAndJob(current.leader, now)
			orders := current.leader.Step(now, now)
			if len(orders.Starts) != 1 {
				t.Fatalf("starts: got %d, want 1", len(orders.Starts))
			}
			for _, set := range test.updates {
				holder.Update(set, "test")
			}
			session := &endpointSession{term: current, id: "i-1", wake: make(chan struct{}, 1)}
			reply, isLeader := session.sendStart(context.Background(), orders.Starts[0], time.Now())
			if got := len(endpoints.started); got != test.want || !isLeader {
				t.Errorf("starts sent: got %d, want %d", got, test.want)
			}
			if got := reply.Outcome == fleet.OrderNotSent; got == (test.want == 1) {
				t.Errorf("outcome: got %q, want one that says whether it was sent (%t)", reply.Outcome, test.want == 1)
			}
		})
	}
}

// Guards against a hello that waits for the decisions of a busy leader, or for a term that ends:
// sets come with hellos.
func TestChangeOfEvacuationsDoesNotWait(t *testing.T) {
	var control *Control
	holder := evacuation.New(evacuation.Config{Journal: discardJournal{}, OnChange: func(evacuation.Set) { control.EvacuationsChanged() }})
	control = New(Config{Store: table.NewMemory(), Journal: discardJournal{}, Evacuations: holder})
	holder.Update(evacuation.NewSet(1, "suva"), "test")
	control.term = newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
	control.term.mu.Lock()
	defer control.term.mu.Unlock()
	updated := make(chan bool, 1)
	go func() { updated <- holder.Update(evacuation.NewSet(2), "test") }()
	select {
	case <-updated:
	case <-time.After(10 * time.Second):
		t.Fatal("an update waits while the leader decides")
	}
	select {
	case <-control.term.wakeStep:
	default:
		t.Error("step requested: got false, want true")
	}
}

// Guards against operators who do not see how many runs are left, or still see those of a request
// that was withdrawn, and against names of data centres that no metric can have.
func TestEvacuationMetrics(t *testing.T) {
	for _, dataCentre := range []string{"suva", `su"va\{x="y"} ` + "\n\x00"} {
		control := New(Config{Store: table.NewMemory(), Journal: discardJournal{}})
		current := newTerm(context.Background(), control, record.Claim{Token: 1}, 1)
		now := time.Now()
		current.leader.Load(nil, now, now)
		addEndpointAndJob(current.leader, now)
		current.leader.Step(now, now)
		steps := []struct {
			evacuate []string
			want     string
		}{
			{evacuate: []string{dataCentre}, want: runsLeftMetric(dataCentre)},
			{},
		}
		for _, step := range steps {
			now = now.Add(time.Second)
			current.leader.SetEvacuations(step.evacuate, now)
			current.measureEvacuations(now)
			var got []string
			for _, name := range metrics.ListMetricNames() {
				if strings.HasPrefix(name, "evacuation_runs_left") {
					got = append(got, name)
				}
			}
			if strings.Join(got, " ") != step.want {
				t.Errorf("metrics while %q are evacuated: got %q, want %q", step.evacuate, got, step.want)
			}
		}
	}
}
