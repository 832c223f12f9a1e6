package limit

import "time"

// PlannerConfig constructs a Planner.
type PlannerConfig struct {
	// ReportTimeout is how long a rebase waits for members that do not answer.
	ReportTimeout time.Duration
}

// View is what a manager has read about one team.
type View struct {
	// Row is the team's row; without one, only Row.Team is set.
	Row Allocation
	// Limit is the limit that the catalogue asks for.
	Limit int
	// LongestRun bounds how long work goes on after its member has ended.
	LongestRun time.Duration
	// Live lists the processes that should hold permits.
	Live []Member
	// Ended lists the processes for which there is evidence that they ended:
	// they handed over, a newer incarnation stands at their address, or the
	// platform has listed their host as gone for longer than its lag.
	Ended []Member
}

// Decision is what a manager should do for one team now.
type Decision struct {
	Action Action
	// Next is the row to commit, on condition of the version of View.Row.
	Next Allocation
	// Freezes are to be sent; the answers go to Handle.
	Freezes []FreezeRequest
}

// Planner drives the rows of all teams from one manager. Any number of
// managers may do so at once: the table lets only one commit win. It is not
// safe for concurrent use.
type Planner struct {
	config PlannerConfig
	teams  map[string]*teamPlan
}

// teamPlan is a Planner's memory of one team.
type teamPlan struct {
	reports map[Member]Report
	// endedSince is when this planner first saw the evidence, by its own time.
	endedSince map[Member]time.Time
	// generation and since tell the rebase under way and when it began.
	generation uint64
	since      time.Time
}

// NewPlanner returns a Planner without any memory.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{config: config, teams: make(map[string]*teamPlan)}
}

// Handle takes over a report, asked for or not, late or repeated.
func (p *Planner) HandleReport(report Report) {
	plan := p.team(report.Team)
	known, ok := plan.reports[report.Member]
	if ok && known.Generation > report.Generation {
		return
	}
	if ok && known.Generation == report.Generation && known.Holding < report.Holding {
		return
	}
	plan.reports[report.Member] = report
}

// Step decides what to do for the team of the view.
func (p *Planner) Step(now time.Time, view View) Decision {
	plan := p.team(view.Row.Team)
	in := PlanInput{
		Row:     view.Row,
		Limit:   view.Limit,
		Live:    view.Live,
		Gone:    plan.gone(now, view),
		Reports: plan.reports,
	}
	plan.forget(view)
	if view.Row.Generation > 0 && !wanted(in) {
		return p.extend(in)
	}
	if plan.generation != view.Row.Generation || plan.since.IsZero() {
		plan.generation = view.Row.Generation
		plan.since = now
	}
	in.AwaitReports = now.Before(plan.since.Add(p.config.ReportTimeout))
	outcome := Plan(in)
	decision := Decision{Action: outcome.Action, Next: outcome.Next}
	if outcome.Action == Wait {
		decision.Freezes = append(outcome.Trims, missing(in)...)
	}
	return decision
}

// extend adds to the row what needs no rebase, and asks carried members for
// the report that would bring them back.
func (p *Planner) extend(in PlanInput) Decision {
	p.teams[in.Row.Team].since = time.Time{}
	outcome := Extend(in)
	decision := Decision{Action: outcome.Action, Next: outcome.Next}
	if len(in.Row.Carried) == 0 {
		return decision
	}
	for _, request := range missing(in) {
		if _, carried := in.Row.Carried[request.To]; carried {
			decision.Freezes = append(decision.Freezes, request)
		}
	}
	return decision
}

func (p *Planner) team(team string) *teamPlan {
	plan, ok := p.teams[team]
	if !ok {
		plan = &teamPlan{reports: make(map[Member]Report)}
		p.teams[team] = plan
	}
	return plan
}

// gone returns the members whose work has ended with certainty: the longest
// run has passed since this planner first saw evidence that still stands.
func (plan *teamPlan) gone(now time.Time, view View) map[Member]bool {
	endedSince := make(map[Member]time.Time)
	gone := make(map[Member]bool)
	for _, m := range view.Ended {
		since, ok := plan.endedSince[m]
		if !ok {
			since = now
		}
		endedSince[m] = since
		gone[m] = !now.Before(since.Add(view.LongestRun))
	}
	plan.endedSince = endedSince
	return gone
}

// forget drops reports from members that the row no longer knows.
func (plan *teamPlan) forget(view View) {
	for m, report := range plan.reports {
		_, known := view.Row.expects(m)
		if !known && report.Generation <= view.Row.Generation {
			delete(plan.reports, m)
		}
	}
}

// wanted reports whether the row needs a new generation.
func wanted(in PlanInput) bool {
	if in.Limit < in.Row.Limit {
		return true
	}
	for m := range in.Reports {
		// A report means that the member's trade has ended, or that a carried
		// member can come back.
		if _, ok := reportOf(in, m); ok {
			return true
		}
	}
	for m := range in.Gone {
		if reclaimable(in, m) {
			return true
		}
	}
	return false
}

// reclaimable reports whether a rebase would strike the member off: it is
// gone, and in its generation nobody is known to be silent.
func reclaimable(in PlanInput, m Member) bool {
	if _, known := in.Row.expects(m); !known || !in.Gone[m] {
		return false
	}
	carry, carried := in.Row.Carried[m]
	if !carried {
		return true
	}
	for other, c := range in.Row.Carried {
		if c.Generation == carry.Generation && !in.Gone[other] {
			return false
		}
	}
	return true
}

// missing returns requests to all members that have not reported yet.
func missing(in PlanInput) []FreezeRequest {
	var requests []FreezeRequest
	for _, m := range in.Row.members() {
		if _, ok := reportOf(in, m); !ok && !in.Gone[m] {
			requests = append(requests, FreezeRequest{To: m, Row: in.Row, Mode: FreezeOnly})
		}
	}
	return requests
}
