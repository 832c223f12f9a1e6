package limit

import (
	"maps"
	"slices"
)

// Action is what a manager should do with a team's row now.
type Action string

// Actions returned by Plan and Planner.Step.
const (
	// NoChange means that the row is up to date.
	NoChange Action = "settled"
	// Wait means that reports are missing or that too much is still running.
	Wait Action = "wait"
	// Commit means that the next row should be written.
	Commit Action = "commit"
)

// PlanInput is a manager's information about one team.
type PlanInput struct {
	// Row is the row as read; generation 0 means that there is none.
	Row Allocation
	// Limit is the limit set in the catalogue.
	Limit int
	// Live lists the processes that should hold permits.
	Live []Member
	// Gone holds members that are known to have ended, and whose work has
	// ended too.
	Gone map[Member]bool
	// Reports holds the members' reports, of any generation.
	Reports map[Member]Report
	// AwaitReports delays the plan until every member that isn't gone has
	// reported.
	AwaitReports bool
}

// Outcome is the result of Plan. Next is set with Commit. With Wait, Trims
// lists the requests that bring the members' holdings within the limit.
type Outcome struct {
	Action Action
	Next   Allocation
	Trims  []FreezeRequest
}

// reportSummary sums up the members' reports at the end of a generation.
type reportSummary struct {
	// reported members are frozen in the generation where the row places them.
	reported []Member
	// carried members have not reported. Only the sum of their bounds counts.
	carried    map[Member]Carry
	unreported int
	holding    int
	inUse      int
	bound      int
}

// Plan computes the next generation of a row. It never lets the sum of what
// members may run exceed the next row's limit, and never interrupts running
// work.
func Plan(in PlanInput) Outcome {
	if in.Row.Generation == 0 {
		return firstRow(in)
	}
	summary := summarizeReports(in)
	if in.AwaitReports && summary.unreported > 0 {
		return Outcome{Action: Wait}
	}
	if summary.holding+summary.bound > in.Limit {
		return Outcome{Action: Wait, Trims: trimRequests(in, summary)}
	}
	next := Allocation{
		Team:       in.Row.Team,
		Generation: in.Row.Generation + 1,
		Limit:      in.Limit,
		Granted:    make(map[Member]int),
		Carried:    summary.carried,
	}
	for _, m := range summary.reported {
		next.Granted[m] = in.Reports[m].Holding
	}
	recipients := recipientsOf(in, next)
	distribute(next.Granted, recipients, in.Limit-summary.holding-summary.bound)
	if len(next.Granted) == 0 {
		return Outcome{Action: Wait}
	}
	return Outcome{Action: Commit, Next: next}
}

// Extend computes additions to a row within its generation: new members and a
// raised limit. It needs no reports.
func Extend(in PlanInput) Outcome {
	raised := max(in.Limit, in.Row.Limit)
	free := raised - in.Row.Total()
	recipients := recipientsOf(in, in.Row)
	if raised == in.Row.Limit && !addsToRow(in.Row, recipients, free) {
		return Outcome{Action: NoChange}
	}
	next := Allocation{
		Team:       in.Row.Team,
		Generation: in.Row.Generation,
		Limit:      raised,
		Granted:    make(map[Member]int),
		Carried:    in.Row.Carried,
	}
	maps.Copy(next.Granted, in.Row.Granted)
	distribute(next.Granted, recipients, free)
	return Outcome{Action: Commit, Next: next}
}

// addsToRow reports whether the recipients would add to the row.
func addsToRow(row Allocation, recipients []Member, free int) bool {
	if free > 0 && len(recipients) > 0 {
		return true
	}
	return slices.ContainsFunc(recipients, func(m Member) bool {
		_, known := row.Granted[m]
		return !known
	})
}

// firstRow returns the commit of a team's first row.
func firstRow(in PlanInput) Outcome {
	if len(in.Live) == 0 {
		return Outcome{Action: Wait}
	}
	next := Allocation{Generation: 1, Limit: in.Limit, Team: in.Row.Team, Granted: make(map[Member]int)}
	distribute(next.Granted, in.Live, in.Limit)
	return Outcome{Action: Commit, Next: next}
}

// recipientsOf returns the live members that may be granted more in the row.
func recipientsOf(in PlanInput, row Allocation) []Member {
	var recipients []Member
	for _, m := range in.Live {
		if _, carried := row.Carried[m]; !carried && !in.Gone[m] {
			recipients = append(recipients, m)
		}
	}
	slices.Sort(recipients)
	return slices.Compact(recipients)
}

// distribute adds n permits to the recipients in equal parts. A negative n
// adds none.
func distribute(granted map[Member]int, recipients []Member, n int) {
	n = max(n, 0)
	for i, m := range recipients {
		granted[m] += n / len(recipients)
		if i < n%len(recipients) {
			granted[m]++
		}
	}
}

// summarizeReports sums up the members' reports and bounds the permits of
// those that have not reported.
func summarizeReports(in PlanInput) reportSummary {
	summary := reportSummary{carried: make(map[Member]Carry)}
	unreported := make(map[uint64]int)
	for _, m := range in.Row.members() {
		generation, _ := in.Row.generationOf(m)
		report, ok := reportOf(in, m)
		switch {
		case !ok:
			summary.carried[m] = Carry{Generation: generation, Bound: in.Row.permitsOf(m)}
			if !in.Gone[m] {
				unreported[generation]++
				summary.unreported++
			}
		case !in.Gone[m]:
			summary.reported = append(summary.reported, m)
			summary.holding += report.Holding
			summary.inUse += report.InUse
		}
	}
	applyTransfers(in, summary.carried)
	for m, carry := range summary.carried {
		// A gone member may have transferred its permits to one that has not
		// reported. It is dropped once all of its generation have reported.
		if unreported[carry.Generation] == 0 {
			delete(summary.carried, m)
			continue
		}
		summary.bound += carry.Bound
	}
	return summary
}

// applyTransfers adds to the carried bounds what reported members of the same
// generation sent, and subtracts what they received.
func applyTransfers(in PlanInput, carried map[Member]Carry) {
	for _, r := range in.Row.members() {
		report, ok := reportOf(in, r)
		if !ok {
			continue
		}
		for m, carry := range carried {
			if carry.Generation == report.Generation {
				carry.Bound += report.Sent[m] - report.Received[m]
				carried[m] = carry
			}
		}
	}
}

// reportOf returns the member's report of the generation that the row assigns
// it. Reports of other generations are ignored.
func reportOf(in PlanInput, m Member) (Report, bool) {
	generation, known := in.Row.generationOf(m)
	report, ok := in.Reports[m]
	return report, ok && known && report.Generation == generation
}

// permitsOf returns the permits that the row allocates to the member.
func (row Allocation) permitsOf(m Member) int {
	if carry, ok := row.Carried[m]; ok {
		return carry.Bound
	}
	return row.Granted[m]
}

// trimRequests returns requests that lower the reported members' holdings: to
// their shares if the running work fits the limit, otherwise by draining.
func trimRequests(in PlanInput, summary reportSummary) []FreezeRequest {
	available := in.Limit - summary.bound - summary.inUse
	keep := make(map[Member]int)
	distribute(keep, summary.reported, available)
	var requests []FreezeRequest
	for _, m := range summary.reported {
		request := FreezeRequest{To: m, Row: in.Row, Mode: FreezeDrain}
		if available >= 0 {
			request.Mode = FreezeTrim
			request.Keep = in.Reports[m].InUse + keep[m]
		}
		requests = append(requests, request)
	}
	return requests
}
