package fleet

// Effort counts the elementary operations of decisions. Their number, unlike their time, does not
// depend on the machine.
type Effort struct {
	// Ranked counts the steps whose rank was computed.
	Ranked int
	// Compared counts the endpoints that were compared for tasks.
	Compared int
	// Visited counts the hosts, endpoints, jobs and tasks that were looked at otherwise.
	Visited int
}

// Minus returns what has been added since other.
func (e Effort) Minus(other Effort) Effort {
	return Effort{Ranked: e.Ranked - other.Ranked, Compared: e.Compared - other.Compared, Visited: e.Visited - other.Visited}
}

// Effort returns the operations since the leader took over.
func (l *Leader) Effort() Effort {
	return l.effort
}

// visit counts things that are looked at.
func (l *Leader) visit(count int) {
	l.effort.Visited += count
}
