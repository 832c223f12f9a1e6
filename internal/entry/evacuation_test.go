package entry

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// setEvacuated replaces the evacuated data centres and lets the node learn of them.
// The entry's loops are not waited for.
func (f *fixture) setEvacuated(dataCentres ...string) {
	f.t.Helper()
	change, err := revision.Transaction(context.Background(), f.store, revision.Operation{}, func(state revision.State) (revision.State, error) {
		for _, dataCentre := range state.EvacuatedDataCentres() {
			state = state.WithoutEvacuation(dataCentre)
		}
		for _, dataCentre := range dataCentres {
			state = state.WithEvacuation(dataCentre, time.Now())
		}
		return state, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.node.Configuration().ApplyChange(change)
}

// countingEndpoints returns n handlers that count their requests.
func countingEndpoints(n int) (handlers []http.HandlerFunc, counts []*atomic.Int64) {
	for range n {
		count := &atomic.Int64{}
		counts = append(counts, count)
		handlers = append(handlers, func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			_, _ = w.Write([]byte("served"))
		})
	}
	return handlers, counts
}

// Guards against an attempt that starts in a data centre that the entry knows to be
// evacuated, a request that is held although nothing may serve it, and a refusal
// whose reason is not the cause.
func TestEvacuation(t *testing.T) {
	tests := map[string]struct {
		steps [][]string
		// wantServed tells for each endpoint whether it serves requests.
		wantServed []bool
		wantReason string
	}{
		"none":                {steps: [][]string{{}}, wantServed: []bool{true, true}},
		"one data centre":     {steps: [][]string{{"dc-1"}}, wantServed: []bool{false, true}},
		"all data centres":    {steps: [][]string{{"dc-1", "dc-2"}}, wantServed: []bool{false, false}, wantReason: api.ReasonEvacuated},
		"an unknown one":      {steps: [][]string{{"dc-7"}}, wantServed: []bool{true, true}},
		"given again":         {steps: [][]string{{"dc-1"}, {"dc-1"}}, wantServed: []bool{false, true}},
		"withdrawn":           {steps: [][]string{{"dc-1"}, {}}, wantServed: []bool{true, true}},
		"withdrawn from all":  {steps: [][]string{{"dc-1", "dc-2"}, {}}, wantServed: []bool{true, true}},
		"moves to the second": {steps: [][]string{{"dc-1"}, {"dc-2"}}, wantServed: []bool{true, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			handlers, counts := countingEndpoints(2)
			f := newFixture(t, handlers...)
			for _, dataCentres := range tc.steps {
				f.setEvacuated(dataCentres...)
			}
			for range 40 {
				f.checkAnswer(tc.wantReason)
			}
			var served []bool
			for _, count := range counts {
				served = append(served, count.Load() > 0)
			}
			if !slices.Equal(served, tc.wantServed) {
				t.Errorf("endpoints that served: got %v, want %v", served, tc.wantServed)
			}
		})
	}
}

// checkAnswer sends a request and checks that it is served or, with a reason, refused
// as not run with the time of a repeat.
func (f *fixture) checkAnswer(wantReason string) {
	f.t.Helper()
	status, _, problem, err := f.do(testRequest{})
	if err != nil {
		f.t.Fatal(err)
	}
	wantStatus, wantOutcome := http.StatusOK, api.Outcome("")
	if wantReason != "" {
		wantStatus, wantOutcome = http.StatusServiceUnavailable, api.OutcomeNotRun
	}
	if status != wantStatus || problem.Reason != wantReason || problem.Outcome != wantOutcome || (problem.RetryAfter > 0) != (wantReason != "") {
		f.t.Fatalf("got %d, %+v, want %d, reason %q", status, problem, wantStatus, wantReason)
	}
}

// Guards against requests of a busy service that are queued or stay queued after
// its last endpoint was evacuated: the scheduler's estimate of the wait follows the
// lost capacity only slowly.
func TestEvacuatedServiceHoldsNoRequest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newService("entry-1", "dc-1", 1, &outstanding{})
	endpoint := route.Endpoint{Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1, Connections: 8}
	s.setEndpoints(now, []route.Endpoint{endpoint}, 1, 0)
	s.setWeights(now, map[string]float64{"tackle": 1})
	s.tick(now)
	ticket := func(id uint64) share.Ticket {
		return share.Ticket{ID: id, Team: "tackle", Deadline: now.Add(time.Hour)}
	}
	if outcome, _ := s.submit(now, ticket(1)); outcome.Decision != share.Start {
		t.Fatalf("first ticket: got %+v, want it started", outcome)
	}
	outcome, results := s.submit(now, ticket(2))
	if outcome.Decision != share.Queued {
		t.Fatalf("second ticket: got %+v, want it queued", outcome)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		s.tick(now)
	}
	endpoint.Leaving = true
	s.setEndpoints(now, []route.Endpoint{endpoint}, 1, 0)
	s.setEvacuated(now, true)
	s.tick(now)
	select {
	case got := <-results:
		if problem := s.refusalProblem(got.retryAfter); got.granted || problem.Reason != api.ReasonEvacuated {
			t.Errorf("queued ticket: got %+v, %+v, want it refused as %s", got, problem, api.ReasonEvacuated)
		}
	default:
		t.Error("queued ticket: got no result, want it refused")
	}
	if outcome, _ := s.submit(now, ticket(3)); outcome.Decision != share.Refused {
		t.Errorf("new ticket: got %+v, want it refused", outcome)
	}
}

