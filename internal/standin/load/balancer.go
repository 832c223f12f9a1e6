package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the time between two looks at a target's readiness.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one look.
	probeTimeout = time.Second
)

// balancer chooses targets in turn and passes over those that are not ready,
// as the platform's balancer does.
type balancer struct {
	targets []netip.AddrPort
	probes  []netip.AddrPort
	down    []atomic.Bool
	client  *http.Client
}

// newBalancer returns a balancer that believes all targets ready.
func newBalancer(cfg Config) *balancer {
	return &balancer{
		targets: cfg.Targets,
		probes:  cfg.ReadinessAddresses,
		down:    make([]atomic.Bool, len(cfg.Targets)),
		client:  &http.Client{Timeout: probeTimeout, Transport: &http.Transport{}},
	}
}

// target returns the next ready target from the index on, or that of the index
// when none is ready.
func (b *balancer) target(index int) netip.AddrPort {
	for i := range b.targets {
		at := (index + i) % len(b.targets)
		if !b.down[at].Load() {
			return b.targets[at]
		}
	}
	return b.targets[index%len(b.targets)]
}

// run probes the targets until the context ends; the channel is closed then.
func (b *balancer) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer b.client.CloseIdleConnections()
		if len(b.probes) == 0 {
			return
		}
		for {
			for i, probe := range b.probes {
				b.down[i].Store(!b.ready(ctx, probe))
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
	}()
	return done
}

// ready asks a target's operations port.
func (b *balancer) ready(ctx context.Context, probe netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
