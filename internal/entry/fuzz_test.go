package entry

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/budget"
	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/intake"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const maxFuzzBody = 100

// FuzzCheckCall checks requests with arbitrary headers and body. A request is
// either refused with a complete problem, or it has a team that may use the
// service, a deadline within bounds, and its complete body. The caller's key is
// never forwarded to an endpoint.
func FuzzCheckCall(f *testing.F) {
	seeds := [][]string{
		{"/orders/restock", "k", "", "", "two spools", ""},
		{"/orders", "none", "2s", "order-1", "", ""},
		{"/nowhere/%2e%2e/x", "k", "-1s", strings.Repeat("k", 256), "", ""},
		{"//orders//a%2Fb?c=%zz", "k", "9999999h", "a\x00b", "", "Lovagedyke-Team, Authorization"},
		{"/orders/a;b", "K", "1e3s", "é", strings.Repeat("b", maxFuzzBody+1), "close"},
		{"/bait/x", "k", "1h0m0.000000001s", " ", "x", "Upgrade"},
	}
	for _, s := range seeds {
		f.Add(s[0], s[1], s[2], s[3], s[4], s[5], false)
		f.Add(s[0], s[1], s[2], s[3], s[4], s[5], true)
	}
	_, key, err := keyring.New(strings.NewReader(strings.Repeat("fuzz", 64)), "tackle")
	if err != nil {
		f.Fatal(err)
	}
	secret, _, err := keyring.New(strings.NewReader(strings.Repeat("fuzz", 64)), "tackle")
	if err != nil {
		f.Fatal(err)
	}
	state := revision.Empty()
	state.Keys = state.Keys.With(key)
	for _, name := range []string{"orders", "bait"} {
		state.Catalogue.Entries[name] = catalogue.Entry{
			Name: name, Kind: catalogue.KindService, Team: map[string]string{"orders": "tackle"}[name],
			MaxBody: maxFuzzBody, Deadline: time.Second, LongestRun: time.Second,
		}
	}
	bodies := intake.NewBodies(intake.BodiesConfig{Budget: budget.New(budget.Config{Bytes: 64 << 20})})
	f.Fuzz(func(t *testing.T, target, presented, deadline, idempotency, body, connection string, chunked bool) {
		parsed, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		if presented == "k" {
			presented = secret.Reveal()
		}
		r := &http.Request{Method: http.MethodPost, URL: parsed, Header: http.Header{}, Body: http.NoBody, ContentLength: int64(len(body))}
		r.Body = nonReplayableBody{strings.NewReader(body)}
		if chunked {
			r.ContentLength = -1
		}
		for name, value := range map[string]string{"Authorization": "Bearer " + presented, headerDeadline: deadline, headerIdempotencyKey: idempotency, "Connection": connection} {
			r.Header.Set(name, value)
		}
		now := time.Unix(1_000_000, 0)
		c, refusal := checkCall(&state, 1<<20, bodies, httptest.NewRecorder(), r, now)
		if refusal != nil {
			checkRefusal(t, refusal)
			return
		}
		checkAccepted(t, c, body, now)
		for _, values := range endpointRequest(c, &attempt{}).Header {
			if slices.ContainsFunc(values, func(value string) bool { return strings.Contains(value, secret.Reveal()) }) {
				t.Error("request to the endpoint: contains the caller's key, want none")
			}
		}
	})
}

// checkRefusal checks that the problem tells the caller what went wrong.
func checkRefusal(t *testing.T, refusal *api.Problem) {
	t.Helper()
	if refusal.Status < 400 || refusal.Status >= 500 || refusal.Reason == "" || refusal.Outcome != api.OutcomeNotRun {
		t.Errorf("got %+v, want a 4xx problem that says not-run", refusal)
	}
	recorder := httptest.NewRecorder()
	writeProblem(recorder, refusal)
	if got := recorder.Body.Len(); got == 0 {
		t.Error("problem: got no body")
	}
}

// checkAccepted checks a call that is passed on to admission.
func checkAccepted(t *testing.T, c *call, body string, now time.Time) {
	t.Helper()
	if got, want := c.team, "tackle"; got != want || !c.entry.Admits(got) {
		t.Errorf("team: got %q at %q, want %q", got, c.entry.Name, want)
	}
	if timeout := c.deadline.Sub(now); timeout <= 0 || timeout > maxDeadline {
		t.Errorf("deadline: got %s, want up to %s", timeout, maxDeadline)
	}
	if got := string(c.body); got != body || len(got) > maxFuzzBody {
		t.Errorf("body: got %q, want %q", got, body)
	}
	if !strings.HasPrefix(c.path, "/") || len(c.idempotencyKey) > maxIdempotencyKeyLength {
		t.Errorf("got path %q and key %q", c.path, c.idempotencyKey)
	}
}