// Guards against a running request that is cut by the evacuation, and against a
// queued one that is held until its deadline instead of being refused at once.
func TestEvacuationWithRunningAndQueuedRequests(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-leave
		_, _ = w.Write([]byte("whole"))
	})
	f.setServiceLimit(1)
	type answer struct {
		status  int
		body    string
		problem api.Problem
	}
	send := func() <-chan answer {
		answers := make(chan answer, 1)
		go func() {
			status, body, problem, _ := f.do(testRequest{})
			answers <- answer{status, body, problem}
		}()
		return answers
	}
	running := send()
	<-entered
	queued := send()
	f.eventually("the second request is queued", func() bool { return f.entry.Snapshot().Services["orders"].Waiting == 1 })
	f.setEvacuated("dc-1")
	if got := <-queued; got.problem.Reason != api.ReasonEvacuated || got.problem.Outcome != api.OutcomeNotRun {
		t.Errorf("queued request: got %+v, want it refused as %s", got, api.ReasonEvacuated)
	}
	want := []*peerpb.HostConfirmation{{Host: "host-1", InFlight: 1}}
	if got := f.entry.evacuationConfirmations(); len(got) != 1 || got[0].GetHost() != "host-1" || got[0].GetInFlight() != 1 {
		t.Errorf("reported while it runs: got %v, want %v", got, want)
	}
	close(leave)
	if got := <-running; got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("running request: got %+v, want the whole answer", got)
	}
	f.eventually("nothing runs there", func() bool { return len(f.entry.evacuationConfirmations()) == 0 })
}

// Guards against an entry that forgets an evacuation while the table is away. Until
// its configuration is stale it serves from the other data centre.
func TestEvacuationWithoutTable(t *testing.T) {
	handlers, counts := countingEndpoints(2)
	f := newFixture(t, handlers...)
	f.setEvacuated("dc-1")
	f.store.SetFaults(table.Faults{Down: true})
	f.eventually("the configuration is stale", func() bool {
		_, _, problem, _ := f.do(testRequest{})
		return problem.Reason == "configuration-stale"
	})
	f.store.SetFaults(table.Faults{})
	f.eventually("requests are served again", func() bool {
		status, _, _, _ := f.do(testRequest{})
		return status == http.StatusOK
	})
	if got := counts[0].Load(); got != 0 {
		t.Errorf("requests in the evacuated data centre: got %d, want 0", got)
	}
}

// Guards against an evacuation that is given as the reason although the endpoints
// are away for another one.
func TestEvacuatedEndpoints(t *testing.T) {
	host := func(name, dataCentre string, state platform.State) platform.Host {
		return platform.Host{Name: name, DataCentre: dataCentre, State: state, Endpoints: []platform.Endpoint{{Service: "orders"}}}
	}
	tests := map[string]struct {
		hosts       []platform.Host
		assignments map[string]pool.Assignment
		wantLeaving []bool
		want        bool
	}{
		"evacuated":                {hosts: []platform.Host{host("a", "suva", platform.Live)}, wantLeaving: []bool{true}, want: true},
		"another is open":          {hosts: []platform.Host{host("a", "suva", platform.Live), host("b", "nadi", platform.Live)}, wantLeaving: []bool{true, false}},
		"another is drained":       {hosts: []platform.Host{host("a", "suva", platform.Live), host("b", "nadi", platform.Live)}, assignments: map[string]pool.Assignment{"b": {Phase: pool.Drained}}, wantLeaving: []bool{true, true}, want: true},
		"evacuated and rebooting":  {hosts: []platform.Host{host("a", "suva", platform.Rebooting)}, wantLeaving: []bool{true}},
		"evacuated and draining":   {hosts: []platform.Host{host("a", "suva", platform.Live)}, assignments: map[string]pool.Assignment{"a": {Phase: pool.Draining}}, wantLeaving: []bool{true}},
		"unknown data centre":      {hosts: []platform.Host{host("a", "", platform.Live)}, wantLeaving: []bool{true}, want: true},
		"open ones elsewhere only": {hosts: []platform.Host{host("b", "nadi", platform.Live)}, wantLeaving: []bool{false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &hostView{hosts: tc.hosts, assignments: tc.assignments}
			got := v.endpoints(revision.Empty().WithEvacuation("suva", time.Unix(1, 0)))["orders"]
			var leaving []bool
			for _, endpoint := range got.list {
				leaving = append(leaving, endpoint.Leaving)
			}
			if !slices.Equal(leaving, tc.wantLeaving) || got.onlyEvacuated() != tc.want {
				t.Errorf("got leaving %v, only evacuated %v, want %v, %v", leaving, got.onlyEvacuated(), tc.wantLeaving, tc.want)
			}
		})
	}
}
