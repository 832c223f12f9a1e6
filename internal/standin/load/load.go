// Package load is a load generator: it sends a limited number of requests through
// entries, and checks that each response is complete and belongs to its request.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Config{
//		Targets: targets, Service: "orders", Key: key, Rate: 200, Duration: 10 * time.Second,
//	})
package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
)

const (
	defaultConcurrency = 16
	maxConcurrency     = 4096
	defaultTimeout     = 30 * time.Second
	deadlineHeader     = "Lovagedyke-Deadline"
	outcomeNotRun      = "not-run"
)

// Config configures a run. It ends after Duration or Requests, whichever comes
// first.
type Config struct {
	Targets []netip.AddrPort
	// ReadinessAddresses are the operations addresses of the targets, in the same
	// order. If set, targets that are not ready get no requests.
	ReadinessAddresses []netip.AddrPort
	Service            string
	Key                string
	Method             string
	Rate               float64 // requests per second; unlimited if zero
	Duration           time.Duration
	Requests           int
	Concurrency        int
	BodyBytes          int
	// IdempotencyKeys gives each request a unique idempotency key.
	IdempotencyKeys bool
	// Copies is the number of targets to which each request is sent at the same time.
	Copies    int
	Deadline  time.Duration
	Timeout   time.Duration
	Behaviour string
	RunTime   time.Duration
}

// generator sends the requests of one run and collects the results.
type generator struct {
	cfg       Config
	client    *http.Client
	samples   *collector
	start     time.Time
	nextIndex atomic.Int64
	balancer  *balancer
}

// Run sends the load and returns a report of the responses. It ends early if ctx is
// cancelled.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg, err := applyDefaults(cfg)
	if err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Concurrency * cfg.Copies, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		cfg:      cfg,
		client:   &http.Client{Transport: transport, Timeout: cfg.Timeout},
		samples:  newCollector(),
		start:    time.Now(),
		balancer: newBalancer(cfg),
	}
	probeCtx, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	probesDone := g.balancer.probe(probeCtx)
	var group conc.WaitGroup
	for range cfg.Concurrency {
		group.Go(func() { g.send(ctx) })
	}
	group.Wait()
	stopProbing()
	<-probesDone
	return g.samples.finish(time.Since(g.start)), nil
}

// applyDefaults fills in default values and validates the configuration.
func applyDefaults(cfg Config) (Config, error) {
	if len(cfg.Targets) == 0 {
		return cfg, errors.New("targets must not be empty")
	}
	for _, target := range cfg.Targets {
		if !target.Addr().IsLoopback() {
			return cfg, errors.Newf("target %s is not a loopback address", target)
		}
	}
	if len(cfg.ReadinessAddresses) > 0 && len(cfg.ReadinessAddresses) != len(cfg.Targets) {
		return cfg, errors.Newf("readiness addresses: got %d for %d targets", len(cfg.ReadinessAddresses), len(cfg.Targets))
	}
	if cfg.Duration <= 0 && cfg.Requests <= 0 {
		return cfg, errors.New("duration or requests must be set")
	}
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = defaultConcurrency
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Method == "" {
		cfg.Method = http.MethodPost
	}
	cfg.Concurrency = min(cfg.Concurrency, maxConcurrency)
	cfg.Copies = max(1, cfg.Copies)
	return cfg, nil
}

// send sends requests until the run is over.
func (g *generator) send(ctx context.Context) {
	for {
		index := g.nextIndex.Add(1) - 1
		if !g.waitUntilDue(ctx, index) {
			return
		}
		g.sendCopies(ctx, index)
	}
}

// waitUntilDue waits until the request with the index is due. It returns false when
// the run is over.
func (g *generator) waitUntilDue(ctx context.Context, index int64) bool {
	if g.cfg.Requests > 0 && index >= int64(g.cfg.Requests) {
		return false
	}
	due := time.Now()
	if g.cfg.Rate > 0 {
		due = g.start.Add(time.Duration(float64(index) / g.cfg.Rate * float64(time.Second)))
	}
	if g.cfg.Duration > 0 && !due.Before(g.start.Add(g.cfg.Duration)) {
		return false
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	return g.cfg.Duration <= 0 || time.Since(g.start) < g.cfg.Duration
}

// sendCopies sends the copies of one request to different targets.
func (g *generator) sendCopies(ctx context.Context, index int64) {
	key := ""
	if g.cfg.IdempotencyKeys {
		key = newID()
	}
	// All copies are identical, like a request that a caller retries.
	q := request{nonce: newID(), body: newBody(index, g.cfg.BodyBytes), behaviour: g.cfg.Behaviour}
	var refused atomic.Int64
	var group conc.WaitGroup
	for i := range g.cfg.Copies {
		target := g.balancer.target(int(index) + i)
		group.Go(func() {
			s := g.exchange(ctx, target, key, q)
			if s.problem.Outcome == outcomeNotRun {
				refused.Add(1)
			}
			g.samples.add(s)
		})
	}
	group.Wait()
	if g.cfg.IdempotencyKeys && int(refused.Load()) == g.cfg.Copies {
		g.samples.addRefusedKey(key)
	}
}

// exchange sends one request and checks the response.
func (g *generator) exchange(ctx context.Context, target netip.AddrPort, key string, q request) sample {
	// The end of the run does not cancel requests in flight.
	httpRequest, err := g.request(context.WithoutCancel(ctx), target, key, q)
	if err != nil {
		return sample{kind: answerMissing, err: err}
	}
	sent := time.Now()
	response, err := g.client.Do(httpRequest)
	if err != nil {
		return sample{sent: sent, kind: answerMissing, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	kind, problem := q.check(response)
	return sample{
		sent:    sent,
		latency: time.Since(sent),
		kind:    kind,
		problem: problem,
		status:  response.StatusCode,
	}
}

// request returns the HTTP request.
func (g *generator) request(ctx context.Context, target netip.AddrPort, key string, q request) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s/load", target, g.cfg.Service)
	built, err := http.NewRequestWithContext(ctx, g.cfg.Method, url, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	header := built.Header
	header.Set(endpoint.NonceHeader, q.nonce)
	if g.cfg.Key != "" {
		header.Set("Authorization", "Bearer "+g.cfg.Key)
	}
	if key != "" {
		header.Set(endpoint.KeyHeader, key)
	}
	if q.behaviour != "" {
		header.Set(endpoint.BehaviourHeader, q.behaviour)
	}
	if g.cfg.RunTime > 0 {
		header.Set(endpoint.RunTimeHeader, g.cfg.RunTime.String())
	}
	if g.cfg.Deadline > 0 {
		header.Set(deadlineHeader, g.cfg.Deadline.String())
	}
	return built, nil
}

// newBody returns a body of size bytes that depends on the index.
func newBody(index int64, size int) []byte {
	unit := fmt.Sprintf("%d ", index)
	return []byte(strings.Repeat(unit, size/len(unit)+1))[:size]
}

// newID returns a random identifier of 128 bits.
func newID() string {
	var id [16]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
