package courier

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/courier/courierpb"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

func encodeTask(task job.Task) *courierpb.Task {
	return &courierpb.Task{
		Job: string(task.Job), Occurrence: int64(task.Occurrence), Step: int64(task.Step), Index: int64(task.Index),
	}
}

func decodeTask(task *courierpb.Task) job.Task {
	return job.Task{
		Job: job.ID(task.GetJob()), Occurrence: int(task.GetOccurrence()), Step: int(task.GetStep()), Index: int(task.GetIndex()),
	}
}

func encodeRenewal(renewal fleet.LeaseRenewal) *courierpb.Renewal {
	return &courierpb.Renewal{
		LeaseMs: renewal.Lease.Milliseconds(), AckedUpTo: renewal.AckedUpTo, WaitMs: renewal.Wait.Milliseconds(),
	}
}

func decodeRenewal(renewal *courierpb.Renewal) fleet.LeaseRenewal {
	return fleet.LeaseRenewal{
		Lease: milliseconds(renewal.LeaseMs), AckedUpTo: renewal.AckedUpTo, Wait: milliseconds(renewal.WaitMs),
	}
}

// decodeAddress decodes the endpoint that an order is for.
func decodeAddress(order *courierpb.Order) (fleet.EndpointAddress, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(order.Address); err != nil {
		return fleet.EndpointAddress{}, errors.Wrapf(err, "decode the address of endpoint %q", order.Endpoint)
	}
	return fleet.EndpointAddress{ID: fleet.EndpointID(order.Endpoint), Address: address}, nil
}

// encodeSpec returns the index of a spec in the request, to which it is added if
// it is missing.
func encodeSpec(request *courierpb.DeliverRequest, indexes map[string]int64, spec string) int64 {
	index, ok := indexes[spec]
	if !ok {
		index = int64(len(request.Specs))
		request.Specs = append(request.Specs, spec)
		indexes[spec] = index
	}
	return index
}

func encodeStart(start fleet.Start) *courierpb.Start {
	return &courierpb.Start{
		Task: encodeTask(start.Task), Run: start.Run, LeaseMs: start.Lease.Milliseconds(),
		Checkpoint: start.Checkpoint, Ticket: start.Ticket, DataCentre: start.DataCentre,
	}
}

// decodeStart decodes a start. Error: its spec is missing in the request.
func decodeStart(endpoint fleet.EndpointID, start *courierpb.Start, specs []string) (fleet.Start, error) {
	if start.Spec < 0 || start.Spec >= int64(len(specs)) {
		return fleet.Start{}, errors.Newf("start refers to spec %d of %d", start.Spec, len(specs))
	}
	return fleet.Start{
		Endpoint: endpoint, Task: decodeTask(start.Task), Run: start.Run, Spec: specs[start.Spec],
		Lease: milliseconds(start.LeaseMs), Checkpoint: start.Checkpoint, Ticket: start.Ticket, DataCentre: start.DataCentre,
	}, nil
}

func encodeReport(report fleet.Report) *courierpb.Report {
	out := &courierpb.Report{ClockMs: report.Clock.Milliseconds(), StartedAtMs: report.StartedAt.UnixMilli()}
	for _, running := range report.Running {
		out.Running = append(out.Running, &courierpb.Running{
			Task: encodeTask(running.Task), Run: running.Run, Checkpoint: running.Checkpoint,
			SpeedPercent: int64(running.SpeedPercent), TailLatencyUs: running.TailLatency.Microseconds(), Cpu: running.CPU,
		})
	}
	for _, completion := range report.Completions {
		out.Completions = append(out.Completions, &courierpb.Completion{
			Number: completion.Number, Task: encodeTask(completion.Task), Run: completion.Run,
			Kind: string(completion.Kind), Checkpoint: completion.Checkpoint,
		})
	}
	return out
}

func decodeReport(report *courierpb.Report) fleet.Report {
	out := fleet.Report{Clock: milliseconds(report.GetClockMs()), StartedAt: time.UnixMilli(report.GetStartedAtMs())}
	for _, running := range report.GetRunning() {
		out.Running = append(out.Running, fleet.RunningTask{
			Task: decodeTask(running.Task), Run: running.Run, Checkpoint: running.Checkpoint,
			SpeedPercent: int(running.SpeedPercent), TailLatency: time.Duration(running.TailLatencyUs) * time.Microsecond, CPU: running.Cpu,
		})
	}
	for _, completion := range report.GetCompletions() {
		out.Completions = append(out.Completions, fleet.Completion{
			Number: completion.Number, Task: decodeTask(completion.Task), Run: completion.Run,
			Kind: fleet.CompletionKind(completion.Kind), Checkpoint: completion.Checkpoint,
		})
	}
	return out
}

func decodeReply(reply *courierpb.Reply) fleet.Reply {
	out := fleet.Reply{Outcome: fleet.OrderOutcome(reply.Outcome), Clock: milliseconds(reply.ClockMs)}
	if !out.Outcome.IsKnown() {
		// A courier of a later version may know more outcomes: the order may have been executed.
		out.Outcome = fleet.OrderUnknown
	}
	return out
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
