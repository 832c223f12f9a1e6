package policycheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// TestDifferences guards against a difference that is missed, an unchanged entry that is reported,
// and an effect that is not the one that the leader and the ingress have.
func TestDifferences(t *testing.T) {
	tests := map[string]struct {
		change     func(*policy.Config)
		want       []string
		wantEffect string
	}{
		"none":             {func(*policy.Config) {}, nil, ""},
		"order of entries": {func(c *policy.Config) { slices.Reverse(c.Queues); slices.Reverse(c.Accounts) }, nil, ""},
		"order of keys":    {func(c *policy.Config) { c.Accounts[0].Keys = []string{"k2", "k1"} }, nil, ""},
		"same version": {
			func(c *policy.Config) { c.Version = 7 },
			[]string{"error version-not-newer " + keyOf(SectionVersion, 0, FieldNone, 0)},
			"would be ignored",
		},
		"earlier version": {
			func(c *policy.Config) { c.Version = 6 },
			[]string{"error version-not-newer " + keyOf(SectionVersion, 0, FieldNone, 0)},
			"would be ignored",
		},
		"queue added": {
			func(c *policy.Config) { c.Queues = append(c.Queues, policy.Queue{Name: "new"}) },
			[]string{"change added " + keyOf(SectionQueues, 3, FieldNone, 0)},
			"at once",
		},
		"queue removed": {
			func(c *policy.Config) { c.Queues = c.Queues[:2] },
			[]string{"change removed " + keyOf(SectionQueues, 2, FieldNone, 0)},
			"jobs run on; new ones, and questions about its jobs, get 404",
		},
		"host": {
			func(c *policy.Config) { c.Queues[1].HostName = "c" },
			[]string{"change changed " + keyOf(SectionQueues, 1, FieldHostName, 0)},
			"404",
		},
		"prefix": {
			func(c *policy.Config) { c.Queues[1].PathPrefix = "/c/" },
			[]string{"change changed " + keyOf(SectionQueues, 1, FieldPathPrefix, 0)},
			"404",
		},
		"pool of a queue": {
			func(c *policy.Config) { c.Queues[1].Pool = "q" },
			[]string{"change changed " + keyOf(SectionQueues, 1, FieldPool, 0)},
			"start in the new pool",
		},
		"closed queue": {
			func(c *policy.Config) { c.Queues[1].Open = false },
			[]string{"change changed " + keyOf(SectionQueues, 1, FieldOpen, 0)},
			"401",
		},
		"opened queue": {
			func(c *policy.Config) { c.Queues[0].Open = true },
			[]string{"change changed " + keyOf(SectionQueues, 0, FieldOpen, 0)},
			"no account",
		},
		"priority": {
			func(c *policy.Config) { c.Queues[0].Priority = 1 },
			[]string{"change changed " + keyOf(SectionQueues, 0, FieldPriority, 0)},
			"from 0 to 1",
		},
		"attempts": {
			func(c *policy.Config) { c.Queues[0].MaxAttempts = 1 },
			[]string{"change changed " + keyOf(SectionQueues, 0, FieldMaxAttempts, 0)},
			"next failed run",
		},
		"objective": {
			func(c *policy.Config) { c.Queues[0].Stretch = 1; c.Queues[0].Target = 2 * time.Second },
			[]string{"change changed " + keyOf(SectionQueues, 0, FieldStretch, 0), "change changed " + keyOf(SectionQueues, 0, FieldTarget, 0)},
			"new objective",
		},
		"timeout": {
			func(c *policy.Config) { c.Queues[0].Timeout = time.Hour },
			[]string{"change changed " + keyOf(SectionQueues, 0, FieldTimeout, 0)},
			"from 1m0s to 1h0m0s",
		},
		"advice": {
			func(c *policy.Config) { c.Queues[2].Advice = nil },
			[]string{"change changed " + keyOf(SectionQueues, 2, FieldAdvice, 0)},
			"to none",
		},
		"equal advice": {
			func(c *policy.Config) { c.Queues[2].Advice = &policy.Advice{TicketLifetime: time.Second} }, nil, "",
		},
		"pool added": {
			func(c *policy.Config) { c.Pools = append(c.Pools, policy.Pool{Name: "new"}) },
			[]string{"change added " + keyOf(SectionPools, 3, FieldNone, 0)},
			"idle hosts",
		},
		"pool removed": {
			func(c *policy.Config) { c.Pools = slices.Delete(c.Pools, 1, 2) },
			[]string{"change removed " + keyOf(SectionPools, 1, FieldNone, 0)},
			"no more hosts",
		},
		"pool guarded": {
			func(c *policy.Config) { c.Pools[0].Guarded = true },
			[]string{"change changed " + keyOf(SectionPools, 0, FieldGuarded, 0)},
			"next starts",
		},
		"spare pool": {
			func(c *policy.Config) { c.Pools[2].Spare = false },
			[]string{"change changed " + keyOf(SectionPools, 2, FieldSpare, 0)},
			"next moves",
		},
		"account added": {
			func(c *policy.Config) {
				c.Accounts = append(c.Accounts, policy.Account{Name: "new", Keys: []string{"k9"}})
			},
			[]string{"change added " + keyOf(SectionAccounts, 2, FieldNone, 0), "change added " + keyOf(SectionAccounts, 2, FieldKeys, 0)},
			"at once",
		},
		"account removed": {
			func(c *policy.Config) { c.Accounts = c.Accounts[:1] },
			[]string{"change removed " + keyOf(SectionAccounts, 1, FieldNone, 0), "change removed " + keyOf(SectionAccounts, 1, FieldKeys, 0)},
			"jobs run on",
		},
		"key withdrawn": {
			func(c *policy.Config) { c.Accounts[0].Keys = []string{"k1"} },
			[]string{"change removed " + keyOf(SectionAccounts, 0, FieldKeys, 1)},
			"401 at once; its jobs run on",
		},
		"key moved": {
			func(c *policy.Config) {
				c.Accounts[0].Keys, c.Accounts[1].Keys = []string{"k1"}, []string{"k3", "k2"}
			},
			[]string{"change changed " + keyOf(SectionAccounts, 1, FieldKeys, 1)},
			"from acme to unlimited",
		},
		"weight": {
			func(c *policy.Config) { c.Accounts[0].Weight = 0 },
			[]string{"change changed " + keyOf(SectionAccounts, 0, FieldWeight, 0)},
			"from now on",
		},
		"lower cap": {
			func(c *policy.Config) { c.Accounts[0].Cap.CPU = 999 },
			[]string{"change changed " + keyOf(SectionAccounts, 0, FieldCapCPU, 0)},
			"nothing is stopped",
		},
		"first cap": {
			func(c *policy.Config) { c.Accounts[1].Cap.Memory = 1 },
			[]string{"change changed " + keyOf(SectionAccounts, 1, FieldCapMemory, 0)},
			"from no limit to 1: nothing is stopped",
		},
		"cap withdrawn": {
			func(c *policy.Config) { c.Accounts[0].Cap.GPU = 0 },
			[]string{"change changed " + keyOf(SectionAccounts, 0, FieldCapGPU, 0)},
			"to no limit: tasks that wait for it may start",
		},
		"limits": {
			func(c *policy.Config) {
				c.Limits = policy.Limits{BodyBytes: 1, HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}
			},
			[]string{
				"change changed " + keyOf(SectionLimits, 0, FieldBodyBytes, 0), "change changed " + keyOf(SectionLimits, 0, FieldHeaderBytes, 0),
				"change changed " + keyOf(SectionLimits, 0, FieldHeaderTimeout, 0), "change changed " + keyOf(SectionLimits, 0, FieldIdleTimeout, 0),
			},
			"new requests",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			next := soundConfig()
			next.Version = 8
			tc.change(&next)
			findings := Differences(documentOf("in-force.json", soundConfig()), documentOf("next.json", next))
			if got := summary(findings); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if len(findings) > 0 && !strings.Contains(findings[0].Reason, tc.wantEffect) {
				t.Errorf("got reason %q, want %q in it", findings[0].Reason, tc.wantEffect)
			}
		})
	}
}

// TestDifferencesHideKeys guards against keys, which are secret, in a report.
func TestDifferencesHideKeys(t *testing.T) {
	next := soundConfig()
	next.Accounts[0].Keys = []string{"secret-key", "secret-key"}
	document := documentOf("next.json", next)
	for _, finding := range append(Check(document), Differences(documentOf("in-force.json", soundConfig()), document)...) {
		if text := finding.String(); strings.Contains(text, "secret-key") || strings.Contains(text, "k2") {
			t.Errorf("got %q, want no key in it", text)
		}
	}
}
