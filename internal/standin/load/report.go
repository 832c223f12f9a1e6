package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

const (
	minLatency        = time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Report counts the requests by result.
type Report struct {
	Sent int `json:"sent"`
	OK   int `json:"ok"`
	// Outcomes and Reasons count the problem responses of entries.
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Statuses counts the error statuses of endpoints.
	Statuses map[int]int `json:"statuses"`
	Wrong    int         `json:"wrong"`
	// RefusedKeys are the idempotency keys for which all copies of the request got
	// the outcome not-run.
	RefusedKeys []string `json:"refused-keys,omitempty"`
	Cut         int      `json:"cut"`
	Errors      int      `json:"errors"`
	// LastError is the error of the last request that got no response.
	LastError string        `json:"last-error,omitempty"`
	P50       duration.Text `json:"p50"`
	P99       duration.Text `json:"p99"`
	// FirstOK and LastOK are the times at which the first and the last successful
	// request were sent.
	FirstOK time.Time     `json:"first-ok,omitzero"`
	LastOK  time.Time     `json:"last-ok,omitzero"`
	Elapsed duration.Text `json:"elapsed"`
}

// sample is the result of one request.
type sample struct {
	sent    time.Time
	latency time.Duration
	kind    answerKind
	problem problem
	status  int
	err     error
}

// collector accumulates samples in a report. It is safe for concurrent use.
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
		latencies: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits),
	}
}

// addRefusedKey records the idempotency key of a request whose copies were all
// reported as not run.
func (c *collector) addRefusedKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.RefusedKeys = append(c.report.RefusedKeys, key)
}

// add counts one sample.
func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Sent++
	switch s.kind {
	case answerOK:
		c.addOK(s)
	case answerByEntry:
		c.report.Outcomes[s.problem.Outcome]++
		c.report.Reasons[s.problem.Reason]++
	case answerErrorStatus:
		c.report.Statuses[s.status]++
	case answerMismatch:
		c.report.Wrong++
	case answerTruncated:
		c.report.Cut++
	case answerMissing:
		c.report.Errors++
		c.report.LastError = s.err.Error()
	}
}

// addOK counts a successful request and its latency. The caller holds the lock.
func (c *collector) addOK(s sample) {
	c.report.OK++
	// A latency above the histogram's range counts as maxLatency.
	_ = c.latencies.RecordValue(min(s.latency, maxLatency).Microseconds())
	if c.report.FirstOK.IsZero() || s.sent.Before(c.report.FirstOK) {
		c.report.FirstOK = s.sent
	}
	if s.sent.After(c.report.LastOK) {
		c.report.LastOK = s.sent
	}
}

// finish completes the report of a run that took the elapsed time.
func (c *collector) finish(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.P50 = duration.New(time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond)
	c.report.P99 = duration.New(time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond)
	c.report.Elapsed = duration.New(elapsed)
	return c.report
}
