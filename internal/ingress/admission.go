package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// defaultEstimate replaces a missing estimate of a task's duration, as in fleet.
	defaultEstimate = 500 * time.Millisecond
	// concurrentRetryAfter is the Retry-After of a request that met the refusal of another
	// attempt: by then this process knows that the refusal is stored.
	concurrentRetryAfter = 2 * time.Second
	// reasonConcurrent labels such requests in the metrics.
	reasonConcurrent = "concurrent"
)

// refusalReasons are the texts of refusals for callers.
var refusalReasons = map[admission.Reason]string{
	admission.ReasonDeadline:   "the caller's time was over before the job was read; this request did not submit it",
	admission.ReasonLoad:       "the pool has more work than it can do in time: the job would end too late, and was not accepted",
	admission.ReasonLabel:      "no endpoint that the job could run on accepts work now; the job was not accepted",
	admission.ReasonDataCentre: "no data centre accepts work now; the job was not accepted",
}

// admissionState is what the ingress keeps about admission.
type admissionState struct {
	// isWithoutNews is true while no outlook is fresh, which is logged once.
	isWithoutNews atomic.Bool
}

// ObserveVersion records a version that the store has reached, by which the ingress
// tells a refusal that precedes a request from one that was stored while it was on its way.
func (i *Ingress) ObserveVersion(version uint64) {
	i.writer.observeVersion(version)
}

// admit stores a job, or refuses it if it cannot be served.
func (i *Ingress) admit(ctx context.Context, c *call, submission *job.Submission) reply {
	if i.config.AdmitAll || i.config.RowFormat() < job.RowRefusal {
		return i.submitReply(i.writer.accept(ctx, submission, c.asOf))
	}
	outlook, age := i.outlook()
	request := admissionRequest(c, submission)
	decision := admission.Decide(request, outlook, age)
	switch {
	case decision.Admit:
		return i.submitReply(i.writer.accept(ctx, submission, c.asOf))
	case decision.Reason == admission.ReasonDeadline:
		countRefusal(string(decision.Reason))
		return i.refuse(http.StatusTooManyRequests, refusalReasons[decision.Reason], 0)
	}
	// A refusal for load is not repeated, and the others are as long as they hold.
	written := i.writer.refuseJob(ctx, c.id, c.asOf, decision.Reason != admission.ReasonLoad)
	switch written.outcome {
	case outcomeRefusalStored:
		countRefusal(string(decision.Reason))
		i.logRefusal(request, decision, outlook, age, c)
		return i.refuse(http.StatusServiceUnavailable, refusalReasons[decision.Reason], decision.RetryAfter)
	case outcomeReturned:
		return i.submitReply(i.writer.acceptReturned(ctx, submission, written.refusal))
	default:
		return i.submitReply(written.outcome)
	}
}

// outlook returns the newest outlook and its age, which is beyond all bounds if there
// is none.
func (i *Ingress) outlook() (admission.Outlook, time.Duration) {
	outlook, age, ok := i.config.Fleet.Outlook(time.Now())
	if !ok {
		age = admission.MaxOutlookAge + 1
	} else {
		metrics.GetOrCreateHistogram("admission_outlook_age_seconds").Update(age.Seconds())
	}
	isWithoutNews := age > admission.MaxOutlookAge
	if i.admission.isWithoutNews.Swap(isWithoutNews) != isWithoutNews && isWithoutNews {
		i.config.Journal.Info("admission without news of the leader", "known", ok, "age", age.Round(time.Millisecond).String())
	}
	return outlook, age
}

// admissionRequest returns what a decision needs to know of a job.
func admissionRequest(c *call, submission *job.Submission) admission.Request {
	return admission.Request{
		ID: string(c.id), Pool: c.queue.Pool, Priority: c.queue.Priority, Account: c.account, Labels: labelsOf(submission),
		Chain: chainOf(submission), Stretch: c.queue.Stretch, Target: c.queue.Target,
		CallerTimeout: time.Until(c.deadline), Persistent: submission.Persistent(), Occurrences: submission.Times,
	}
}

// labelsOf returns the labels that a job's tasks require.
func labelsOf(submission *job.Submission) []string {
	var labels []string
	for _, step := range submission.Steps {
		if step.Requires != "" {
			labels = append(labels, step.Requires)
		}
	}
	return labels
}

// chainOf returns the duration of a job's longest chain of steps by its caller's estimates.
func chainOf(submission *job.Submission) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(submission.Steps))
	for number, step := range submission.Steps {
		for _, predecessor := range step.After {
			ends[number] = max(ends[number], ends[predecessor])
		}
		estimate := step.Estimate
		if estimate <= 0 {
			estimate = defaultEstimate
		}
		ends[number] += estimate
		longest = max(longest, ends[number])
	}
	return longest
}

// countRefusal counts a refused job.
func countRefusal(reason string) {
	metrics.GetOrCreateCounter(`jobs_refused_total{reason="` + reason + `"}`).Inc()
}

// logRefusal logs a refusal with what decided it.
func (i *Ingress) logRefusal(request admission.Request, decision admission.Decision, outlook admission.Outlook, age time.Duration, c *call) {
	if decision.Reason != admission.ReasonLoad {
		i.config.Journal.Info("request refused, as no endpoint accepts the job", "request-id", c.id, "queue", c.queue.Name, "reason", string(decision.Reason),
			"labels", request.Labels, "outlook-age", age.Round(time.Millisecond).String(), "retry-after", decision.RetryAfter.String())
		return
	}
	fields := []any{
		"request-id", c.id, "queue", c.queue.Name, "pool", request.Pool, "account", request.Account, "priority", request.Priority,
		"outlook-age", age.Round(time.Millisecond).String(), "expected-start", decision.ExpectedStart.Round(time.Millisecond).String(),
		"objective", request.Objective().String(), "retry-after", decision.RetryAfter.String(),
	}
	i.config.Journal.Info("request refused for load", append(fields, outlook.Pools[request.Pool].Fields()...)...)
}
