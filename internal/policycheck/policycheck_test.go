package policycheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// soundConfig returns a configuration without faults. It has a queue without a timeout, an open
// queue, one with advice, and accounts without limits.
func soundConfig() policy.Config {
	return policy.Config{
		Version: 7,
		Queues: []policy.Queue{
			{Name: "orders", HostName: "a.example", PathPrefix: "/orders/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, Target: time.Second, Timeout: time.Minute},
			{Name: "open", HostName: "a.example", PathPrefix: "/", Pool: "p", Open: true, Priority: 2, MaxAttempts: 1, Target: time.Second},
			{Name: "advised", HostName: "b.example", PathPrefix: "/orders/", Pool: "q", MaxAttempts: 1, Stretch: 2, Advice: &policy.Advice{TicketLifetime: time.Second}},
		},
		Pools: []policy.Pool{{Name: "p"}, {Name: "q", Guarded: true}, {Name: "off", Spare: true}},
		Accounts: []policy.Account{
			{Name: "acme", Keys: []string{"k1", "k2"}, Weight: 5, Cap: policy.Resources{CPU: 1000, Memory: 512, GPU: 1}},
			{Name: "unlimited", Keys: []string{"k3"}},
		},
	}
}

// documentOf returns a document whose keys are the numbers of its locations.
func documentOf(file string, config policy.Config) Document {
	keyPath := func(at Location) string { return fmt.Sprintf("%d/%d/%d/%d", at.Section, at.Index, at.Field, at.Item) }
	return Document{Config: config, Source: Source{
		File: file, KeyPath: keyPath,
		SmallestTasks: map[string]policy.Resources{"acme": {CPU: 500, Memory: 256}, "unlimited": {CPU: 1}},
	}}
}

// summary returns "severity code key" of each finding.
func summary(findings []Finding) []string {
	var out []string
	for _, finding := range findings {
		out = append(out, fmt.Sprintf("%s %s %s", finding.Severity, finding.Code, finding.Key))
	}
	return out
}

func keyOf(section Section, index int, field Field, item int) string {
	return fmt.Sprintf("%d/%d/%d/%d", section, index, field, item)
}

// TestCheck guards against a fault that goes unreported, and against findings in a configuration
// that is fine.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*policy.Config)
		want   []string
	}{
		"sound": {func(*policy.Config) {}, nil},
		"prefix hidden by an equal one": {
			func(c *policy.Config) { c.Queues[2].HostName = "a.example" },
			[]string{"error prefix-hidden " + keyOf(SectionQueues, 2, FieldPathPrefix, 0)},
		},
		"pool does not exist": {
			func(c *policy.Config) { c.Queues[1].Pool = "r" },
			[]string{"error pool-unknown " + keyOf(SectionQueues, 1, FieldPool, 0)},
		},
		"queue on the spare pool": {
			func(c *policy.Config) { c.Queues[1].Pool = "off" },
			[]string{"error queue-on-spare-pool " + keyOf(SectionQueues, 1, FieldPool, 0)},
		},
		"two queues of one name": {
			func(c *policy.Config) { c.Queues[2].Name = "orders" },
			[]string{"error queue-name-twice " + keyOf(SectionQueues, 2, FieldName, 0)},
		},
		"attempts below one": {
			func(c *policy.Config) { c.Queues[0].MaxAttempts = 0 },
			[]string{"error attempts-below-one " + keyOf(SectionQueues, 0, FieldMaxAttempts, 0)},
		},
		"no objective": {
			func(c *policy.Config) { c.Queues[2].Stretch = 0 },
			[]string{"error objective-not-positive " + keyOf(SectionQueues, 2, FieldStretch, 0)},
		},
		"target below zero": {
			func(c *policy.Config) { c.Queues[2].Target = -1 },
			[]string{"error objective-not-positive " + keyOf(SectionQueues, 2, FieldTarget, 0)},
		},
		"timeout below the target": {
			func(c *policy.Config) { c.Queues[0].Timeout = time.Second - 1 },
			[]string{"error timeout-below-target " + keyOf(SectionQueues, 0, FieldTimeout, 0)},
		},
		"timeout of the target": {func(c *policy.Config) { c.Queues[0].Timeout = time.Second }, nil},
		"timeout below zero": {
			func(c *policy.Config) { c.Queues[0].Timeout = -1 },
			[]string{"error timeout-below-zero " + keyOf(SectionQueues, 0, FieldTimeout, 0)},
		},
		"pool without a queue": {
			func(c *policy.Config) { c.Queues[2].Pool = "p" },
			[]string{"warning pool-without-queue " + keyOf(SectionPools, 1, FieldName, 0)},
		},
		"two pools of one name": {
			func(c *policy.Config) { c.Pools = append(c.Pools, policy.Pool{Name: "p"}) },
			[]string{"error pool-name-twice " + keyOf(SectionPools, 3, FieldName, 0)},
		},
		"two spare pools": {
			func(c *policy.Config) { c.Pools = append(c.Pools, policy.Pool{Name: "off2", Spare: true}) },
			[]string{"error spare-pool-twice " + keyOf(SectionPools, 3, FieldSpare, 0)},
		},
		"no spare pool": {
			func(c *policy.Config) { c.Pools = c.Pools[:2] },
			[]string{"warning spare-pool-missing " + keyOf(SectionPools, wholeSection, FieldNone, 0)},
		},
		"two accounts of one name": {
			func(c *policy.Config) { c.Accounts[1].Name = "acme" },
			[]string{"error account-name-twice " + keyOf(SectionAccounts, 1, FieldName, 0)},
		},
		"key twice in an account": {
			func(c *policy.Config) { c.Accounts[0].Keys = []string{"k1", "k1"} },
			[]string{"error key-twice " + keyOf(SectionAccounts, 0, FieldKeys, 1)},
		},
		"key twice between accounts": {
			func(c *policy.Config) { c.Accounts[1].Keys = []string{"k3", "k2"} },
			[]string{"error key-twice " + keyOf(SectionAccounts, 1, FieldKeys, 1)},
		},
		"empty key": {
			func(c *policy.Config) { c.Accounts[1].Keys = []string{""} },
			[]string{"error key-empty " + keyOf(SectionAccounts, 1, FieldKeys, 0)},
		},
		"account without a key": {
			func(c *policy.Config) { c.Accounts[1].Keys = nil },
			[]string{"error account-without-key " + keyOf(SectionAccounts, 1, FieldNone, 0)},
		},
		"weight below zero": {
			func(c *policy.Config) { c.Accounts[0].Weight = -1 },
			[]string{"error weight-below-zero " + keyOf(SectionAccounts, 0, FieldWeight, 0)},
		},
		"cap below one task": {
			func(c *policy.Config) { c.Accounts[0].Cap.CPU = 499 },
			[]string{"error cap-below-task " + keyOf(SectionAccounts, 0, FieldCapCPU, 0)},
		},
		"cap of one task": {func(c *policy.Config) { c.Accounts[0].Cap.CPU = 500 }, nil},
		"cap below zero": {
			func(c *policy.Config) { c.Accounts[0].Cap.Memory = -1 },
			[]string{"error cap-below-zero " + keyOf(SectionAccounts, 0, FieldCapMemory, 0)},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			config := soundConfig()
			tc.change(&config)
			findings := Check(documentOf("next.json", config))
			if got := summary(findings); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			for _, finding := range findings {
				if finding.File != "next.json" || finding.Reason == "" {
					t.Errorf("got %+v, want a file and a reason", finding)
				}
			}
		})
	}
}
