package revision

// Joiner decides when a manager that has just registered may commit: once
// every other member of the roster knows it, because a member that reaches
// the table no more asks only the managers that it knows.
type Joiner struct {
	pending map[Member]bool
}

// NewJoiner returns a joiner for the roster (entries and managers, without the
// process itself) read after the process registered.
func NewJoiner(roster []Member) *Joiner {
	j := &Joiner{pending: make(map[Member]bool, len(roster))}
	for _, member := range roster {
		j.pending[member] = true
	}
	return j
}

// Admitted takes a member's answer to the announcement.
func (j *Joiner) Acknowledge(member Member) {
	delete(j.pending, member)
}

// Roster takes a later read of the roster: who has left it need not answer.
// Members that joined in between have read this process's own registration.
func (j *Joiner) ApplyRoster(members []Member) {
	present := make(map[Member]bool, len(members))
	for _, member := range members {
		present[member] = true
	}
	for member := range j.pending {
		if !present[member] {
			delete(j.pending, member)
		}
	}
}

// Ready reports whether the process may commit.
func (j *Joiner) Ready() bool {
	return len(j.pending) == 0
}

// Pending returns the members that have not answered, in no order.
func (j *Joiner) Pending() []Member {
	members := make([]Member, 0, len(j.pending))
	for member := range j.pending {
		members = append(members, member)
	}
	return members
}
