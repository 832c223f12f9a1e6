package policycheck

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// checker collects the findings of a document.
type checker struct {
	document Document
	findings []Finding
	pools    map[string]policy.Pool
}

// Check returns the faults of a configuration, in the order of its queues, pools and accounts.
func Check(next Document) []Finding {
	c := &checker{document: next, pools: map[string]policy.Pool{}}
	for _, pool := range next.Config.Pools {
		c.pools[pool.Name] = pool
	}
	c.checkQueueNames()
	c.checkPrefixes()
	for index, queue := range next.Config.Queues {
		c.checkPoolOf(index, queue)
		c.checkQueue(index, queue)
	}
	c.checkPools()
	c.checkSparePools()
	c.checkAccountNames()
	c.checkKeys()
	for index, account := range next.Config.Accounts {
		c.checkAccount(index, account)
	}
	return c.findings
}

func (c *checker) add(at Location, severity Severity, code, format string, args ...any) {
	c.findings = append(c.findings, c.document.finding(at, severity, code, format, args...))
}

func (c *checker) addError(at Location, code, format string, args ...any) {
	c.add(at, SeverityError, code, format, args...)
}

func (c *checker) checkQueueNames() {
	seen := map[string]bool{}
	for index, queue := range c.document.Config.Queues {
		if seen[queue.Name] {
			c.addError(Location{Section: SectionQueues, Index: index, Field: FieldName}, "queue-name-twice",
				"another queue is named %q as well; jobs of both follow the last one", queue.Name)
		}
		seen[queue.Name] = true
	}
}

// checkPrefixes finds queues that never match, because an equal prefix of the same host matches
// first.
func (c *checker) checkPrefixes() {
	type address struct{ hostName, pathPrefix string }
	first := map[address]string{}
	for index, queue := range c.document.Config.Queues {
		key := address{queue.HostName, queue.PathPrefix}
		if other, ok := first[key]; ok {
			c.addError(Location{Section: SectionQueues, Index: index, Field: FieldPathPrefix}, "prefix-hidden",
				"queue %q has the same host %q and prefix %q as queue %q; only one of them gets requests", queue.Name, queue.HostName, queue.PathPrefix, other)
			continue
		}
		first[key] = queue.Name
	}
}

func (c *checker) checkPoolOf(index int, queue policy.Queue) {
	at := Location{Section: SectionQueues, Index: index, Field: FieldPool}
	pool, ok := c.pools[queue.Pool]
	switch {
	case !ok:
		c.addError(at, "pool-unknown", "queue %q uses the pool %q, which does not exist", queue.Name, queue.Pool)
	case pool.Spare:
		c.addError(at, "queue-on-spare-pool", "queue %q uses the spare pool %q, whose hosts are switched off", queue.Name, queue.Pool)
	}
}

func (c *checker) checkQueue(index int, queue policy.Queue) {
	at := func(field Field) Location { return Location{Section: SectionQueues, Index: index, Field: field} }
	if queue.MaxAttempts < 1 {
		c.addError(at(FieldMaxAttempts), "attempts-below-one", "queue %q allows %d attempts; a task needs at least one", queue.Name, queue.MaxAttempts)
	}
	switch {
	case queue.Target < 0:
		c.addError(at(FieldTarget), "objective-not-positive", "the target of queue %q is %v, below zero", queue.Name, queue.Target)
	case queue.Stretch < 0 || queue.Stretch == 0 && queue.Target == 0:
		c.addError(at(FieldStretch), "objective-not-positive", "the objective of queue %q is not above zero: stretch %v, target %v", queue.Name, queue.Stretch, queue.Target)
	}
	c.checkTimeout(at(FieldTimeout), queue)
}

// checkTimeout takes a timeout of 0 as not set.
func (c *checker) checkTimeout(at Location, queue policy.Queue) {
	switch {
	case queue.Timeout < 0:
		c.addError(at, "timeout-below-zero", "the timeout of queue %q is %v, below zero", queue.Name, queue.Timeout)
	case queue.Timeout > 0 && queue.Timeout < max(0, queue.Target):
		c.addError(at, "timeout-below-target", "queue %q gives up after %v, before its target of %v", queue.Name, queue.Timeout, queue.Target.Round(time.Millisecond))
	}
}

