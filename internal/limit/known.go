package limit

// Known reports whether the team's row lists this member, so that peers may
// pass it permits.
func (l *Ledger) Known(team string) bool {
	a := l.lock(team)
	if a == nil {
		return false
	}
	defer a.mu.Unlock()
	return a.members[l.self]
}
