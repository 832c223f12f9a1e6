package admission_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/admission"
)

const poolName = "orders"

// request is a job with an objective of 2.6 s, of which it can wait 1.6 s.
func request() admission.Request {
	return admission.Request{
		ID: "5c0e7a21d94b36f8", Pool: poolName, Priority: 1, Account: "tackle",
		Chain: time.Second, Stretch: 1.6, Target: time.Second, CallerTimeout: 3 * time.Second,
	}
}

func outlookOf(pool admission.PoolOutlook) admission.Outlook {
	return admission.Outlook{Pools: map[string]admission.PoolOutlook{poolName: pool}}
}

// tripled is a pool of 100 cores that has had three times its usual traffic for a time:
// jobs that do not start within 1.6 s are late, and late ones are of no use after 7.8 s.
func tripled(shortFor time.Duration) admission.PoolOutlook {
	return admission.PoolOutlook{
		Cores: 100, ShortFor: shortFor, Inflow: 300,
		AheadByPriority: []float64{0, 300 * min(1.6, shortFor.Seconds())},
		LateByPriority:  []float64{0, 200 * max(0, shortFor.Seconds()-1.6)},
	}
}

// doubled is the same pool with twice the traffic that it can do, of which work that can
// be in time takes a wait to start at the measured rate.
func doubled(wait time.Duration) admission.PoolOutlook {
	return admission.PoolOutlook{
		Cores: 100, ShortFor: 9 * time.Second, Inflow: 200, AheadByPriority: []float64{0, 250}, LateByPriority: []float64{0, 500},
		WaitByPriority: []time.Duration{0, wait},
	}
}

func TestDecide(t *testing.T) {
	// overrun is a pool of 100 cores, of which others use 60 and one account within its share
	// 20. For 6 s, it has sent five times that: 80 cores' work beyond its share for the 20
	// that are left, of which all that has waited for 1.6 s is late.
	overrun := admission.PoolOutlook{
		Cores: 100, ShortFor: 6 * time.Second, Inflow: 80,
		AheadByPriority: []float64{0, 20}, BeyondByPriority: []float64{0, 128}, BeyondLateByPriority: []float64{0, 264},
		BeyondWaitByPriority: []time.Duration{0, 6400 * time.Millisecond},
	}
	overrunOutlook := outlookOf(overrun)
	overrunOutlook.AccountsBeyondShare = []string{"tackle"}
	with := func(change func(*admission.Request)) admission.Request {
		changed := request()
		change(&changed)
		return changed
	}
	tests := map[string]struct {
		request admission.Request
		outlook admission.Outlook
		age     time.Duration
		// want is the reason of the refusal, or "".
		want admission.Reason
	}{
		"three times the usual traffic, after 6 of 12 s":         {request: request(), outlook: outlookOf(tripled(6 * time.Second)), want: admission.ReasonLoad},
		"three times the usual traffic, after 2 s":               {request: request(), outlook: outlookOf(tripled(2 * time.Second))},
		"three times the usual traffic in another pool":          {request: with(func(r *admission.Request) { r.Pool = "bookings" }), outlook: outlookOf(tripled(6 * time.Second))},
		"three times the traffic of lower priority":              {request: with(func(r *admission.Request) { r.Priority = 0 }), outlook: outlookOf(tripled(6 * time.Second))},
		"three times the traffic of higher priority":             {request: with(func(r *admission.Request) { r.Priority = 2 }), outlook: outlookOf(tripled(6 * time.Second)), want: admission.ReasonLoad},
		"one account at five times its usual":                    {request: request(), outlook: overrunOutlook, want: admission.ReasonLoad},
		"beside one account at five times its usual":             {request: with(func(r *admission.Request) { r.Account = "calm" }), outlook: overrunOutlook},
		"backlog that clears within the objective":               {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 20 * time.Second, AheadByPriority: []float64{0, 150}})},
		"double the traffic, by estimates alone":                 {request: request(), outlook: outlookOf(doubled(0))},
		"double the traffic, confirmed by measured starts":       {request: request(), outlook: outlookOf(doubled(2500 * time.Millisecond)), want: admission.ReasonLoad},
		"double the traffic, contradicted by measured ones":      {request: request(), outlook: outlookOf(doubled(1500 * time.Millisecond))},
		"few starts of long tasks, and little work by estimates": {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 20 * time.Second, AheadByPriority: []float64{0, 150}, WaitByPriority: []time.Duration{0, time.Minute}})},
		"late backlog behind work in time":                       {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 20 * time.Second, AheadByPriority: []float64{0, 150}, LateByPriority: []float64{0, 5000}})},
		"short burst of 20 s of work":                            {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 400 * time.Millisecond, Inflow: 5000, AheadByPriority: []float64{0, 2000}})},
		"news of three times the traffic that is 3.1 s old":      {request: request(), outlook: outlookOf(tripled(6 * time.Second)), age: 3100 * time.Millisecond},
		"news of three times the traffic that is 2.9 s old":      {request: request(), outlook: outlookOf(tripled(6 * time.Second)), age: 2900 * time.Millisecond, want: admission.ReasonLoad},
		"older news of a backlog, without arriving work":         {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 9 * time.Second, AheadByPriority: []float64{0, 500}}), age: 2500 * time.Millisecond},
		"fresh news of a backlog, without arriving work":         {request: request(), outlook: outlookOf(admission.PoolOutlook{Cores: 100, ShortFor: 9 * time.Second, AheadByPriority: []float64{0, 500}}), want: admission.ReasonLoad},
		"no outlook":                                            {request: request()},
		"pool without hosts":                                    {request: request(), outlook: outlookOf(admission.PoolOutlook{ShortFor: time.Minute, AheadByPriority: []float64{9, 9}})},
		"persistent job":                                        {request: with(func(r *admission.Request) { r.Persistent = true }), outlook: outlookOf(tripled(6 * time.Second))},
		"job with occurrences":                                  {request: with(func(r *admission.Request) { r.Occurrences = 1 }), outlook: outlookOf(tripled(6 * time.Second))},
		"job without an objective":                              {request: with(func(r *admission.Request) { r.Stretch, r.Target = 0, 0 }), outlook: outlookOf(tripled(6 * time.Second))},
		"job that was refused before":                           {request: with(func(r *admission.Request) { r.Returned = true }), outlook: outlookOf(tripled(6 * time.Second))},
		"caller that no longer waits":                           {request: with(func(r *admission.Request) { r.CallerTimeout = 0 }), want: admission.ReasonDeadline},
		"no data centre accepts work":                           {request: with(func(r *admission.Request) { r.Persistent = true }), outlook: admission.Outlook{NoDataCentre: true}, want: admission.ReasonDataCentre},
		"no endpoint with its label accepts work":               {request: with(func(r *admission.Request) { r.Labels = []string{"b"} }), outlook: admission.Outlook{UnavailableLabels: []string{"a", "b"}}, want: admission.ReasonLabel},
		"no endpoint with another label accepts work":           {request: with(func(r *admission.Request) { r.Labels = []string{"c"} }), outlook: admission.Outlook{UnavailableLabels: []string{"a", "b"}}},
		"returned job whose label no endpoint has":              {request: with(func(r *admission.Request) { r.Returned, r.Labels = true, []string{"a"} }), outlook: admission.Outlook{UnavailableLabels: []string{"a"}}, want: admission.ReasonLabel},
		"old news that no endpoint with its label accepts work": {request: with(func(r *admission.Request) { r.Labels = []string{"a"} }), outlook: admission.Outlook{UnavailableLabels: []string{"a"}}, age: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := admission.Decide(test.request, test.outlook, test.age)
			if got.Reason != test.want || got.Admit != (test.want == "") {
				t.Errorf("decision: got %+v, want reason %q", got, test.want)
			}
		})
	}
}

