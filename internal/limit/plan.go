package limit

import (
	"maps"
	"slices"
)

// Verdict is what a manager should do with a team's row now.
type Action string

// The verdicts of Plan and Planner.Step.
const (
	// Settled means that the row is as it should be.
	NoChange Action = "settled"
	// Wait means that reports are missing or that too much is still running.
	Wait Action = "wait"
	// Commit means that the next row should be written.
	Commit Action = "commit"
)

// PlanInput is what a manager knows of one team.
type PlanInput struct {
	// Row is the row as read; generation 0 means that there is none.
	Row Allocation
	// Limit is the limit that the catalogue asks for.
	Limit int
	// Live lists the processes that should hold permits.
	Live []Member
	// Gone lists members that are proven to have ended, and whose work has
	// ended too.
	Gone map[Member]bool
	// Reports holds what the members answered, of any generation.
	Reports map[Member]Report
	// AwaitSilent holds the plan back until every member not gone reported.
	AwaitReports bool
}

// Outcome is the result of Plan. Next is set with Commit. With Wait, Trims
// lists the requests that would bring the members' holdings within the limit.
type Outcome struct {
	Action Action
	Next   Allocation
	Trims  []FreezeRequest
}

// tally sums up a generation's end.
type tally struct {
	// reported members are frozen in the generation where the row places them.
	reported []Member
	// carried members are unaccounted for; their bounds count as a sum.
	carried map[Member]Carry
	silent  int
	held    int
	inUse   int
	bound   int
}

// Plan works out the next generation of a row. It never lets the sum of what
// members may run exceed the next row's limit; nothing that runs is cut.
func Plan(in PlanInput) Outcome {
	if in.Row.Generation == 0 {
		return create(in)
	}
	t := count(in)
	if in.AwaitReports && t.silent > 0 {
		return Outcome{Action: Wait}
	}
	if t.held+t.bound > in.Limit {
		return Outcome{Action: Wait, Trims: trims(in, t)}
	}
	next := Allocation{
		Team:       in.Row.Team,
		Generation: in.Row.Generation + 1,
		Limit:      in.Limit,
		Granted:    make(map[Member]int),
		Carried:    t.carried,
	}
	for _, m := range t.reported {
		next.Granted[m] = in.Reports[m].Holding
	}
	takers := takersOf(in, next)
	divide(next.Granted, takers, in.Limit-t.held-t.bound)
	if len(next.Granted) == 0 {
		return Outcome{Action: Wait}
	}
	return Outcome{Action: Commit, Next: next}
}

// Extend works out what can be added to a row within its generation: new
// members and a raised limit. It needs no reports.
func Extend(in PlanInput) Outcome {
	raised := max(in.Limit, in.Row.Limit)
	free := raised - in.Row.Total()
	takers := takersOf(in, in.Row)
	if raised == in.Row.Limit && !grows(in.Row, takers, free) {
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
	divide(next.Granted, takers, free)
	return Outcome{Action: Commit, Next: next}
}

// grows reports whether the takers would add to the row.
func grows(row Allocation, takers []Member, free int) bool {
	if free > 0 && len(takers) > 0 {
		return true
	}
	return slices.ContainsFunc(takers, func(m Member) bool {
		_, known := row.Granted[m]
		return !known
	})
}

// create returns a team's first row.
func create(in PlanInput) Outcome {
	if len(in.Live) == 0 {
		return Outcome{Action: Wait}
	}
	next := Allocation{Generation: 1, Limit: in.Limit, Team: in.Row.Team, Granted: make(map[Member]int)}
	divide(next.Granted, in.Live, in.Limit)
	return Outcome{Action: Commit, Next: next}
}

// takersOf returns the live members that may be granted more in the row.
func takersOf(in PlanInput, row Allocation) []Member {
	var takers []Member
	for _, m := range in.Live {
		if _, carried := row.Carried[m]; !carried && !in.Gone[m] {
			takers = append(takers, m)
		}
	}
	slices.Sort(takers)
	return slices.Compact(takers)
}

// divide adds n permits, if any, to the takers in even parts.
func divide(granted map[Member]int, takers []Member, n int) {
	n = max(n, 0)
	for i, m := range takers {
		granted[m] += n / len(takers)
		if i < n%len(takers) {
			granted[m]++
		}
	}
}

func count(in PlanInput) tally {
	t := tally{carried: make(map[Member]Carry)}
	silent := make(map[uint64]int)
	for _, m := range in.Row.members() {
		generation, _ := in.Row.expects(m)
		report, ok := reportOf(in, m)
		switch {
		case !ok:
			t.carried[m] = Carry{Generation: generation, Bound: in.Row.base(m)}
			if !in.Gone[m] {
				silent[generation]++
				t.silent++
			}
		case !in.Gone[m]:
			t.reported = append(t.reported, m)
			t.held += report.Holding
			t.inUse += report.InUse
		}
	}
	settleFlows(in, t.carried)
	for m, carry := range t.carried {
		// A gone member may have given its permits to a silent one; it is
		// struck off once nobody in its generation is silent.
		if silent[carry.Generation] == 0 {
			delete(t.carried, m)
			continue
		}
		t.bound += carry.Bound
	}
	return t
}

// settleFlows adds to the carried bounds what reported members of the same
// generation gave, and takes off what they received.
func settleFlows(in PlanInput, carried map[Member]Carry) {
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

// reportOf returns the member's report of the generation in which the row
// places it; reports of any other generation say nothing.
func reportOf(in PlanInput, m Member) (Report, bool) {
	generation, known := in.Row.expects(m)
	report, ok := in.Reports[m]
	return report, ok && known && report.Generation == generation
}

// base returns the permits that the row accounts to the member.
func (g Allocation) base(m Member) int {
	if carry, ok := g.Carried[m]; ok {
		return carry.Bound
	}
	return g.Granted[m]
}

// trims returns requests that bring the reported members' holdings down: to
// their shares while what runs fits the limit, else to a full stop of starts.
func trims(in PlanInput, t tally) []FreezeRequest {
	room := in.Limit - t.bound - t.inUse
	keep := make(map[Member]int)
	divide(keep, t.reported, room)
	var requests []FreezeRequest
	for _, m := range t.reported {
		request := FreezeRequest{To: m, Row: in.Row, Mode: FreezeDrain}
		if room >= 0 {
			request.Mode = FreezeTrim
			request.Keep = in.Reports[m].InUse + keep[m]
		}
		requests = append(requests, request)
	}
	return requests
}
