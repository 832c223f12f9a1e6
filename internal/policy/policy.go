// Package policy holds what the operators have configured: queues, the pools
// of endpoints that run their tasks, client accounts with keys and caps, and the
// bounds of a request. A Policy is immutable once it is built; a newer version
// replaces it whole.
//
// # Usage
//
//	current := policy.New(policy.Config{Version: 7, Queues: queues, Pools: pools, Accounts: accounts})
//	queue, ok := current.Match("orders.example", "/restock/5c0e7a21d94b36f8")
//	account, ok := current.Account(key)
package policy

import (
	"sort"
	"strings"
	"time"
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu"`
	// Memory is in MiB.
	Memory int64 `json:"memory"`
	// GPU counts accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns n times each resource.
func (r Resources) Times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether r is within room in each resource.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPU <= room.GPU
}

// Advice configures a queue whose steps may run only on some endpoints, which the
// advice service names.
type Advice struct {
	// Decide is how long a call takes, and Each what it takes for each host named.
	BaseLatency, PerHostLatency time.Duration
	// Valid is how long a ticket can be used.
	TicketLifetime time.Duration
}

// Queue takes jobs under a host name and path prefix.
type Queue struct {
	Name       string
	HostName   string
	PathPrefix string
	// Pool runs the queue's tasks.
	Pool string
	// Open queues take jobs without a key.
	Open bool
	// Priority orders the queues of a pool; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job does.
	MaxAttempts int
	// Stretch times a job's longest chain of work, plus Target, is its objective.
	Stretch float64
	Target  time.Duration
	// Timeout bounds a request.
	Timeout time.Duration
	// Advice is nil for a queue whose tasks may run on each endpoint of the pool.
	Advice *Advice
}

// Pool is a service's set of endpoints.
type Pool struct {
	Name string
	// Guarded pools have endpoints that reject what does not fit.
	Guarded bool
	// Spare pools hold hosts that are switched off.
	Spare bool
}

// Account is a client account.
type Account struct {
	Name   string
	Keys   []string
	Weight float64
	// Cap bounds what runs at one time over all pools; a zero field is no limit.
	Cap Resources
}

// Limits bounds a request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is what a Policy is built from.
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
	// byHost lists a host name's queues, longest prefix first.
	byHost map[string][]Queue
	byKey  map[string]string
}

// New indexes a configuration.
func New(config Config) *Policy {
	p := &Policy{
		Version: config.Version, Limits: config.Limits,
		Queues: map[string]Queue{}, Pools: map[string]Pool{}, Accounts: map[string]Account{},
		byHost: map[string][]Queue{}, byKey: map[string]string{},
	}
	for _, queue := range config.Queues {
		p.Queues[queue.Name] = queue
		p.byHost[queue.HostName] = append(p.byHost[queue.HostName], queue)
	}
	for _, queues := range p.byHost {
		sort.Slice(queues, func(i, j int) bool { return len(queues[i].PathPrefix) > len(queues[j].PathPrefix) })
	}
	for _, pool := range config.Pools {
		p.Pools[pool.Name] = pool
	}
	for _, account := range config.Accounts {
		p.Accounts[account.Name] = account
		for _, key := range account.Keys {
			p.byKey[key] = account.Name
		}
	}
	return p
}

// Match returns the queue with the longest prefix of path under hostName.
func (p *Policy) Match(hostName, path string) (Queue, bool) {
	for _, queue := range p.byHost[hostName] {
		if strings.HasPrefix(path, queue.PathPrefix) {
			return queue, true
		}
	}
	return Queue{}, false
}

// AccountOf returns the name of the client account that holds key.
func (p *Policy) AccountByKey(key string) (string, bool) {
	name, ok := p.byKey[key]
	return name, ok && key != ""
}

// SparePool returns the pool of hosts that are switched off.
func (p *Policy) SparePool() (string, bool) {
	for name, pool := range p.Pools {
		if pool.Spare {
			return name, true
		}
	}
	return "", false
}
