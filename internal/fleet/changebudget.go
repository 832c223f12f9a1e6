package fleet

import "time"

const (
	// defaultMovesPerStep bounds the moves of a step if the platform's rate is not known.
	defaultMovesPerStep = 12
	// changeRateShare is the part of the platform's rate that a leader uses, and
	// changeBurst the time for which it can save it up. Changes beyond the rate are
	// refused, and repeated later.
	changeRateShare = 0.95
	changeBurst     = 200 * time.Millisecond
	// unansweredTime bounds the orders that the platform has not answered, as a time at
	// its rate: a host does no work while its order waits.
	unansweredTime = 150 * time.Millisecond
	minUnanswered  = 12
)

// changeBudget limits the orders for hosts to the platform's rate.
type changeBudget struct {
	available  float64
	refilledAt time.Time
}

// take refills the budget, takes the given number of changes from it, which may exceed
// it, and returns how many more may be ordered now, beside the unanswered ones.
func (b *changeBudget) take(perSecond float64, count, unanswered int, now time.Time) int {
	if perSecond <= 0 {
		return defaultMovesPerStep
	}
	rate := perSecond * changeRateShare
	burst := max(1, rate*changeBurst.Seconds())
	if b.refilledAt.IsZero() {
		b.available = burst
	} else {
		b.available = min(burst, b.available+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	b.spend(count)
	maxUnanswered := max(minUnanswered, int(rate*unansweredTime.Seconds()))
	return max(0, min(int(b.available), maxUnanswered-unanswered))
}

// spend takes changes from the budget.
func (b *changeBudget) spend(count int) {
	b.available -= float64(count)
}
