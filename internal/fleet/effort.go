package fleet

import "math/bits"

// Effort counts the elementary operations of decisions. Their number, unlike their time, does not
// depend on the machine.
type Effort struct {
	// Forecasts counts the jobs whose duration was forecast.
	Forecasts int
	// Compared counts the endpoints that were compared for tasks.
	Compared int
	// Visited counts the hosts, endpoints, jobs and tasks that were looked at otherwise.
	Visited int
}

// Minus returns what has been added since other.
func (e Effort) Minus(other Effort) Effort {
	return Effort{Forecasts: e.Forecasts - other.Forecasts, Compared: e.Compared - other.Compared, Visited: e.Visited - other.Visited}
}

// Effort returns the operations since the leader took over.
func (l *Leader) Effort() Effort {
	return l.effort
}

// visit counts things that are looked at.
func (l *Leader) visit(count int) {
	l.effort.Visited += count
}

// visitSorted counts the comparisons that put things in order.
func (l *Leader) visitSorted(count int) {
	l.visit(count * bits.Len(uint(count)))
}
