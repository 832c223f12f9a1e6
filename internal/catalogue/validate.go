package catalogue

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/problem"
)

// Problem is one mistake in a catalogue.
type Problem = problem.Problem

// Problems lists all mistakes in a catalogue.
type Problems = problem.List

const (
	defaultShare           = 1
	defaultMaxBody         = 1 << 20
	defaultDeadline        = 30 * time.Second
	defaultQueueLongestRun = time.Hour
	defaultAvailability    = 0.999
	defaultPool            = "default"

	maxShare    = 1000
	maxLimit    = 1_000_000
	maxBodySize = 1 << 40
	maxDuration = 7 * 24 * time.Hour
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func withTeamDefaults(t Team) Team {
	if t.Share == 0 {
		t.Share = defaultShare
	}
	return t
}

// withEntryDefaults sets missing fields to their defaults and adds the owner to
// the shares.
func withEntryDefaults(e Entry, teams map[string]Team) Entry {
	if e.Class == "" {
		e.Class = ClassNormal
	}
	if e.MaxBody == 0 {
		e.MaxBody = defaultMaxBody
	}
	if e.Deadline == 0 {
		e.Deadline = defaultDeadline
	}
	if e.LongestRun == 0 {
		e.LongestRun = e.Deadline
		if e.Kind == KindQueue {
			e.LongestRun = max(e.Deadline, defaultQueueLongestRun)
		}
	}
	if e.Availability == 0 {
		e.Availability = defaultAvailability
	}
	if e.Pool == "" {
		e.Pool = defaultPool
	}
	shares := maps.Clone(e.Shares)
	if shares == nil {
		shares = make(map[string]int)
	}
	if _, listed := shares[e.Team]; !listed && e.Team != "" {
		shares[e.Team] = max(defaultShare, teams[e.Team].Share)
	}
	e.Shares = shares
	return e
}

// Validate returns all mistakes, teams first, each sorted by name.
func (c Catalogue) Validate() Problems {
	var problems Problems
	for _, name := range c.TeamNames() {
		problems = append(problems, c.Teams[name].validate()...)
	}
	for _, name := range c.EntryNames() {
		problems = append(problems, c.Entries[name].validate(c.TeamNames())...)
	}
	return problems
}

func (t Team) validate() Problems {
	v := validator{kind: "team", name: t.Name}
	v.checkName()
	v.check(t.UpperLimit >= 0 && t.UpperLimit <= maxLimit, "upper-limit", fmt.Sprintf("is %d", t.UpperLimit), fmt.Sprintf("0 to %d", maxLimit))
	v.checkShare("share", t.Share)
	return v.problems
}

func (e Entry) validate(teams []string) Problems {
	v := validator{kind: string(e.Kind), name: e.Name}
	v.checkName()
	v.checkOneOf("kind", string(e.Kind), []string{string(KindService), string(KindQueue)})
	v.checkOneOf("class", string(e.Class), []string{string(ClassUrgent), string(ClassNormal), string(ClassBatch)})
	v.checkOneOf("team", e.Team, teams)
	v.check(!e.Open || e.Kind == KindQueue, "open", "is set on a service", "a queue, or open = false")
	for _, team := range slices.Sorted(maps.Keys(e.Shares)) {
		if team != e.Team {
			v.checkOneOf("shares", team, teams)
		}
		v.checkShare("shares", e.Shares[team])
	}
	v.check(e.Limit >= 0 && e.Limit <= maxLimit, "limit", fmt.Sprintf("is %d", e.Limit), fmt.Sprintf("0 (no bound) to %d", maxLimit))
	v.check(e.MaxBody > 0 && e.MaxBody <= maxBodySize, "max-body", fmt.Sprintf("is %d bytes", e.MaxBody), "a size such as 4MiB")
	v.checkDuration("deadline", e.Deadline)
	v.checkDuration("longest-run", e.LongestRun)
	v.check(e.Availability > 0 && e.Availability < 1, "availability", fmt.Sprintf("is %g", e.Availability), "more than 0 and less than 1, such as 0.999")
	v.check(validName.MatchString(e.Pool), "pool", fmt.Sprintf("%q is malformed", e.Pool), nameFormat)
	return v.problems
}

const nameFormat = "lower-case letters, digits and hyphens, at most 63"

// validator collects the problems of one team or entry.
type validator struct {
	kind, name string
	problems   Problems
}

func (v *validator) check(ok bool, field, message, want string) {
	if !ok {
		v.problems.Add(Problem{Field: fieldName(v.kind, v.name, field), Message: message, Want: want})
	}
}

func (v *validator) checkName() {
	v.check(validName.MatchString(v.name), "name", fmt.Sprintf("%q is malformed", v.name), nameFormat)
}

func (v *validator) checkOneOf(field, value string, known []string) {
	v.check(slices.Contains(known, value), field, fmt.Sprintf("%q is unknown", value), problem.Unknown(value, known))
}

func (v *validator) checkShare(field string, share int) {
	v.check(share >= 1 && share <= maxShare, field, fmt.Sprintf("has weight %d", share), fmt.Sprintf("1 to %d", maxShare))
}

func (v *validator) checkDuration(field string, d time.Duration) {
	v.check(d > 0 && d <= maxDuration, field, fmt.Sprintf("is %s", d), fmt.Sprintf("more than 0 and at most %s", maxDuration))
}

// fieldName returns the name of a field in problems: "[service orders] limit".
func fieldName(kind, name, field string) string {
	section := "[" + kind + " " + name + "]"
	if field == "" {
		return section
	}
	return section + " " + field
}
