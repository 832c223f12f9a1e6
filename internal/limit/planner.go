package limit

import "time"

// PlannerConfig constructs a Planner.
type PlannerConfig struct {
	// ReportTimeout is how long a rebase waits for members that do not answer.
	ReportTimeout time.Duration
}

// View is the state of one team as read by a manager.
type View struct {
	// Row is the team's row; without one, only Row.Team is set.
	Row Allocation
	// Limit is the limit set in the catalogue.
	Limit int
	// LongestRun bounds how long work can run on after its member has ended.
	LongestRun time.Duration
	// Live lists the processes that should hold permits.
	Live []Member
	// Ended lists the processes for which there is evidence that they ended:
	// they handed over, a newer incarnation uses their address, or the platform
	// has listed their host as gone for longer than its listing lag.
	Ended []Member
}

// Decision is what a manager should do for one team now.
type Decision struct {
	Action Action
	// Next is the row to commit, on condition of the version of View.Row.
	Next Allocation
	// Freezes are to be sent; pass the answers to HandleReport.
	Freezes []FreezeRequest
}

// Planner plans the rows of all teams in one manager. Any number of managers
// may do so at the same time, because the table accepts only one of their
// commits. A Planner is not safe for concurrent use.
type Planner struct {
	config PlannerConfig
	teams  map[string]*teamPlan
}

// teamPlan is a Planner's state of one team.
type teamPlan struct {
	reports map[Member]Report
	// endedSince is when this planner first observed the evidence, by its own clock.
	endedSince map[Member]time.Time
	// rebaseGeneration and rebaseSince are the generation that is being rebased
	// and when the rebase began.
	rebaseGeneration uint64
	rebaseSince      time.Time
}

// NewPlanner returns a Planner without any reports.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{config: config, teams: make(map[string]*teamPlan)}
}

// HandleReport records a report. Reports may be unrequested, late or repeated.
func (p *Planner) HandleReport(report Report) {
	plan := p.team(report.Team)
	previous, ok := plan.reports[report.Member]
	if ok && previous.Generation > report.Generation {
		return
	}
	if ok && previous.Generation == report.Generation && previous.Holding < report.Holding {
		return
	}
	plan.reports[report.Member] = report
}

// Step decides what to do for the view's team.
func (p *Planner) Step(now time.Time, view View) Decision {
	plan := p.team(view.Row.Team)
	in := PlanInput{
		Row:     view.Row,
		Limit:   view.Limit,
		Live:    view.Live,
		Gone:    plan.gone(now, view),
		Reports: plan.reports,
	}
	plan.dropUnknownReports(view)
	if view.Row.Generation > 0 && !needsRebase(in) {
		return p.extend(in)
	}
	if plan.rebaseGeneration != view.Row.Generation || plan.rebaseSince.IsZero() {
		plan.rebaseGeneration = view.Row.Generation
		plan.rebaseSince = now
	}
	in.AwaitReports = now.Before(plan.rebaseSince.Add(p.config.ReportTimeout))
	outcome := Plan(in)
	decision := Decision{Action: outcome.Action, Next: outcome.Next}
	if outcome.Action == Wait {
		decision.Freezes = append(outcome.Trims, missingReportRequests(in)...)
	}
	return decision
}

// extend adds to the row what needs no rebase, and requests the reports of
// carried members, so that a rebase can bring them back.
func (p *Planner) extend(in PlanInput) Decision {
	p.teams[in.Row.Team].rebaseSince = time.Time{}
	outcome := Extend(in)
	decision := Decision{Action: outcome.Action, Next: outcome.Next}
	if len(in.Row.Carried) == 0 {
		return decision
	}
	for _, request := range missingReportRequests(in) {
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

// gone returns the members whose work is certain to have ended: LongestRun has
// passed since this planner first observed the evidence, which still holds.
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

// dropUnknownReports drops reports from members that the row no longer lists.
func (plan *teamPlan) dropUnknownReports(view View) {
	for m, report := range plan.reports {
		_, known := view.Row.generationOf(m)
		if !known && report.Generation <= view.Row.Generation {
			delete(plan.reports, m)
		}
	}
}

// needsRebase reports whether the row needs a new generation.
func needsRebase(in PlanInput) bool {
	if in.Limit < in.Row.Limit {
		return true
	}
	for m := range in.Reports {
		// A report means that the member is frozen, or that a carried member
		// can be brought back.
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

// reclaimable reports whether a rebase would drop the member and reclaim its
// permits: the member is gone and, if it is carried, so are all others carried
// from its generation.
func reclaimable(in PlanInput, m Member) bool {
	if _, known := in.Row.generationOf(m); !known || !in.Gone[m] {
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

// missingReportRequests returns freeze requests to all members that have not
// reported yet.
func missingReportRequests(in PlanInput) []FreezeRequest {
	var requests []FreezeRequest
	for _, m := range in.Row.members() {
		if _, ok := reportOf(in, m); !ok && !in.Gone[m] {
			requests = append(requests, FreezeRequest{To: m, Row: in.Row, Mode: FreezeOnly})
		}
	}
	return requests
}
