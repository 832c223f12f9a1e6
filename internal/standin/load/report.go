package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

const (
	minLatency       = time.Microsecond
	maxLatency       = 10 * time.Minute
	significantDigit = 3
)

// Report counts what came back.
type Report struct {
	Sent int `json:"sent"`
	OK   int `json:"ok"`
	// Outcomes and Reasons count the entries' own answers.
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Statuses counts the endpoints' error statuses.
	Statuses map[int]int `json:"statuses"`
	Wrong    int         `json:"wrong"`
	// RefusedKeys are the idempotency keys all of whose copies were answered
	// with the outcome not-run.
	RefusedKeys []string `json:"refused-keys,omitempty"`
	Cut         int      `json:"cut"`
	Errors      int      `json:"errors"`
	// LastError is an example of what made a request fail without an answer.
	LastError string        `json:"last-error,omitempty"`
	P50       duration.Text `json:"p50"`
	P99       duration.Text `json:"p99"`
	// FirstOK and LastOK are when the first and last good requests were sent.
	FirstOK time.Time     `json:"first-ok,omitzero"`
	LastOK  time.Time     `json:"last-ok,omitzero"`
	Elapsed duration.Text `json:"elapsed"`
}

// sample is one finished request.
type sample struct {
	sent    time.Time
	took    time.Duration
	verdict verdict
	problem problem
	status  int
	err     error
}

// collector adds samples up. It is safe for concurrent use.
type collector struct {
	mu        sync.Mutex
	report    Report
	latencies *hdrhistogram.Histogram
}

// newCollector returns an empty collector.
func newCollector() *collector {
	return &collector{
		report: Report{
			Outcomes: make(map[string]int),
			Reasons:  make(map[string]int),
			Statuses: make(map[int]int),
		},
		latencies: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigit),
	}
}

// refuse notes an idempotency key that the entries say did not run.
func (c *collector) refuse(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.RefusedKeys = append(c.report.RefusedKeys, key)
}

// add counts one sample.
func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	switch s.verdict {
	case verdictOK:
		c.addOK(s)
	case verdictEntry:
		c.report.Outcomes[s.problem.Outcome]++
		c.report.Reasons[s.problem.Reason]++
	case verdictStatus:
		c.report.Statuses[s.status]++
	case verdictWrong:
		c.report.Wrong++
	case verdictCut:
		c.report.Cut++
	case verdictFailure:
		c.report.Errors++
		c.report.LastError = s.err.Error()
	}
}

// addOK counts a good answer and its latency; the caller holds the lock.
func (c *collector) addOK(s sample) {
	c.report.OK++
	// A latency outside the histogram's range counts as its greatest value.
	_ = c.latencies.RecordValue(min(s.took, maxLatency).Microseconds())
	if c.report.FirstOK.IsZero() || s.sent.Before(c.report.FirstOK) {
		c.report.FirstOK = s.sent
	}
	if s.sent.After(c.report.LastOK) {
		c.report.LastOK = s.sent
	}
}

// finish returns the report of a run that took so long.
func (c *collector) finish(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.P50 = duration.New(time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond)
	c.report.P99 = duration.New(time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond)
	c.report.Elapsed = duration.New(elapsed)
	return c.report
}