// Guards against a caller who is told to return after the time that estimates give, if
// starts show that the work takes less.
func TestRetryAfterOfMeasuredWait(t *testing.T) {
	pool := tripled(3500 * time.Millisecond)
	pool.ShortFor, pool.LateByPriority = 5*time.Second, []float64{0, 500}
	pool.AheadByPriority = []float64{0, 3000}
	long := admission.Decide(request(), outlookOf(pool), 0)
	pool.WaitByPriority = []time.Duration{0, 4 * time.Second}
	short := admission.Decide(request(), outlookOf(pool), 0)
	if long.RetryAfter != 30*time.Second || short.RetryAfter < 5*time.Second || short.RetryAfter > 8*time.Second {
		t.Errorf("Retry-After: got %s by estimates and %s by measured starts, want 30s and 5s to 8s", long.RetryAfter, short.RetryAfter)
	}
}

// Guards against callers who return all at once, too early for the load, or never.
func TestRetryAfter(t *testing.T) {
	tests := map[string]struct {
		shortFor time.Duration
		min, max time.Duration
	}{
		"shortage of 6 s":      {6 * time.Second, 6 * time.Second, 9 * time.Second},
		"shortage of 3.5 s":    {3500 * time.Millisecond, 4 * time.Second, 6 * time.Second},
		"shortage of a minute": {time.Minute, 30 * time.Second, 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seen := map[time.Duration]bool{}
			for n := range 100 {
				r := request()
				r.ID = string(rune('a'+n%26)) + r.ID[n%10:]
				got := admission.Decide(r, outlookOf(tripled(test.shortFor)), 0)
				if got.Admit || got.RetryAfter < test.min || got.RetryAfter > test.max || got.RetryAfter%time.Second != 0 {
					t.Errorf("decision: got %+v, want a refusal with Retry-After from %s to %s in whole seconds", got, test.min, test.max)
				}
				seen[got.RetryAfter] = true
			}
			if test.min != test.max && len(seen) < 2 {
				t.Errorf("Retry-After of different jobs: got %v, want several", seen)
			}
		})
	}
}

