package operator_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// hosts has one host in each of the data centres.
type hosts struct {
	store       table.Store
	dataCentres []string
	err         error
}

func (h *hosts) Hosts(context.Context) ([]api.Host, error) {
	var list []api.Host
	for _, dataCentre := range h.dataCentres {
		list = append(list, api.Host{Name: "host", DataCentre: dataCentre})
	}
	return list, h.err
}

func (h *hosts) DrainHost(_ context.Context, name string, _ pool.Purpose, target string) (api.Host, error) {
	return api.Host{}, &pool.EvacuatedError{Host: name, DataCentre: "suva", Target: target}
}

func (h *hosts) ReturnHost(context.Context, string) (api.Host, error) {
	return api.Host{}, operator.ErrNotFound
}

func (h *hosts) Evacuations(ctx context.Context) ([]api.Evacuation, error) {
	state, err := revision.Load(ctx, h.store)
	var list []api.Evacuation
	for _, dataCentre := range state.EvacuatedDataCentres() {
		evacuation := state.Evacuations[dataCentre]
		list = append(list, api.Evacuation{DataCentre: dataCentre, Since: evacuation.Since, Revision: evacuation.Revision})
	}
	return list, err
}

// evacuationCall is one call of the API: a start, or a stop.
type evacuationCall struct {
	stop       bool
	dataCentre string
}

func (c evacuationCall) send(operators *client.Client) (api.ChangeResponse, error) {
	if c.stop {
		return operators.StopEvacuation(context.Background(), c.dataCentre, "")
	}
	return operators.StartEvacuation(context.Background(), c.dataCentre, "")
}

// Guards against an answer that does not tell the truth about an evacuation: a
// repeat that counts as a change, or a refused call that took effect.
func TestEvacuationCalls(t *testing.T) {
	start := func(dataCentre string) evacuationCall { return evacuationCall{dataCentre: dataCentre} }
	stop := func(dataCentre string) evacuationCall { return evacuationCall{stop: true, dataCentre: dataCentre} }
	tests := map[string]struct {
		before        []evacuationCall
		call          evacuationCall
		want          []string
		wantUnchanged bool
		wantWarning   bool
	}{
		"given":                         {call: start("suva"), want: []string{"suva"}},
		"given again":                   {before: []evacuationCall{start("suva")}, call: start("suva"), want: []string{"suva"}, wantUnchanged: true},
		"all data centres":              {before: []evacuationCall{start("suva")}, call: start("nadi"), want: []string{"nadi", "suva"}, wantWarning: true},
		"withdrawn":                     {before: []evacuationCall{start("suva")}, call: stop("suva")},
		"withdrawn without being given": {call: stop("suva"), wantUnchanged: true},
		"withdrawn for an unknown one":  {call: stop("savu"), wantUnchanged: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			for _, before := range tc.before {
				must(before.send(s.client))(t)
			}
			got := must(tc.call.send(s.client))(t)
			if !got.Accepted || got.Unchanged != tc.wantUnchanged || (got.Warning != "") != tc.wantWarning {
				t.Errorf("got %+v, want unchanged %v, a warning %v", got, tc.wantUnchanged, tc.wantWarning)
			}
			if got := s.evacuated(t); !slices.Equal(got, tc.want) {
				t.Errorf("evacuated: got %q, want %q", got, tc.want)
			}
		})
	}
}

// evacuated returns the evacuated data centres that the API lists.
func (s *fixture) evacuated(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, evacuation := range must(s.client.Evacuations(context.Background()))(t) {
		names = append(names, evacuation.DataCentre)
	}
	return names
}

// Guards against a manager that accepts what it cannot store, refuses for a reason
// that is not the cause, or changes something although it refused.
func TestEvacuationRefusals(t *testing.T) {
	tests := map[string]struct {
		faults  table.Faults
		hostErr error
		call    func(*client.Client) error
		want    api.Problem
	}{
		"unknown data centre": {
			call: func(c *client.Client) error {
				_, err := c.StartEvacuation(context.Background(), "savu", "")
				return err
			},
			want: api.Problem{Status: 404, Reason: api.ReasonNotFound, Field: "data-centre", Outcome: api.OutcomeNotRun, Detail: `want "suva"`},
		},
		"given while the table is away": {
			faults: table.Faults{Down: true},
			call: func(c *client.Client) error {
				_, err := c.StartEvacuation(context.Background(), "suva", "")
				return err
			},
			want: api.Problem{Status: 503, Reason: api.ReasonTableUnavailable, Outcome: api.OutcomeNotRun},
		},
		"withdrawn while the table is away": {
			faults: table.Faults{Down: true},
			call:   func(c *client.Client) error { _, err := c.StopEvacuation(context.Background(), "suva", ""); return err },
			want:   api.Problem{Status: 503, Reason: api.ReasonTableUnavailable, Outcome: api.OutcomeNotRun},
		},
		"listed while the table is away": {
			faults: table.Faults{Down: true},
			call:   func(c *client.Client) error { _, err := c.Evacuations(context.Background()); return err },
			want:   api.Problem{Status: 503, Reason: api.ReasonTableUnavailable, Outcome: api.OutcomeNotRun},
		},
		"host list is away": {
			hostErr: errors.Wrap(table.ErrUnavailable, "/hosts"),
			call: func(c *client.Client) error {
				_, err := c.StartEvacuation(context.Background(), "suva", "")
				return err
			},
			want: api.Problem{Status: 503, Reason: api.ReasonTableUnavailable, Outcome: api.OutcomeNotRun},
		},
		"host moved to a pool": {
			call: func(c *client.Client) error {
				_, err := c.DrainHost(context.Background(), "host", api.DrainRequest{Purpose: "move", Target: "p"})
				return err
			},
			want: api.Problem{Status: 409, Reason: api.ReasonEvacuated, Field: "target", Outcome: api.OutcomeNotRun},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.store.SetFaults(tc.faults)
			s.hosts.err = tc.hostErr
			var got *api.Problem
			if err := tc.call(s.client); !errors.As(err, &got) {
				t.Fatalf("got %v, want a problem", err)
			}
			if got.Status != tc.want.Status || got.Reason != tc.want.Reason || got.Field != tc.want.Field || got.Outcome != tc.want.Outcome || got.Detail != tc.want.Detail {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			s.store.SetFaults(table.Faults{})
			if got := s.evacuated(t); len(got) != 0 {
				t.Errorf("evacuated: got %q, want none", got)
			}
		})
	}
}

// Guards against an evacuation that ends with the manager that accepted it: a
// manager that starts later must list it, and apply it when its catalogue changes.
func TestEvacuationOutlivesItsManager(t *testing.T) {
	ctx := context.Background()
	s := newFixture(t)
	must(s.client.StartEvacuation(ctx, "suva", ""))(t)
	restarted := httptest.NewServer(s.newHandler())
	t.Cleanup(restarted.Close)
	s.client = client.New(client.Config{
		Key: operatorKey, Managers: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(restarted.URL, "http://"))},
	})
	must(s.client.Apply(ctx, api.ApplyRequest{Catalogue: sampleCatalogue()}))(t)
	if _, _, err := s.client.IssueKey(ctx, "acme"); err != nil {
		t.Fatal(err)
	}
	if got, want := s.evacuated(t), []string{"suva"}; !slices.Equal(got, want) {
		t.Errorf("evacuated: got %q, want %q", got, want)
	}
	must(s.client.StopEvacuation(ctx, "suva", ""))(t)
	if got := s.evacuated(t); len(got) != 0 {
		t.Errorf("after the withdrawal: got %q, want none", got)
	}
}
