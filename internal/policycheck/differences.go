package policycheck

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Codes of differences, and of a version that cannot replace the one in force.
const (
	codeAdded           = "added"
	codeRemoved         = "removed"
	codeChanged         = "changed"
	codeVersionNotNewer = "version-not-newer"
)

// comparison collects the differences between two documents.
type comparison struct {
	inForce, next Document
	findings      []Finding
}

// Differences returns what next changes against the version in force, each with its effect on work
// in flight. A version that is not above the one in force is an error, because processes ignore it.
func Differences(inForce, next Document) []Finding {
	c := &comparison{inForce: inForce, next: next}
	if next.Config.Version <= inForce.Config.Version {
		c.findings = append(c.findings, next.finding(Location{Section: SectionVersion}, SeverityError, codeVersionNotNewer,
			"version %d is not above version %d in force and would be ignored", next.Config.Version, inForce.Config.Version))
	}
	c.compareQueues()
	c.comparePools()
	c.compareAccounts()
	c.compareKeys()
	c.compareLimits()
	return c.findings
}

func (c *comparison) added(at Location, format string, args ...any) {
	c.findings = append(c.findings, c.next.finding(at, SeverityChange, codeAdded, format, args...))
}

func (c *comparison) removed(at Location, format string, args ...any) {
	c.findings = append(c.findings, c.inForce.finding(at, SeverityChange, codeRemoved, format, args...))
}

// changed adds a difference if the values differ.
func (c *comparison) changed(at Location, of string, before, after any, effect string) {
	if reflect.DeepEqual(before, after) {
		return
	}
	c.findings = append(c.findings, c.next.finding(at, SeverityChange, codeChanged, "%s changes from %v to %v: %s", of, before, after, effect))
}

// compareEntries calls one of the functions for each entry that only one list has, or both have.
// Of several entries of one name, the last counts, as in policy.New.
func compareEntries[E any](before, after []E, name func(E) string, added, removed func(int, E), both func(int, E, E)) {
	oldByName, newByName := byName(before, name), byName(after, name)
	for index, entry := range after {
		old, ok := oldByName[name(entry)]
		switch {
		case newByName[name(entry)] != index:
		case ok:
			both(index, before[old], entry)
		default:
			added(index, entry)
		}
	}
	for index, entry := range before {
		if _, ok := newByName[name(entry)]; !ok && oldByName[name(entry)] == index {
			removed(index, entry)
		}
	}
}

// byName returns the index of the last entry of each name.
func byName[E any](entries []E, name func(E) string) map[string]int {
	out := map[string]int{}
	for index, entry := range entries {
		out[name(entry)] = index
	}
	return out
}

func (c *comparison) compareQueues() {
	at := func(index int) Location { return Location{Section: SectionQueues, Index: index} }
	compareEntries(
		c.inForce.Config.Queues, c.next.Config.Queues, func(q policy.Queue) string { return q.Name },
		func(index int, q policy.Queue) {
			c.added(at(index), "queue %q is added: it takes jobs at once; nothing in flight changes", q.Name)
		},
		func(index int, q policy.Queue) {
			c.removed(at(index), "queue %q is removed: its jobs run on; new ones, and questions about its jobs, get 404 unless another queue matches them", q.Name)
		},
		c.compareQueue,
	)
}

func (c *comparison) compareQueue(index int, before, after policy.Queue) {
	changed := func(field Field, what string, old, updated any, effect string) {
		c.changed(Location{Section: SectionQueues, Index: index, Field: field}, fmt.Sprintf("%s of queue %q", what, after.Name), old, updated, effect)
	}
	const address = "its jobs run on; calls to the old address get 404 unless another queue matches them"
	changed(FieldHostName, "the host", before.HostName, after.HostName, address)
	changed(FieldPathPrefix, "the prefix", before.PathPrefix, after.PathPrefix, address)
	changed(FieldPool, "the pool", before.Pool, after.Pool, "tasks that wait start in the new pool; running ones end where they are")
	changed(FieldOpen, "open access", before.Open, after.Open, openEffect(after.Open))
	changed(FieldPriority, "the priority", before.Priority, after.Priority, "it holds at once for jobs that wait, too")
	changed(FieldMaxAttempts, "the number of attempts", before.MaxAttempts, after.MaxAttempts, "it holds at the next failed run, for jobs in flight, too")
	const objective = "jobs in flight are ordered by the new objective at once"
	changed(FieldStretch, "the stretch", before.Stretch, after.Stretch, objective)
	changed(FieldTarget, "the target", before.Target, after.Target, objective)
	changed(FieldTimeout, "the timeout", before.Timeout, after.Timeout, "nothing in flight changes; nodes answer within the time that each caller names")
	changed(FieldAdvice, "advice", adviceText(before.Advice), adviceText(after.Advice), "it holds for tasks that have not started; running ones run on")
}

func openEffect(isOpen bool) string {
	if isOpen {
		return "calls need no key, and new jobs count for no account; jobs in flight keep theirs"
	}
	return "calls without a known key get 401 at once; jobs in flight run on"
}

