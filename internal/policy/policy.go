// Package policy holds the operators' configuration: queues, the pools of
// endpoints that run their tasks, client accounts with keys and caps, and request
// limits. A Policy is immutable; a newer version replaces it as a whole.
//
// # Usage
//
//	current := policy.New(policy.Config{Version: 7, Queues: queues, Pools: pools, Accounts: accounts})
//	queue, ok := current.Match("orders.example", "/restock/5c0e7a21d94b36f8")
//	account, ok := current.AccountByKey(key)
package policy

import (
	"sort"
	"strings"
	"time"
)

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu"`
	// Memory is in MiB.
	Memory int64 `json:"memory"`
	// GPU is the number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r minus other, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// FitsIn reports whether r does not exceed available in any resource.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.GPU <= available.GPU
}

// Advice configures a queue whose steps may run only on the endpoints that the
// advice service grants tickets for.
type Advice struct {
	// BaseLatency is the duration of a call, to which PerHostLatency is added for
	// each host in the request.
	BaseLatency, PerHostLatency time.Duration
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration
}

// Queue accepts jobs under a host name and path prefix.
type Queue struct {
	Name       string
	HostName   string
	PathPrefix string
	// Pool is the name of the pool that runs the queue's tasks.
	Pool string
	// Open queues accept jobs without a key.
	Open bool
	// Priority orders the queues of a pool; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch and Target define a job's completion objective: Stretch times its
	// critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// Advice is nil if the tasks may run on any endpoint of the pool.
	Advice *Advice
}

// Pool is the set of endpoints of one service.
type Pool struct {
	Name string
	// Guarded pools have endpoints that reject runs which exceed their free capacity.
	Guarded bool
	// Spare is set for the pool of hosts that are switched off.
	Spare bool
}

// Account is a client account with its keys and resource cap.
type Account struct {
	Name string
	Keys []string
	// Weight is the account's share of submissions, in jobs per second; 0 means no limit.
	Weight float64
	// Cap bounds the resources in use across all pools; a zero field means no limit.
	Cap Resources
}

// Limits holds the size and time limits of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config holds the arguments of New.
type Config struct {
	Version  uint64
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Policy is one version of the operators' configuration.
type Policy struct {
	Version  uint64
	Queues   map[string]Queue
	Pools    map[string]Pool
	Accounts map[string]Account
	Limits   Limits
	// queuesByHost lists the queues of each host name, longest path prefix first.
	queuesByHost map[string][]Queue
	accountByKey map[string]string
}

// New builds a Policy from a configuration.
func New(config Config) *Policy {
	p := &Policy{
		Version: config.Version, Limits: config.Limits,
		Queues: map[string]Queue{}, Pools: map[string]Pool{}, Accounts: map[string]Account{},
		queuesByHost: map[string][]Queue{}, accountByKey: map[string]string{},
	}
	for _, queue := range config.Queues {
		p.Queues[queue.Name] = queue
		p.queuesByHost[queue.HostName] = append(p.queuesByHost[queue.HostName], queue)
	}
	for _, queues := range p.queuesByHost {
		sort.Slice(queues, func(i, j int) bool { return len(queues[i].PathPrefix) > len(queues[j].PathPrefix) })
	}
	for _, pool := range config.Pools {
		p.Pools[pool.Name] = pool
	}
	for _, account := range config.Accounts {
		p.Accounts[account.Name] = account
		for _, key := range account.Keys {
			p.accountByKey[key] = account.Name
		}
	}
	return p
}

// Match returns the queue of hostName with the longest path prefix that matches path.
func (p *Policy) Match(hostName, path string) (Queue, bool) {
	for _, queue := range p.queuesByHost[hostName] {
		if strings.HasPrefix(path, queue.PathPrefix) {
			return queue, true
		}
	}
	return Queue{}, false
}

// AccountByKey returns the name of the client account that owns key.
func (p *Policy) AccountByKey(key string) (string, bool) {
	name, ok := p.accountByKey[key]
	return name, ok && key != ""
}

// SparePool returns the name of the pool of hosts that are switched off.
func (p *Policy) SparePool() (string, bool) {
	for name, pool := range p.Pools {
		if pool.Spare {
			return name, true
		}
	}
	return "", false
}