func (c *checker) checkPools() {
	used, seen := map[string]bool{}, map[string]bool{}
	for _, queue := range c.document.Config.Queues {
		used[queue.Pool] = true
	}
	for index, pool := range c.document.Config.Pools {
		at := Location{Section: SectionPools, Index: index, Field: FieldName}
		switch {
		case seen[pool.Name]:
			c.addError(at, "pool-name-twice", "another pool is named %q as well; only the last one counts", pool.Name)
		case !pool.Spare && !used[pool.Name]:
			c.add(at, SeverityWarning, "pool-without-queue", "no queue uses the pool %q", pool.Name)
		}
		seen[pool.Name] = true
	}
}

func (c *checker) checkSparePools() {
	first := ""
	found := false
	for index, pool := range c.document.Config.Pools {
		if !pool.Spare {
			continue
		}
		if found {
			c.addError(Location{Section: SectionPools, Index: index, Field: FieldSpare}, "spare-pool-twice",
				"both %q and %q are spare pools; idle hosts go to either", first, pool.Name)
			continue
		}
		first, found = pool.Name, true
	}
	if !found {
		c.add(Location{Section: SectionPools, Index: wholeSection}, SeverityWarning, "spare-pool-missing",
			"no pool is the spare pool; hosts are not moved between pools")
	}
}

func (c *checker) checkAccountNames() {
	seen := map[string]bool{}
	for index, account := range c.document.Config.Accounts {
		if seen[account.Name] {
			c.addError(Location{Section: SectionAccounts, Index: index, Field: FieldName}, "account-name-twice",
				"another account is named %q as well; the weight and cap of the last one count", account.Name)
		}
		seen[account.Name] = true
	}
}

// checkKeys names keys by their place only, because they are secret.
func (c *checker) checkKeys() {
	owners := map[string]string{}
	for index, account := range c.document.Config.Accounts {
		for item, key := range account.Keys {
			at := Location{Section: SectionAccounts, Index: index, Field: FieldKeys, Item: item}
			other, isListed := owners[key]
			switch {
			case key == "":
				c.addError(at, "key-empty", "a key of account %q is empty and is never accepted", account.Name)
			case isListed && other == account.Name:
				c.addError(at, "key-twice", "account %q lists this key twice", account.Name)
			case isListed:
				c.addError(at, "key-twice", "accounts %q and %q list the same key; all its calls count for the last one", other, account.Name)
			}
			owners[key] = account.Name
		}
	}
}

func (c *checker) checkAccount(index int, account policy.Account) {
	at := func(field Field) Location { return Location{Section: SectionAccounts, Index: index, Field: field} }
	if len(account.Keys) == 0 {
		c.addError(at(FieldNone), "account-without-key", "account %q has no key, so nobody can use it", account.Name)
	}
	if account.Weight < 0 {
		c.addError(at(FieldWeight), "weight-below-zero", "the weight of account %q is %v, below zero (0 is no limit)", account.Name, account.Weight)
	}
	smallest := c.document.Source.SmallestTasks[account.Name]
	c.checkCap(at(FieldCapCPU), account.Name, "CPU", account.Cap.CPU, smallest.CPU)
	c.checkCap(at(FieldCapMemory), account.Name, "memory", account.Cap.Memory, smallest.Memory)
	c.checkCap(at(FieldCapGPU), account.Name, "accelerators", account.Cap.GPU, smallest.GPU)
}

// checkCap checks one resource of a cap. A limit of 0 means no limit, and a smallest task of 0 that
// none is known.
func (c *checker) checkCap(at Location, account, resource string, limit, smallest int64) {
	switch {
	case limit < 0:
		c.addError(at, "cap-below-zero", "the cap of account %q for %s is %d, which counts as no limit (write 0)", account, resource, limit)
	case limit > 0 && limit < smallest:
		c.addError(at, "cap-below-task", "the cap of account %q for %s is %d, but its smallest task needs %d; none of its tasks can start", account, resource, limit, smallest)
	}
}