// Guards against the refusal of jobs that could have been in time: estimates of work
// and of durations that are wrong by a factor of up to 1.5 must not cause one, although
// the pool has been short for long.
func TestWrongEstimatesRefuseNoJobInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := func(name string) float64 { return rapid.Float64Range(0, 1).Draw(t, name) }
		cores := rapid.Float64Range(1, 10_000).Draw(t, "cores")
		chain := rapid.Float64Range(0.05, 20).Draw(t, "chain")
		stretch, target := rapid.Float64Range(1, 4).Draw(t, "stretch"), rapid.Float64Range(0, 5).Draw(t, "target")
		isBeyondShare := rapid.Bool().Draw(t, "beyond share")

		// The work that precedes the job takes all of the time that it can wait.
		slack := (stretch-1)*chain + target
		inflow := 3 * fraction("inflow") * cores
		ahead, late, beyond := slack*cores, 1000*fraction("late")*cores, 0.0
		if isBeyondShare {
			inflow /= 3
			precedes := slack * (cores - inflow)
			late = fraction("late of what precedes") * precedes
			beyond = fraction("beyond of what precedes") * (precedes - late)
			ahead = precedes - late - beyond
		}
		age := time.Duration(rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 4000)).Draw(t, "age")) * time.Millisecond
		var measured []time.Duration
		if rapid.Bool().Draw(t, "measured") {
			measured = []time.Duration{0, time.Duration(slack * float64(time.Second))}
		}
		// Decisions are monotonic in each estimate: it suffices to try the ends.
		for ends := range 1 << 5 {
			wrong := func(estimate int) float64 { return []float64{1 / 1.5, 1.5}[ends>>estimate&1] }
			r := request()
			r.Stretch, r.Target = stretch, time.Duration(target*float64(time.Second))
			r.Chain = time.Duration(chain * wrong(0) * float64(time.Second))
			outlook := outlookOf(admission.PoolOutlook{
				Cores: cores, ShortFor: 100 * time.Second, Inflow: inflow * wrong(1), AheadByPriority: []float64{0, ahead * wrong(2)},
				WaitByPriority: measured, BeyondWaitByPriority: measured,
				LateByPriority: []float64{0, late * wrong(3)}, BeyondByPriority: []float64{0, beyond * wrong(4)}, BeyondLateByPriority: []float64{0, 1000 * cores},
			})
			if isBeyondShare {
				outlook.AccountsBeyondShare = []string{r.Account}
			}
			if got := admission.Decide(r, outlook, age); !got.Admit {
				t.Errorf("job that could be in time: got %+v, want admission with %+v", got, outlook)
			}
		}
	})
}

// Guards against a refusal of work that would still be of use to its caller.
func TestRefusedOnlyBeyondThreeTimesTheObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := request()
		r.Chain = time.Duration(rapid.IntRange(50, 20_000).Draw(t, "chain")) * time.Millisecond
		core := func(name string) float64 { return rapid.Float64Range(0, 5000).Draw(t, name) }
		outlook := outlookOf(admission.PoolOutlook{
			Cores: 100, ShortFor: time.Duration(rapid.IntRange(0, 30_000).Draw(t, "short for")) * time.Millisecond,
			Inflow: core("inflow"), AheadByPriority: []float64{0, core("ahead")}, LateByPriority: []float64{0, core("late")},
		})
		got := admission.Decide(r, outlook, 0)
		objective := time.Duration(1.6*float64(r.Chain)) + r.Target
		if isOfUse := got.ExpectedStart+r.Chain <= admission.LateFactor*objective; isOfUse && !got.Admit {
			t.Errorf("decision: got %+v, want admission: objective is %s and chain is %s", got, objective, r.Chain)
		}
	})
}

func TestOutlookEncoding(t *testing.T) {
	want := admission.Outlook{
		Pools: map[string]admission.PoolOutlook{poolName: {
			Cores: 16, AheadByPriority: []float64{1, 2.5}, LateByPriority: []float64{0, 3}, BeyondByPriority: []float64{0, 4}, BeyondLateByPriority: []float64{0, 7},
			WaitByPriority: []time.Duration{0, 5}, BeyondWaitByPriority: []time.Duration{0, 6}, Inflow: 20, ShortFor: 1500 * time.Millisecond,
		}},
		UnavailableLabels: []string{"a"}, NoDataCentre: true, AccountsBeyondShare: []string{"tackle"},
	}
	const encoded = `{"pools":{"orders":{"cores":16,"ahead-by-priority":[1,2.5],"late-by-priority":[0,3],"beyond-by-priority":[0,4],"beyond-late-by-priority":[0,7],` +
		`"wait-by-priority":[0,5],"beyond-wait-by-priority":[0,6],"inflow":20,"short-for":1500000000}},"unavailable-labels":["a"],"no-data-centre":true,"accounts-beyond-share":["tackle"]}`
	if got := string(want.Encode()); got != encoded {
		t.Errorf("encoded: got %s, want %s", got, encoded)
	}
	got, err := admission.Decode([]byte(encoded))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded: got %+v (%v), want %+v", got, err, want)
	}
	if got := (admission.Outlook{Pools: map[string]admission.PoolOutlook{}}).Encode(); got != nil {
		t.Errorf("empty outlook: got %s, want no bytes", got)
	}
}
