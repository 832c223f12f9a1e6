package limit

// Lists reports whether the team's row lists the member, so that others may
// pass it permits.
func (l *Ledger) IsMember(team string, member Member) bool {
	a := l.lock(team)
	if a == nil {
		return false
	}
	defer a.mu.Unlock()
	return a.members[member]
}