func adviceText(advice *policy.Advice) string {
	if advice == nil {
		return "none"
	}
	return fmt.Sprintf("%v and %v for each host, tickets for %v", advice.BaseLatency, advice.PerHostLatency, advice.TicketLifetime)
}

func (c *comparison) comparePools() {
	at := func(index int, field Field) Location {
		return Location{Section: SectionPools, Index: index, Field: field}
	}
	compareEntries(
		c.inForce.Config.Pools, c.next.Config.Pools, func(p policy.Pool) string { return p.Name },
		func(index int, p policy.Pool) {
			c.added(at(index, FieldNone), "pool %q is added: idle hosts may move into it; running tasks run on", p.Name)
		},
		func(index int, p policy.Pool) {
			c.removed(at(index, FieldNone), "pool %q is removed: its running tasks run on; it gets no more hosts, and its hosts stay in it", p.Name)
		},
		func(index int, before, after policy.Pool) {
			c.changed(at(index, FieldGuarded), fmt.Sprintf("rejection of overload in pool %q", after.Name), before.Guarded, after.Guarded,
				"it holds for the next starts; running tasks run on")
			c.changed(at(index, FieldSpare), fmt.Sprintf("the role of pool %q as spare pool", after.Name), before.Spare, after.Spare,
				"it holds for the next moves of idle hosts; running tasks run on")
		},
	)
}

func (c *comparison) compareAccounts() {
	at := func(index int, field Field) Location {
		return Location{Section: SectionAccounts, Index: index, Field: field}
	}
	compareEntries(
		c.inForce.Config.Accounts, c.next.Config.Accounts, func(a policy.Account) string { return a.Name },
		func(index int, a policy.Account) {
			c.added(at(index, FieldNone), "account %q is added: its keys are accepted at once", a.Name)
		},
		func(index int, a policy.Account) {
			c.removed(at(index, FieldNone), "account %q is removed: its jobs run on, and its cap no longer holds for them", a.Name)
		},
		func(index int, before, after policy.Account) {
			c.changed(at(index, FieldWeight), fmt.Sprintf("the weight of account %q", after.Name), before.Weight, after.Weight,
				"it holds for jobs from now on; jobs in flight keep their place within or beyond the share")
			c.compareCap(at(index, FieldCapCPU), after.Name, "CPU", before.Cap.CPU, after.Cap.CPU)
			c.compareCap(at(index, FieldCapMemory), after.Name, "memory", before.Cap.Memory, after.Cap.Memory)
			c.compareCap(at(index, FieldCapGPU), after.Name, "accelerators", before.Cap.GPU, after.Cap.GPU)
		},
	)
}

func (c *comparison) compareCap(at Location, account, resource string, before, after int64) {
	effect := "tasks that wait for it may start at once"
	if isLower := after > 0 && (before <= 0 || after < before); isLower {
		effect = "nothing is stopped; no task starts that would exceed it, until enough running tasks have ended"
	}
	c.changed(at, fmt.Sprintf("the cap of account %q for %s", account, resource), capText(before), capText(after), effect)
}

func capText(limit int64) string {
	if limit <= 0 {
		return "no limit"
	}
	return fmt.Sprint(limit)
}

// compareKeys names keys by their place only, because they are secret.
func (c *comparison) compareKeys() {
	before, after := policy.New(c.inForce.Config), policy.New(c.next.Config)
	for index, account := range c.next.Config.Accounts {
		for item, key := range account.Keys {
			at := Location{Section: SectionAccounts, Index: index, Field: FieldKeys, Item: item}
			owner, ok := before.AccountByKey(key)
			newOwner, _ := after.AccountByKey(key)
			switch {
			case key == "" || newOwner != account.Name || slices.Index(account.Keys, key) != item:
			case !ok:
				c.added(at, "account %q gets a key, which is accepted at once", account.Name)
			case owner != account.Name:
				c.changed(at, "the account of a key", owner, account.Name, "new jobs count for the new account; jobs in flight stay with the old one")
			}
		}
	}
	for index, account := range c.inForce.Config.Accounts {
		for item, key := range account.Keys {
			at := Location{Section: SectionAccounts, Index: index, Field: FieldKeys, Item: item}
			if _, ok := after.AccountByKey(key); !ok && key != "" && slices.Index(account.Keys, key) == item {
				c.removed(at, "a key of account %q is withdrawn: calls with it get 401 at once; its jobs run on", account.Name)
			}
		}
	}
}

func (c *comparison) compareLimits() {
	before, after := c.inForce.Config.Limits, c.next.Config.Limits
	changed := func(field Field, what string, old, updated any, effect string) {
		c.changed(Location{Section: SectionLimits, Field: field}, what, old, updated, effect)
	}
	const unused = "nothing in flight changes; nodes use limits of their own"
	changed(FieldBodyBytes, "the largest body in bytes", before.BodyBytes, after.BodyBytes, "it holds for new requests; accepted jobs run on")
	changed(FieldHeaderBytes, "the largest header in bytes", before.HeaderBytes, after.HeaderBytes, unused)
	changed(FieldHeaderTimeout, "the timeout of headers", before.HeaderTimeout, after.HeaderTimeout, unused)
	changed(FieldIdleTimeout, "the timeout of idle connections", before.IdleTimeout, after.IdleTimeout, unused)
}
